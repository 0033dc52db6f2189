package steer

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// HandleMessage handles a message from another node. The segment is the decoded packet of the message, if it carries
// one.
func (b *Balancer) HandleMessage(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	if t := b.targets.byAddress[from]; t != nil {
		t.heard(now)
	}
	switch m.Kind {
	case relay.KindLoad:
		b.handleLoad(now, from, m)
	case relay.KindLocation:
		b.handleLocation(now, from, m)
	case relay.KindLookup:
		b.handleLookup(from, m)
	case relay.KindLookupMiss:
		b.handleLookupMiss(now, from, m)
	case relay.KindRefused:
		b.handleRefused(now, from, m, seg)
	case relay.KindNotFound:
		b.handleNotFound(now, from, m, seg)
	case relay.KindQueryReply:
		b.handleQueryReply(now, from, m)
	}
}

// handleQueryReply handles an agent's reply to a query: the flows that its target does not hold, and those that the
// agent can't resolve without a packet, which are probed next.
func (b *Balancer) handleQueryReply(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets.byAddress[from]
	if t == nil {
		return
	}
	for _, id := range m.Flows {
		if s, searching := b.searches.byFlow[id]; searching {
			b.notFound(now, s, t)
		}
	}
	for _, id := range m.Unresolved {
		if s, searching := b.searches.byFlow[id]; searching {
			s.unresolved = append(s.unresolved, t)
			s.pending = slices.DeleteFunc(s.pending, func(other *target) bool { return other == t })
			b.searchNextBatch(now, s)
		}
	}
}

// handleLocation handles the location of a flow, reported by its agent or by an owner. One that is only assumed, at a target that is gone,
// counts as none: the flow may be open elsewhere.
func (b *Balancer) handleLocation(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets.byAddress[m.Holder]
	if t == nil || t.service.ID() != m.Service {
		if _, searching := b.searches.byFlow[m.Flow]; searching {
			b.actions.OnDecision(relay.Decision{Event: relay.EventUnknownHolder, Flow: m.Flow, Peer: m.Holder, Config: b.config.Version})
		}
		return
	}
	if m.Assumed && b.isGone(now, b.config.Routes[m.Flow.Virtual], t) {
		b.handleLookupMiss(now, from, m)
		return
	}
	b.queue.Remove(m.Flow)
	p := b.flows[m.Flow]
	if m.HasLoad && from == m.Holder {
		b.handleConfirmation(now, t, p, m.Load)
	}
	if p != nil && !b.replaces(now, p, t, m.Evidence()) {
		return
	}
	b.locate(now, m.Flow, t, m.Evidence())
	if s, searching := b.searches.byFlow[m.Flow]; searching {
		b.concludeFound(now, s, t, m.Evidence(), from == m.Holder && slices.Contains(s.probed, t))
	}
}

// handleConfirmation applies the load with which a target's agent confirms that it holds a flow, whose placement is p; nil if the
// flow has none here.
func (b *Balancer) handleConfirmation(now time.Time, t *target, p *placement, load relay.Load) {
	if p != nil && p.target == t && !p.located() {
		t.offerAnswered()
	}
	b.setLoad(now, t, load)
}

// handleLookup replies to another balancer's lookup: with the flow's location if an agent has confirmed it, and otherwise
// with a lookup miss.
func (b *Balancer) handleLookup(from netip.AddrPort, m relay.Message) {
	p := b.flows[m.Flow]
	if p == nil || !p.located() {
		b.actions.Send(from, relay.Message{Kind: relay.KindLookupMiss, Flow: m.Flow})
		return
	}
	b.actions.Send(from, relay.Message{
		Kind: relay.KindLocation, Flow: m.Flow, Holder: p.target.address, Service: p.target.service.ID(),
		Assumed: p.evidence == relay.EvidenceAssumed,
	})
}

// handleLookupMiss records that an owner does not know a flow's location. After the last owner's miss the agents are
// searched.
func (b *Balancer) handleLookupMiss(now time.Time, from netip.AddrPort, m relay.Message) {
	s, searching := b.searches.byFlow[m.Flow]
	if !searching || s.agentPhase {
		return
	}
	s.owners = slices.DeleteFunc(s.owners, func(o netip.AddrPort) bool { return o == from })
	if len(s.owners) == 0 {
		b.searchAgents(now, s)
	}
}

// handleRefused offers a new flow that a target refused to another target.
func (b *Balancer) handleRefused(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	p := b.flows[m.Flow]
	if p == nil || p.located() || p.target.address != from || !seg.Opens {
		return
	}
	p.target.offerAnswered()
	route, ok := b.config.Routes[seg.Flow.Virtual]
	switch {
	case m.Reason != relay.ReasonFull && m.Reason != relay.ReasonWarmingUp:
		p.target.load.Accepting = false
	case m.Reason == relay.ReasonWarmingUp || !b.isLate(now, route, seg, p.queuedAt):
		p.target.fullUntil = now.Add(fullBackoff)
		p.refusedAsFull = true
	default:
		// The target may still have headroom for a flow that is not late.
		p.target.refusesLateUntil = now.Add(fullBackoff)
		p.refusedAsFull = true
	}
	p.tried = append(p.tried, p.target)
	if !ok {
		b.resetUnrouted(seg)
		return
	}
	b.place(now, route, seg, p)
}

// handleNotFound handles an agent's report that its target does not hold a flow. If the agent returned the packet, it
// starts a search for the holder.
func (b *Balancer) handleNotFound(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	t := b.targets.byAddress[from]
	if t == nil {
		return
	}
	if s, searching := b.searches.byFlow[m.Flow]; searching {
		b.notFound(now, s, t)
		return
	}
	if p := b.flows[m.Flow]; p != nil && p.target == t {
		delete(b.flows, m.Flow)
	}
	if len(seg.Packet) > 0 && b.flows[m.Flow] == nil {
		b.startSearch(now, seg, []*target{t})
	}
}

// notFound records that a target does not hold the flow of a search. The next batch follows once no reply is pending.
func (b *Balancer) notFound(now time.Time, s *search, t *target) {
	if !slices.Contains(s.notFound, t) {
		s.notFound = append(s.notFound, t)
	}
	s.pending = slices.DeleteFunc(s.pending, func(other *target) bool { return other == t })
	if s.agentPhase && len(s.pending) == 0 {
		b.searchNextBatch(now, s)
	}
}
