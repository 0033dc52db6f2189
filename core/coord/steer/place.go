package steer

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// maxTriedTargets is how many targets are offered a new flow before it is queued or refused.
	maxTriedTargets = 4
	// confirmTimeout is how long an agent has to confirm a new flow before a retransmitted opening packet is offered to
	// another target. It is shorter than the time after which clients retransmit.
	confirmTimeout = 150 * time.Millisecond
)

// place offers a new flow to the best target. If no target accepts it, the flow is queued or refused at once.
func (b *Balancer) place(now time.Time, route state.Route, seg state.Segment, p *placement) {
	service := route.SelectService(seg.Flow)
	late := b.isLate(now, route, seg, p.queuedAt)
	t, considered := b.targets.choose(now, route, service, seg.Flow, p.tried, late)
	if t == nil || len(p.tried) >= maxTriedTargets {
		b.enqueueOrRefuse(now, route, service, seg, p, considered)
		return
	}
	b.placeAt(now, seg, p, t, considered)
}

// placeAt offers a new flow to a target.
func (b *Balancer) placeAt(now time.Time, seg state.Segment, p *placement, t *target, considered int) {
	p.target = t
	p.since = now
	p.evidence = relay.EvidenceOffered
	b.flows[seg.Flow] = p
	b.queue.Remove(seg.Flow)
	t.unansweredOffers++
	b.actions.OnDecision(relay.Decision{
		Event: relay.EventPlaced, Flow: seg.Flow, Peer: t.address, Config: b.config.Version,
		Age: relay.AgeOf(now, t.lastReportAt), Count: considered,
	})
	b.offer(t, seg, b.isLate(now, b.config.Routes[seg.Flow.Virtual], seg, p.queuedAt))
}

// enqueueOrRefuse queues a new flow that no target accepts now if a target may accept it shortly, and refuses it
// otherwise.
func (b *Balancer) enqueueOrRefuse(
	now time.Time, route state.Route, service state.ServiceName, seg state.Segment, p *placement, considered int,
) {
	reason := relay.ReasonNotReady
	if b.targets.hasNoHome(route, service) {
		reason = relay.ReasonNoHome
	} else if p.refusedAsFull || b.targets.anyServing(now, route, service) {
		reason = relay.ReasonFull
	}
	if b.onlyEvacuated(now, route, service) {
		b.refuse(seg, p.unanswered, relay.Decision{Reason: relay.ReasonEvacuated, Count: considered})
		return
	}
	if reason == relay.ReasonFull || b.expectsTarget(now, route, service) {
		delete(b.flows, seg.Flow)
		b.enqueue(now, seg, p, reason)
		return
	}
	b.refuse(seg, p.unanswered, relay.Decision{Reason: reason, Count: considered})
}

// refuse resets a new flow: it has not opened, so no request of it has run. If a target that was offered the flow may
// still accept it, the packet is dropped instead.
func (b *Balancer) refuse(seg state.Segment, unanswered bool, d relay.Decision) {
	delete(b.flows, seg.Flow)
	d.Flow = seg.Flow
	d.Config = b.config.Version
	d.Event = relay.EventRefused
	d.Priority = b.config.Routes[seg.Flow.Virtual].Priority
	if unanswered {
		d.Event = relay.EventUnresolved
		d.Reason = relay.ReasonNoReply
	}
	b.actions.OnDecision(d)
	if !unanswered {
		b.actions.Reset(seg.Flow, seg.Acknowledged)
	}
}

// handleRetransmission handles a retransmitted opening packet: it goes to the same target as the first one, unless that
// did not answer within confirmTimeout, is presumed dead or evacuated, or is not in a region that the route allows now.
func (b *Balancer) handleRetransmission(now time.Time, route state.Route, seg state.Segment, p *placement) {
	allowed := route.Allows(p.target.region) && !p.target.evacuated() && !b.presumedDead(now, p.target)
	if p.located() || !p.isUnanswered(now) && allowed {
		b.offer(p.target, seg, b.isLate(now, route, seg, p.queuedAt))
		return
	}
	if !p.target.evacuated() {
		p.target.avoidUntil = now.Add(noReplyBackoff)
	}
	p.unanswered = true
	p.tried = append(p.tried, p.target)
	b.place(now, route, seg, p)
}
