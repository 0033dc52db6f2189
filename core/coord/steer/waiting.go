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
	// reason is why the flow could not be placed at once.
	reason relay.Reason
}

// wait keeps a new flow for a moment, or refuses it if too many wait. A flow that waited before, and was then offered
// in vain, goes on waiting from the time since.
func (b *Balancer) wait(now time.Time, seg state.Segment, since time.Time, reason relay.Reason) {
	if _, known := b.waiting[seg.Flow]; known {
		return
	}
	if since.IsZero() {
		since = now
	}
	if len(b.waiting) >= maxWaiting {
		b.refuse(seg, reason, now.Sub(since), len(b.waiting))
		return
	}
	b.do.Note(relay.Decision{
		Event: relay.EventWaits, Flow: seg.Flow, Reason: reason, Config: b.config.Version, Age: now.Sub(since), Count: len(b.waiting),
	})
	seg.Packet = append([]byte(nil), seg.Packet...)
	b.waiting[seg.Flow] = &opening{segment: seg, since: since, reason: reason}
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
	for _, o := range b.inOrder(now) {
		id := o.segment.Flow
		route, ok := b.config.Routes[id.Virtual]
		switch {
		case b.config.Version != 0 && !ok:
			b.refuseRoute(o.segment)
		case ok && b.canServe(now, route, o):
			delete(b.waiting, id)
			b.place(now, route, o.segment, &place{since: now, waited: o.since})
		case now.Sub(o.since) >= waitLimit:
			delete(b.waiting, id)
			b.refuse(o.segment, o.reason, now.Sub(o.since), len(b.waiting))
		}
	}
}

// inOrder returns the flows that wait in the order in which they are served: those that can still be answered within their
// latency objective before those that can't, so that a backlog does not make all later flows late too; then the
// most urgent, then the oldest.
func (b *Balancer) inOrder(now time.Time) []*opening {
	list := make([]*opening, 0, len(b.waiting))
	for _, o := range b.waiting {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y *opening) int {
		return cmp.Or(
			b.lateness(now, x)-b.lateness(now, y),
			b.route(x).Priority-b.route(y).Priority,
			x.since.Compare(y.since),
		)
	})
	return list
}

func (b *Balancer) route(o *opening) state.Route { return b.config.Routes[o.segment.Flow.Virtual] }

// lateness is 1 for a flow whose client has tried to open it for longer than its latency objective, and 0 otherwise.
func (b *Balancer) lateness(now time.Time, o *opening) int {
	if b.isLate(now, o.segment, o.since) {
		return 1
	}
	return 0
}

func (b *Balancer) canServe(now time.Time, route state.Route, o *opening) bool {
	id := o.segment.Flow
	t, _ := b.choose(now, route.Choose(id), id, nil, b.isLate(now, o.segment, o.since))
	return t != nil
}
