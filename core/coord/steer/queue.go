package steer

import (
	"time"

	"monsoonstep/core/coord/queue"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// maxQueueTime is how long a new flow is queued for a configuration or a target; clients abandon an opening packet a little
	// later.
	maxQueueTime = time.Second
	// clientConnectTimeout is how long after the first copy of its opening packet a client gives up opening the flow.
	clientConnectTimeout = 1400 * time.Millisecond
	// startupWindow is how long after the start of a balancer or an agent targets are expected to appear: agents may
	// have started together with the balancer, and receive the first heartbeat of their targets within a heartbeat
	// interval.
	startupWindow = 4 * time.Second
)

// enqueue queues a new flow, or refuses it if the queue is full. A flow that was queued before, and then offered
// without success, keeps the time at which it was first queued.
func (b *Balancer) enqueue(now time.Time, seg state.Segment, p *placement, reason relay.Reason) {
	if b.queue.Contains(seg.Flow) {
		return
	}
	f := &queue.Flow{Segment: seg, Since: p.queuedAt, Unanswered: p.unanswered, Reason: reason}
	if b.queue.Full() {
		b.refuseQueued(now, f, reason)
		return
	}
	if f.Since.IsZero() {
		b.actions.OnDecision(relay.Decision{
			Event: relay.EventQueued, Flow: seg.Flow, Reason: reason, Config: b.config.Version, Count: b.queue.Len(),
		})
	}
	b.queue.Add(now, f)
}

// refuseQueued refuses a flow that found the queue full, was queued for too long, or can't be served any more.
func (b *Balancer) refuseQueued(now time.Time, f *queue.Flow, reason relay.Reason) {
	b.refuse(f.Segment, f.Unanswered, relay.Decision{
		Reason: reason, Age: relay.AgeOf(now, f.Since), Count: b.queue.Len(),
	})
}

// placementOf returns the placement of a flow that leaves the queue.
func placementOf(now time.Time, f *queue.Flow) *placement {
	return &placement{since: now, queuedAt: f.Since, unanswered: f.Unanswered}
}

// expectsTarget reports whether a target for a route is likely to appear shortly: either an agent of the service is starting, or
// this balancer has just started and has no load report of the service yet, except from evacuated targets.
func (b *Balancer) expectsTarget(now time.Time, route state.Route, service state.ServiceName) bool {
	if b.evacuations.pending {
		return true
	}
	reported := false
	for _, t := range b.targets.allowed(route, service) {
		if t.isStarting(now) {
			return true
		}
		reported = reported || !t.lastReportAt.IsZero() && !t.evacuated()
	}
	return !reported && now.Sub(b.started) < startupWindow
}

// placeQueued places queued flows at the targets that accept new flows, and refuses those that were queued for too
// long.
func (b *Balancer) placeQueued(now time.Time) {
	b.queue.Tick(now)
	if b.queue.Len() == 0 {
		return
	}
	headroom := b.targets.headroom(now)
	for _, f := range b.queue.Sorted(now) {
		if b.config.Version != 0 && !f.Routed {
			b.resetUnrouted(f.Segment)
			continue
		}
		if b.refuseEvacuated(now, f) || b.refuseWithoutHome(now, f) {
			continue
		}
		if f.Routed && headroom[f.Service] > 0 && b.placeAtBestTarget(now, f) {
			headroom[f.Service]--
			continue
		}
		if queuedTooLong(now, f) {
			b.queue.Remove(f.Segment.Flow)
			b.refuseQueued(now, f, f.Reason)
		}
	}
}

// queuedTooLong reports whether a flow has been queued for maxQueueTime, or its client gives up before the next tick. A flow that began
// while no balancer ran is first seen by a later copy of its opening packet.
func queuedTooLong(now time.Time, f *queue.Flow) bool {
	queued := now.Sub(f.Since)
	return queued >= maxQueueTime || f.Segment.ConnectAge+queued+TickPeriod >= clientConnectTimeout
}

// placeAtBestTarget offers a queued flow to the best target, and reports whether there is one.
func (b *Balancer) placeAtBestTarget(now time.Time, f *queue.Flow) bool {
	t, considered := b.targets.choose(now, f.Route, f.Service, f.Segment.Flow, nil, b.lateQueued(now, f))
	if t == nil {
		return false
	}
	b.placeAt(now, f.Segment, placementOf(now, f), t, considered)
	return true
}

// placeQueuedAt offers queued flows to a target that has reported headroom, until that is used up. Under overload load
// reports are frequent and each has headroom for few flows, so choosing the best target for every flow would take too
// long.
func (b *Balancer) placeQueuedAt(now time.Time, t *target) {
	for b.queue.Len() > 0 && t.accepting(now) {
		f := b.nextQueuedFor(now, t)
		if f == nil {
			return
		}
		b.placeAt(now, f.Segment, placementOf(now, f), t, 1)
	}
}

// nextQueuedFor returns the queued flow that comes first among those for a target's service, without the late ones if the
// target refuses these; nil if there is none.
func (b *Balancer) nextQueuedFor(now time.Time, t *target) *queue.Flow {
	refusesLate := now.Before(t.refusesLateUntil)
	return b.queue.Next(now, t.service, func(f *queue.Flow, late bool) bool {
		return f.Route.Allows(t.region) && !(late && refusesLate)
	})
}

// lateQueued reports whether a queued flow can no longer be answered within its latency objective.
func (b *Balancer) lateQueued(now time.Time, f *queue.Flow) bool {
	return b.isLate(now, f.Route, f.Segment, f.Since)
}
