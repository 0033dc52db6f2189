package steer

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// HandleMessage handles a message of another node. The segment is the message's packet, decoded, if it has one.
func (b *Balancer) HandleMessage(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
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

// handleQueryReply learns which flows an agent's target does not hold, and of which its agent wants a packet.
func (b *Balancer) handleQueryReply(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets[from]
	if t == nil {
		return
	}
	for _, id := range m.Flows {
		if s, searching := b.searches[id]; searching {
			b.notFound(now, s, t)
		}
	}
	for _, id := range m.Unresolved {
		if s, searching := b.searches[id]; searching {
			s.unresolved = append(s.unresolved, t)
			s.pending = slices.DeleteFunc(s.pending, func(other *target) bool { return other == t })
			b.searchNextBatch(now, s)
		}
	}
}

// handleLocation learns where a flow is, from its agent or from an owner.
func (b *Balancer) handleLocation(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets[m.Holder]
	if t == nil || t.service.ID() != m.Service {
		return
	}
	delete(b.queue, m.Flow)
	p := b.flows[m.Flow]
	switch {
	case p != nil && p.confirmed && p.target != t && p.target.running():
		// A flow does not move. A late copy of the opening packet has opened it at a second target, which the client does
		// not answer; if it is the first that is wrong, that one denies the flow.
		return
	case p != nil:
		p.target = t
		p.confirmed = true
	default:
		b.flows[m.Flow] = &placement{target: t, since: now, confirmed: true}
	}
	if s, searching := b.searches[m.Flow]; searching {
		b.concludeFound(now, s, t, from == m.Holder && slices.Contains(s.probed, t))
	}
}

func (b *Balancer) handleLookup(from netip.AddrPort, m relay.Message) {
	p := b.flows[m.Flow]
	if p == nil || !p.confirmed {
		b.actions.Send(from, relay.Message{Kind: relay.KindLookupMiss, Flow: m.Flow})
		return
	}
	b.actions.Send(from, relay.Message{
		Kind: relay.KindLocation, Flow: m.Flow, Holder: p.target.address, Service: p.target.service.ID(),
	})
}

func (b *Balancer) handleLookupMiss(now time.Time, from netip.AddrPort, m relay.Message) {
	s, searching := b.searches[m.Flow]
	if !searching || s.agentPhase {
		return
	}
	s.owners = slices.DeleteFunc(s.owners, func(o netip.AddrPort) bool { return o == from })
	if len(s.owners) == 0 {
		b.searchAgents(now, s)
	}
}

// handleRefused offers a new flow that a target did not take to another one.
func (b *Balancer) handleRefused(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	p := b.flows[m.Flow]
	if p == nil || p.confirmed || p.target.address != from || !seg.Opens {
		return
	}
	route, ok := b.config.Routes[seg.Flow.Virtual]
	switch {
	case m.Reason != relay.ReasonFull:
		p.target.load.Accepting = false
	case !isLate(now, route.LatencyObjective, seg, p.queuedAt):
		p.target.fullUntil = now.Add(fullBackoff)
		p.refusedAsFull = true
	default:
		// The target may still have room for a flow that is not late.
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

// handleNotFound learns that an agent's target does not hold a flow.
func (b *Balancer) handleNotFound(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	t := b.targets[from]
	if t == nil {
		return
	}
	if s, searching := b.searches[m.Flow]; searching {
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

func (b *Balancer) notFound(now time.Time, s *search, t *target) {
	s.notFound = append(s.notFound, t)
	s.pending = slices.DeleteFunc(s.pending, func(other *target) bool { return other == t })
	if s.agentPhase && len(s.pending) == 0 {
		b.searchNextBatch(now, s)
	}
}
