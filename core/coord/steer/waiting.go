package steer

import (
	"cmp"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// waitLimit is how long a new flow waits for a configuration or a target; clients give up on an opening packet a
	// little later.
	waitLimit = time.Second
	// startTime is how long after its start a balancer expects targets to appear: their agents may have started with it
	// and hear from their targets within a heartbeat.
	startTime = 4 * time.Second
	// maxWaiting bounds the new flows that wait; further ones are refused.
	maxWaiting = 1024
)

// opening is a new flow that waits.
type opening struct {
	segment state.Segment
	since   time.Time
	// unanswered is true if a target was offered the flow and did not answer: it may take it yet.
	unanswered bool
	// reason is why the flow could not be placed at once.
	reason relay.Reason
	// version is the configuration that route and service are from; routed is false if it has no route for the flow.
	version state.ConfigVersion
	route   state.Route
	service state.ServiceName
	routed  bool
}

// wait keeps a new flow for a moment, or refuses it if too many wait. A flow that waited before, and was then offered
// in vain, goes on waiting from then.
func (b *Balancer) wait(now time.Time, seg state.Segment, p *place, reason relay.Reason) {
	if _, known := b.waiting[seg.Flow]; known {
		return
	}
	o := &opening{segment: seg, since: p.waited, unanswered: p.unanswered, reason: reason}
	if len(b.waiting) >= maxWaiting {
		b.refuseWaiting(now, o)
		return
	}
	if o.since.IsZero() {
		o.since = now
		b.do.OnDecision(relay.Decision{
			Event: relay.EventQueued, Flow: seg.Flow, Reason: reason, Config: b.config.Version, Count: len(b.waiting),
		})
	}
	o.segment.Packet = append([]byte(nil), seg.Packet...)
	b.waiting[seg.Flow] = o
}

func (b *Balancer) refuseWaiting(now time.Time, o *opening) {
	b.refuse(o.segment, o.unanswered, relay.Decision{
		Reason: o.reason, Age: relay.AgeOf(now, o.since), Count: len(b.waiting),
	})
}

// placeOf returns the place of a flow that waited.
func placeOf(now time.Time, o *opening) *place {
	return &place{since: now, waited: o.since, unanswered: o.unanswered}
}

// describe looks up the route of a flow that waits, if the configuration has changed.
func (b *Balancer) describe(o *opening) {
	if o.version == b.config.Version {
		return
	}
	o.version = b.config.Version
	o.route, o.routed = b.config.Routes[o.segment.Flow.Virtual]
	o.service = o.route.SelectService(o.segment.Flow)
}

// anyServes reports whether a target of a service takes flows, if not at this moment.
func (b *Balancer) anyServes(now time.Time, service state.ServiceName) bool {
	for _, t := range b.byService[service] {
		if t.serves(now) {
			return true
		}
	}
	return false
}

// expects reports whether a target of a service may appear within moments: this balancer has just started and has heard of
// none, or an agent of the service runs and has not heard from its target yet.
func (b *Balancer) expects(now time.Time, service state.ServiceName) bool {
	heard := false
	for _, t := range b.byService[service] {
		if t.isStarting(now) {
			return true
		}
		heard = heard || !t.heardAt.IsZero()
	}
	return !heard && now.Sub(b.started) < startTime
}

// serveWaiting places the flows that waited once there is a target, and refuses those that waited too long.
func (b *Balancer) serveWaiting(now time.Time) {
	if len(b.waiting) == 0 {
		return
	}
	room := b.roomByService(now)
	for _, o := range b.inOrder(now) {
		if b.config.Version != 0 && !o.routed {
			b.refuseRoute(o.segment)
			continue
		}
		if o.routed && room[o.service] > 0 && b.serve(now, o) {
			room[o.service]--
			continue
		}
		if now.Sub(o.since) >= waitLimit {
			delete(b.waiting, o.segment.Flow)
			b.refuseWaiting(now, o)
		}
	}
}

// serve offers a flow that waits to the best target, and reports whether there is one.
func (b *Balancer) serve(now time.Time, o *opening) bool {
	t, weighed := b.choose(now, o.service, o.segment.Flow, nil, b.lateness(now, o) == 1)
	if t == nil {
		return false
	}
	delete(b.waiting, o.segment.Flow)
	b.placeAt(now, o.segment, placeOf(now, o), t, weighed)
	return true
}

// serveAt offers flows that wait to a target that has told of room, until there is none left. Under overload reports are
// many and each has room for few flows, so that it would take too long to look for the best target of every one.
func (b *Balancer) serveAt(now time.Time, t *target) {
	for len(b.waiting) > 0 && t.takes(now) {
		o := b.first(now, t)
		if o == nil {
			return
		}
		delete(b.waiting, o.segment.Flow)
		b.placeAt(now, o.segment, placeOf(now, o), t, 1)
	}
}

// first returns the flow that is served first of those that wait for a target of the same service.
func (b *Balancer) first(now time.Time, t *target) *opening {
	var best *opening
	for _, o := range b.waiting {
		b.describe(o)
		if !o.routed || o.service != t.service || now.Before(t.lateUntil) && b.lateness(now, o) == 1 {
			continue
		}
		if best == nil || b.compare(now, o, best) < 0 {
			best = o
		}
	}
	return best
}

// roomByService returns how many new flows the targets of each service may be given.
func (b *Balancer) roomByService(now time.Time) map[state.ServiceName]int {
	room := make(map[state.ServiceName]int)
	for _, t := range b.targets {
		switch {
		case !t.takes(now):
		case t.heardAt.IsZero():
			room[t.service] += max(1, t.load.Slots)
		default:
			room[t.service] += t.load.Headroom - t.sent
		}
	}
	return room
}

// inOrder returns the flows that wait in the order in which they are served.
func (b *Balancer) inOrder(now time.Time) []*opening {
	list := make([]*opening, 0, len(b.waiting))
	for _, o := range b.waiting {
		b.describe(o)
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y *opening) int { return b.compare(now, x, y) })
	return list
}

// compare orders flows that wait: those that can still be answered within their latency objective before those that
// can't, so that a backlog does not make all later flows late too; then the most urgent, then the oldest.
func (b *Balancer) compare(now time.Time, x, y *opening) int {
	return cmp.Or(
		b.lateness(now, x)-b.lateness(now, y),
		x.route.Priority-y.route.Priority,
		x.since.Compare(y.since),
	)
}

// lateness is 1 for a flow whose client has tried to open it for longer than its latency objective, and 0 otherwise.
func (b *Balancer) lateness(now time.Time, o *opening) int {
	if isLate(now, o.route.LatencyObjective, o.segment, o.since) {
		return 1
	}
	return 0
}
