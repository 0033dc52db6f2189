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
		b.heard(now, from, m)
	case relay.KindLocation:
		b.held(now, from, m)
	case relay.KindLookup:
		b.answerWhere(from, m)
	case relay.KindLookupMiss:
		b.unknown(now, from, m)
	case relay.KindRefused:
		b.refused(now, from, m, seg)
	case relay.KindNotFound:
		b.notHeld(now, from, m, seg)
	case relay.KindQueryReply:
		b.answered(now, from, m)
	}
}

// answered learns which flows an agent's target does not hold, and of which its agent wants a packet.
func (b *Balancer) answered(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets[from]
	if t == nil {
		return
	}
	for _, id := range m.Flows {
		if s, searching := b.searches[id]; searching {
			b.denied(now, s, t)
		}
	}
	for _, id := range m.Unresolved {
		if s, searching := b.searches[id]; searching {
			s.unsure = append(s.unsure, t)
			s.asked = slices.DeleteFunc(s.asked, func(other *target) bool { return other == t })
			b.askNext(now, s)
		}
	}
}

// held learns where a flow is, from its agent or from an owner.
func (b *Balancer) held(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets[m.Holder]
	if t == nil || t.service.ID() != m.Service {
		return
	}
	delete(b.waiting, m.Flow)
	p := b.flows[m.Flow]
	switch {
	case p != nil && p.confirmed && p.target != t && p.target.runs():
		// A flow does not move. A late copy of the opening packet has opened it at a second target, which the client does
		// not answer; if it is the first that is wrong, that one denies the flow.
		return
	case p != nil:
		p.target = t
		p.confirmed = true
	default:
		b.flows[m.Flow] = &place{target: t, since: now, confirmed: true}
	}
	if s, searching := b.searches[m.Flow]; searching {
		b.found(now, s, t, from == m.Holder && slices.Contains(s.carried, t))
	}
}

func (b *Balancer) answerWhere(from netip.AddrPort, m relay.Message) {
	p := b.flows[m.Flow]
	if p == nil || !p.confirmed {
		b.do.Send(from, relay.Message{Kind: relay.KindLookupMiss, Flow: m.Flow})
		return
	}
	b.do.Send(from, relay.Message{
		Kind: relay.KindLocation, Flow: m.Flow, Holder: p.target.address, Service: p.target.service.ID(),
	})
}

func (b *Balancer) unknown(now time.Time, from netip.AddrPort, m relay.Message) {
	s, searching := b.searches[m.Flow]
	if !searching || s.agents {
		return
	}
	s.owners = slices.DeleteFunc(s.owners, func(o netip.AddrPort) bool { return o == from })
	if len(s.owners) == 0 {
		b.askAgents(now, s)
	}
}

// refused offers a new flow that a target did not take to another one.
func (b *Balancer) refused(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	p := b.flows[m.Flow]
	if p == nil || p.confirmed || p.target.address != from || !seg.Opens {
		return
	}
	route, ok := b.config.Routes[seg.Flow.Virtual]
	switch {
	case m.Reason != relay.ReasonFull:
		p.target.load.Accepting = false
	case !isLate(now, route.LatencyObjective, seg, p.waited):
		p.target.fullUntil = now.Add(fullPenalty)
		p.full = true
	default:
		// The target may still have room for a flow that is not late.
		p.target.lateUntil = now.Add(fullPenalty)
		p.full = true
	}
	p.tried = append(p.tried, p.target)
	if !ok {
		b.refuseRoute(seg)
		return
	}
	b.place(now, route, seg, p)
}

// notHeld learns that an agent's target does not hold a flow.
func (b *Balancer) notHeld(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	t := b.targets[from]
	if t == nil {
		return
	}
	if s, searching := b.searches[m.Flow]; searching {
		b.denied(now, s, t)
		return
	}
	if p := b.flows[m.Flow]; p != nil && p.target == t {
		delete(b.flows, m.Flow)
	}
	if len(seg.Packet) > 0 && b.flows[m.Flow] == nil {
		b.startSearch(now, seg, []*target{t})
	}
}

func (b *Balancer) denied(now time.Time, s *search, t *target) {
	s.denied = append(s.denied, t)
	s.asked = slices.DeleteFunc(s.asked, func(other *target) bool { return other == t })
	if s.agents && len(s.asked) == 0 {
		b.askNext(now, s)
	}
}
