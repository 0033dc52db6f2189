package steer

import (
	"cmp"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// maxQueueTime is how long a new flow waits for a configuration or a target; clients give up on an opening packet a
	// little later.
	maxQueueTime = time.Second
	// startupWindow is how long after its start a balancer expects targets to appear: their agents may have started with it
	// and hear from their targets within a heartbeat.
	startupWindow = 4 * time.Second
	// maxQueuedFlows bounds the new flows that wait; further ones are refused.
	maxQueuedFlows = 1024
)

// queuedFlow is a new flow that waits.
type queuedFlow struct {
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

// enqueue keeps a new flow for a moment, or refuses it if too many enqueue. A flow that waited before, and was then offered
// in vain, goes on waiting from then.
func (b *Balancer) enqueue(now time.Time, seg state.Segment, p *placement, reason relay.Reason) {
	if _, queued := b.queue[seg.Flow]; queued {
		return
	}
	o := &queuedFlow{segment: seg, since: p.queuedAt, unanswered: p.unanswered, reason: reason}
	if len(b.queue) >= maxQueuedFlows {
		b.refuseQueued(now, o)
		return
	}
	if o.since.IsZero() {
		o.since = now
		b.actions.OnDecision(relay.Decision{
			Event: relay.EventQueued, Flow: seg.Flow, Reason: reason, Config: b.config.Version, Count: len(b.queue),
		})
	}
	o.segment.Packet = append([]byte(nil), seg.Packet...)
	b.queue[seg.Flow] = o
}

func (b *Balancer) refuseQueued(now time.Time, o *queuedFlow) {
	b.refuse(o.segment, o.unanswered, relay.Decision{
		Reason: o.reason, Age: relay.AgeOf(now, o.since), Count: len(b.queue),
	})
}

// placementOf returns the place of a flow that waited.
func placementOf(now time.Time, o *queuedFlow) *placement {
	return &placement{since: now, queuedAt: o.since, unanswered: o.unanswered}
}

// updateRoute looks up the route of a flow that waits, if the configuration has changed.
func (b *Balancer) updateRoute(o *queuedFlow) {
	if o.version == b.config.Version {
		return
	}
	o.version = b.config.Version
	o.route, o.routed = b.config.Routes[o.segment.Flow.Virtual]
	o.service = o.route.SelectService(o.segment.Flow)
}

// anyServing reports whether a target of a service takes flows, if not at this moment.
func (b *Balancer) anyServing(now time.Time, service state.ServiceName) bool {
	for _, t := range b.targetsByService[service] {
		if t.serving(now) {
			return true
		}
	}
	return false
}

// expectsTarget reports whether a target of a service may appear within moments: this balancer has just started and has heard of
// none, or an agent of the service runs and has not heard from its target yet.
func (b *Balancer) expectsTarget(now time.Time, service state.ServiceName) bool {
	reported := false
	for _, t := range b.targetsByService[service] {
		if t.isStarting(now) {
			return true
		}
		reported = reported || !t.lastReportAt.IsZero()
	}
	return !reported && now.Sub(b.started) < startupWindow
}

// placeQueued places the flows that waited once there is a target, and refuses those that waited too long.
func (b *Balancer) placeQueued(now time.Time) {
	if len(b.queue) == 0 {
		return
	}
	headroom := b.headroomByService(now)
	for _, o := range b.sortedQueue(now) {
		if b.config.Version != 0 && !o.routed {
			b.resetUnrouted(o.segment)
			continue
		}
		if o.routed && headroom[o.service] > 0 && b.placeAtBestTarget(now, o) {
			headroom[o.service]--
			continue
		}
		if now.Sub(o.since) >= maxQueueTime {
			delete(b.queue, o.segment.Flow)
			b.refuseQueued(now, o)
		}
	}
}

// placeAtBestTarget offers a flow that waits to the best target, and reports whether there is one.
func (b *Balancer) placeAtBestTarget(now time.Time, o *queuedFlow) bool {
	t, considered := b.chooseTarget(now, o.service, o.segment.Flow, nil, b.lateness(now, o) == 1)
	if t == nil {
		return false
	}
	delete(b.queue, o.segment.Flow)
	b.placeAt(now, o.segment, placementOf(now, o), t, considered)
	return true
}

// placeQueuedAt offers flows that wait to a target that has told of room, until there is none left. Under overload reports are
// many and each has room for few flows, so that it would take too long to look for the best target of every one.
func (b *Balancer) placeQueuedAt(now time.Time, t *target) {
	for len(b.queue) > 0 && t.accepting(now) {
		o := b.nextQueuedFor(now, t)
		if o == nil {
			return
		}
		delete(b.queue, o.segment.Flow)
		b.placeAt(now, o.segment, placementOf(now, o), t, 1)
	}
}

// nextQueuedFor returns the flow that is served nextQueuedFor of those that wait for a target of the same service.
func (b *Balancer) nextQueuedFor(now time.Time, t *target) *queuedFlow {
	var best *queuedFlow
	for _, o := range b.queue {
		b.updateRoute(o)
		if !o.routed || o.service != t.service || now.Before(t.refusesLateUntil) && b.lateness(now, o) == 1 {
			continue
		}
		if best == nil || b.compareQueued(now, o, best) < 0 {
			best = o
		}
	}
	return best
}

// headroomByService returns how many new flows the targets of each service may be given.
func (b *Balancer) headroomByService(now time.Time) map[state.ServiceName]int {
	headroom := make(map[state.ServiceName]int)
	for _, t := range b.targets {
		switch {
		case !t.accepting(now):
		case t.lastReportAt.IsZero():
			headroom[t.service] += max(1, t.load.Slots)
		default:
			headroom[t.service] += t.load.Headroom - t.sentSinceReport
		}
	}
	return headroom
}

// sortedQueue returns the flows that wait in the order in which they are served.
func (b *Balancer) sortedQueue(now time.Time) []*queuedFlow {
	list := make([]*queuedFlow, 0, len(b.queue))
	for _, o := range b.queue {
		b.updateRoute(o)
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y *queuedFlow) int { return b.compareQueued(now, x, y) })
	return list
}

// compareQueued orders flows that wait: those that can still be answered within their latency objective before those that
// can't, so that a backlog does not make all later flows late too; then the most urgent, then the oldest.
func (b *Balancer) compareQueued(now time.Time, x, y *queuedFlow) int {
	return cmp.Or(
		b.lateness(now, x)-b.lateness(now, y),
		x.route.Priority-y.route.Priority,
		x.since.Compare(y.since),
	)
}

// lateness is 1 for a flow whose client has tried to open it for longer than its latency objective, and 0 otherwise.
func (b *Balancer) lateness(now time.Time, o *queuedFlow) int {
	if isLate(now, o.route.LatencyObjective, o.segment, o.since) {
		return 1
	}
	return 0
}
