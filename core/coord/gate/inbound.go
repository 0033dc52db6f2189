package gate

import (
	"math"
	"net/netip"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// Receive handles a message of a balancer. The segment is the message's packet, decoded.
func (g *Gate) Receive(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	switch m.Kind {
	case relay.KindOpen:
		g.receiveOpen(now, from, m, seg)
	case relay.KindData, relay.KindProbe:
		g.receiveData(now, from, m, seg)
	case relay.KindQuery:
		g.answerMany(now, from, m)
	}
}

// answerMany answers which of some flows the target holds.
func (g *Gate) answerMany(now time.Time, from netip.AddrPort, m relay.Message) {
	answers := relay.Message{Kind: relay.KindQueryReply}
	certain := m.Service != g.settings.Service.ID() || g.complete(now)
	for _, id := range m.Flows {
		f, known := g.flows[id]
		switch {
		case known && f.phase == open:
			g.sendHeld(from, id)
		case !known && certain:
			answers.Flows = append(answers.Flows, id)
		default:
			answers.Unresolved = append(answers.Unresolved, id)
		}
	}
	if len(answers.Flows)+len(answers.Unresolved) > 0 {
		g.do.Send(from, answers)
	}
}

func (g *Gate) receiveOpen(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	if f, known := g.flows[seg.Flow]; known && f.phase != closed {
		f.balancer = from
		f.last = now
		g.do.Deliver(seg.Packet)
		return
	}
	reason := g.refusal()
	if m.Service != g.settings.Service.ID() {
		reason = relay.ReasonWrongService
	}
	if reason != relay.ReasonNone {
		g.refuse(now, from, m.Config, seg, reason)
		return
	}
	g.objective = m.LatencyObjective
	if room := g.room(); room == 0 || m.Late && !g.hasFreeSlot() {
		g.toldFull = g.toldFull || room == 0
		g.toldBusy = g.toldBusy || room > 0
		g.refuse(now, from, m.Config, seg, relay.ReasonFull)
		return
	}
	g.flows[seg.Flow] = &flow{phase: offered, balancer: from, since: now, last: now, busy: true, busySince: now}
	g.busy++
	g.do.Deliver(seg.Packet)
}

// room returns how many more requests the target may be given. The limit is where a new one would still be answered
// within its latency objective.
func (g *Gate) room() int {
	if g.target.slots <= 0 {
		return math.MaxInt32
	}
	factor := float64(queueMost)
	if g.serviceTime > 0 && g.objective > 0 {
		factor = min(queueMost, max(queueLeast, queueShare*float64(g.objective)/float64(g.serviceTime)))
	}
	return max(0, int(factor*float64(g.target.slots))-g.busy)
}

// hasFreeSlot reports whether one more request would run at once.
func (g *Gate) hasFreeSlot() bool { return g.target.slots <= 0 || g.busy < g.target.slots }

// refuse gives an opening packet back to its balancer. The version is that of the configuration under which it was
// offered; zero if the target gave the packet back.
func (g *Gate) refuse(now time.Time, to netip.AddrPort, version state.ConfigVersion, seg state.Segment, reason relay.Reason) {
	g.do.OnDecision(relay.Decision{
		Event: relay.EventRefusedByAgent, Flow: seg.Flow, Peer: to, Reason: reason, Config: version,
		Age: relay.AgeOf(now, g.target.heard),
	})
	g.do.Send(to, relay.Message{Kind: relay.KindRefused, Flow: seg.Flow, Reason: reason, Packet: seg.Packet})
}

func (g *Gate) receiveData(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	f, known := g.flows[seg.Flow]
	if known {
		f.balancer = from
		g.deliver(now, f, seg)
		if m.Kind == relay.KindProbe && f.phase == open {
			g.sendHeld(from, seg.Flow)
		}
		return
	}
	if m.Service != g.settings.Service.ID() || g.complete(now) {
		g.notHeld(from, m, seg)
		return
	}
	f = &flow{phase: probing, balancer: from, since: now, last: now, withPacket: m.Kind == relay.KindData}
	g.flows[seg.Flow] = f
	g.deliver(now, f, seg)
}

// notHeld tells a balancer that the flow is not here. A packet that came with an ask went to others too.
func (g *Gate) notHeld(to netip.AddrPort, m relay.Message, seg state.Segment) {
	answer := relay.Message{Kind: relay.KindNotFound, Flow: seg.Flow}
	if m.Kind == relay.KindData {
		answer.Packet = seg.Packet
		// What an ask comes to is noted by the balancer, which asks many agents.
		g.do.OnDecision(relay.Decision{Event: relay.EventNotFound, Flow: seg.Flow, Peer: to})
	}
	g.do.Send(to, answer)
}

// deliver hands a client's packet to the target and follows what it does to the flow.
func (g *Gate) deliver(now time.Time, f *flow, seg state.Segment) {
	f.last = now
	if seg.Acknowledges {
		f.acknowledged = seg.Acknowledged
		f.answered = true
	}
	if seg.DataLen > 0 {
		g.startRequest(now, f)
	}
	if seg.Finishes {
		f.finClient = true
	}
	g.do.Deliver(seg.Packet)
	if seg.Resets {
		g.closeFlow(seg.Flow, f)
	}
	g.closeIfFinished(seg.Flow, f)
}

func (g *Gate) startRequest(now time.Time, f *flow) {
	if f.phase == closed || f.busy && f.asked {
		return
	}
	if !f.busy {
		g.busy++
	}
	f.asked = true
	f.busy = true
	f.busySince = now
	f.sample = g.busy <= max(1, g.target.slots)
}

func (g *Gate) endRequest(now time.Time, f *flow) {
	if !f.busy {
		return
	}
	f.busy = false
	g.busy--
	news := g.toldFull && g.room() > 0 || g.toldBusy && g.hasFreeSlot()
	if news && now.Sub(g.lastReport) >= g.roomGap() {
		g.report(now)
	}
	took := now.Sub(f.busySince)
	if f.asked {
		g.do.OnResponse(took)
	}
	if !f.sample {
		return
	}
	if g.serviceTime == 0 {
		g.serviceTime = took
		return
	}
	g.serviceTime += time.Duration(smoothing * float64(took-g.serviceTime))
}

func (g *Gate) closeIfFinished(id state.FlowID, f *flow) {
	if f.finClient && f.finTarget && f.phase != closed {
		g.closeFlow(id, f)
	}
}

func (g *Gate) closeFlow(id state.FlowID, f *flow) {
	g.release(f)
	f.phase = closed
	g.do.OnDecision(relay.Decision{Event: relay.EventClosed, Flow: id})
}

// release takes a flow out of the counts.
func (g *Gate) release(f *flow) {
	if f.busy {
		f.busy = false
		g.busy--
	}
	if f.phase == open {
		g.held--
	}
}

// forget drops a flow.
func (g *Gate) forget(id state.FlowID, f *flow) {
	g.release(f)
	delete(g.flows, id)
}
