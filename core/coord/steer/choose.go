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
	// choices is how many targets are weighed for a new flow, of those that rank first for it. A few suffice for an even
	// load (Mitzenmacher, "The power of two choices in randomized load balancing", 2001), and a balancer that
	// knows nothing of a flow has to ask only these.
	choices = 8
	// maxTries is how many targets are offered a new flow before it is refused.
	maxTries = 4
	// repeatWait is how long an agent has to confirm a new flow before a copy of the opening packet is offered
	// to another target; below the time after which clients send a copy.
	repeatWait = 150 * time.Millisecond
	// defaultServiceTime is the time of an answer of a target that nothing is known of.
	defaultServiceTime = 50 * time.Millisecond
	// warmupFactor is how much slower a target is taken to be just after its start.
	warmupFactor = 1.6
	// farPenalty is what a target in another data centre costs, in time: the way there, and the bytes.
	farPenalty = 4 * time.Millisecond
)

// place offers a new flow to the best target, or refuses it at once if none takes it.
func (b *Balancer) place(now time.Time, route state.Route, seg state.Segment, p *place) {
	service := route.SelectService(seg.Flow)
	late := isLate(now, route.LatencyObjective, seg, p.waited)
	t, weighed := b.choose(now, service, seg.Flow, p.tried, late)
	if t == nil || len(p.tried) >= maxTries {
		b.postpone(now, service, seg, p, weighed)
		return
	}
	b.placeAt(now, seg, p, t, weighed)
}

// placeAt offers a new flow to a target.
func (b *Balancer) placeAt(now time.Time, seg state.Segment, p *place, t *target, weighed int) {
	p.target = t
	p.since = now
	p.confirmed = false
	b.flows[seg.Flow] = p
	t.sent++
	b.do.OnDecision(relay.Decision{
		Event: relay.EventPlaced, Flow: seg.Flow, Peer: t.address, Config: b.config.Version,
		Age: relay.AgeOf(now, t.heardAt), Count: weighed,
	})
	b.offer(t, seg, isLate(now, b.config.Routes[seg.Flow.Virtual].LatencyObjective, seg, p.waited))
}

// postpone keeps a new flow that no target takes now for a moment, if one may take it soon, and refuses it otherwise.
func (b *Balancer) postpone(now time.Time, service state.ServiceName, seg state.Segment, p *place, weighed int) {
	reason := relay.ReasonNotReady
	if p.full || b.anyServes(now, service) {
		reason = relay.ReasonFull
	}
	if reason == relay.ReasonFull || b.expects(now, service) {
		delete(b.flows, seg.Flow)
		b.wait(now, seg, p, reason)
		return
	}
	b.refuse(seg, p.unanswered, relay.Decision{Reason: reason, Count: weighed})
}

// refuse resets a new flow: it has not opened, so nothing of it has run. One that a target may take yet is only dropped.
func (b *Balancer) refuse(seg state.Segment, unanswered bool, d relay.Decision) {
	delete(b.flows, seg.Flow)
	d.Flow = seg.Flow
	d.Config = b.config.Version
	d.Event = relay.EventRefused
	if unanswered {
		d.Event = relay.EventUnresolved
		d.Reason = relay.ReasonNoReply
	}
	b.do.OnDecision(d)
	if !unanswered {
		b.do.Reset(seg.Flow, seg.Acknowledged)
	}
}

// repeat handles a copy of an opening packet: it goes to the same target, unless that left the first unanswered.
func (b *Balancer) repeat(now time.Time, route state.Route, seg state.Segment, p *place) {
	if p.confirmed || now.Sub(p.since) < repeatWait {
		b.offer(p.target, seg, false)
		return
	}
	p.target.avoidUntil = now.Add(quietPenalty)
	p.unanswered = true
	p.tried = append(p.tried, p.target)
	b.place(now, route, seg, p)
}

// choose returns the target with the least expected time to an answer among those of a service that rank first for the
// flow and take flows, and how many were weighed.
func (b *Balancer) choose(now time.Time, service state.ServiceName, flow state.FlowID, not []*target, late bool) (*target, int) {
	members := ranked(flow, slices.Clone(b.byService[service]))
	for first := 0; first < len(members); first += choices {
		best, weighed := b.cheapest(now, members[first:min(first+choices, len(members))], not, late)
		if best != nil {
			return best, weighed
		}
	}
	return nil, len(members)
}

// cheapest returns the best of a few targets, and how many of them take flows.
func (b *Balancer) cheapest(now time.Time, targets, not []*target, late bool) (*target, int) {
	var best *target
	var least time.Duration
	weighed := 0
	for _, t := range targets {
		if !t.takes(now) || slices.Contains(not, t) || late && now.Before(t.lateUntil) {
			continue
		}
		weighed++
		if cost := b.cost(t); best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best, weighed
}

// ranked sorts targets by their rank for a flow, which is the same on every balancer.
func ranked(flow state.FlowID, targets []*target) []*target {
	key := flow.Hash()
	slices.SortFunc(targets, func(x, y *target) int {
		return cmp.Compare(rank.Score(key, y.hash), rank.Score(key, x.hash))
	})
	return targets
}

// cost is the expected time that one more request adds at a target: what is there and on the way, times the time of an
// answer, over the slots. Source of the form: join the shortest expected delay.
func (b *Balancer) cost(t *target) time.Duration {
	each := t.load.ServiceTime
	if each == 0 {
		each = defaultServiceTime
	}
	if t.load.WarmupLeft > 0 {
		each = time.Duration(warmupFactor * float64(each))
	}
	slots := float64(max(1, t.load.Slots))
	work := max(float64(t.load.Outstanding), t.load.MeanOutstanding) + float64(t.sent) + 1
	cost := time.Duration(work * float64(each) / slots)
	if t.dataCentre != b.settings.DataCentre {
		cost += farPenalty
	}
	return cost
}
