package steer

import (
	"cmp"
	"slices"
	"time"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// candidateCount is how many targets of a group are compared for a new flow, in the order of their rank for it. A few
	// suffice for an even load (Mitzenmacher, "The power of two choices in randomized load balancing", 2001), and a balancer
	// that searches for a flow probes only these at first.
	candidateCount = 8
	// maxTriedTargets is how many targets are offered a new flow before it is queued or refused.
	maxTriedTargets = 4
	// confirmTimeout is how long an agent has to confirm a new flow before a retransmitted opening packet is offered to
	// another target. It is shorter than the time after which clients retransmit.
	confirmTimeout = 150 * time.Millisecond
	// defaultServiceTime is the service time assumed while no target of the service has reported any.
	defaultServiceTime = 50 * time.Millisecond
	// warmupSlowdownFactor is how much slower a target is assumed to be during its warm-up.
	warmupSlowdownFactor = 1.6
	// crossDataCentrePenalty is the cost, as time, of a target in another data centre: for the network delay and the
	// traffic.
	crossDataCentrePenalty = 4 * time.Millisecond
)

// place offers a new flow to the best target. If no target accepts it, the flow is queued or refused at once.
func (b *Balancer) place(now time.Time, route state.Route, seg state.Segment, p *placement) {
	service := route.SelectService(seg.Flow)
	late := b.isLate(now, route, seg, p.queuedAt)
	t, considered := b.chooseTarget(now, route, service, seg.Flow, p.tried, late)
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
	p.confirmed = false
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
	if b.hasNoHome(route, service) {
		reason = relay.ReasonNoHome
	} else if p.refusedAsFull || b.anyServing(now, route, service) {
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
// did not answer within confirmTimeout, is evacuated, or is not in a region that the route allows now.
func (b *Balancer) handleRetransmission(now time.Time, route state.Route, seg state.Segment, p *placement) {
	allowed := route.Allows(p.target.region) && !p.target.evacuated()
	if p.confirmed || now.Sub(p.since) < confirmTimeout && allowed {
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

// chooseTarget returns the target with the lowest cost among the first candidates of a service in the regions that the route allows, and
// how many of these accept the flow. The first group of candidates, in this balancer's data centre, suffices if one of them has a free
// slot; otherwise the second group, of other data centres, is compared too, and further groups only if none of these accepts the flow.
// Without any accepting target it returns nil and the number of targets in the allowed regions.
func (b *Balancer) chooseTarget(
	now time.Time, route state.Route, service state.ServiceName, flow state.FlowID, excluded []*target, late bool,
) (*target, int) {
	var best *target
	considered := 0
	c := &b.selection.candidates
	c.start(flow, b.allowedPairOf(route, service))
	for i, group := 0, c.next(); group != nil; i, group = i+1, c.next() {
		t, accepting := b.cheapest(now, group, excluded, late)
		considered += accepting
		if t != nil && (best == nil || b.cost(now, t) < b.cost(now, best)) {
			best = t
		}
		if best != nil && (i > 0 || b.hasFreeSlot(now, best)) {
			return best, considered
		}
		if best == nil && i > 0 && !c.anyAccepting(now, excluded, late) {
			break
		}
	}
	if best == nil {
		return nil, c.count()
	}
	return best, considered
}

// candidateGroups returns targets in groups of up to candidateCount, in the order in which they are considered for a flow: by
// turns groups of this balancer's data centre and of the others, each in the order of their rank for the flow.
func (b *Balancer) candidateGroups(flow state.FlowID, targets []*target) [][]*target {
	near := make([]*target, 0, len(targets))
	far := make([]*target, 0, len(targets))
	for _, t := range targets {
		if t.dataCentre == b.settings.DataCentre {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	sortByRank(flow, near)
	sortByRank(flow, far)
	var groups [][]*target
	for len(near)+len(far) > 0 {
		for _, list := range []*[]*target{&near, &far} {
			n := min(candidateCount, len(*list))
			if n > 0 {
				groups = append(groups, (*list)[:n])
				*list = (*list)[n:]
			}
		}
	}
	return groups
}

// cheapest returns the target with the lowest cost among those that accept the flow, or nil if none does, and how many do.
func (b *Balancer) cheapest(now time.Time, targets, excluded []*target, late bool) (*target, int) {
	var best *target
	var lowest time.Duration
	considered := 0
	for _, t := range targets {
		if !t.acceptsFlow(now, excluded, late) {
			continue
		}
		considered++
		if cost := b.cost(now, t); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best, considered
}

// sortByRank sorts targets by their rank for a flow, which is the same at every balancer.
func sortByRank(flow state.FlowID, targets []*target) {
	key := flow.Hash()
	slices.SortFunc(targets, func(x, y *target) int {
		return cmp.Compare(rank.Score(key, y.hash), rank.Score(key, x.hash))
	})
}
