package gate

import (
	"math"
	"net/netip"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// HandleMessage handles a message from a balancer. seg is the decoded packet of the message, if it carries one.
func (g *Gate) HandleMessage(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	switch m.Kind {
	case relay.KindOpen:
		g.handleOpen(now, from, m, seg)
	case relay.KindData, relay.KindProbe:
		g.handleData(now, from, m, seg)
	case relay.KindQuery:
		g.handleQuery(now, from, m)
	}
}

// handleQuery replies to a query: with a location for each of its flows that is open at the target, and with one query reply for
// the others.
func (g *Gate) handleQuery(now time.Time, from netip.AddrPort, m relay.Message) {
	reply := relay.Message{Kind: relay.KindQueryReply}
	certain := m.Service != g.settings.Service.ID() || g.knowsAllFlows(now)
	for _, id := range m.Flows {
		f, known := g.flows[id]
		switch {
		case known && f.phase == open:
			g.sendLocation(from, id, f)
		case !known && certain:
			reply.Flows = append(reply.Flows, id)
		default:
			reply.Unresolved = append(reply.Unresolved, id)
		}
	}
	if len(reply.Flows)+len(reply.Unresolved) > 0 {
		g.actions.Send(from, reply)
	}
}

// handleOpen handles the opening packet of a flow: it offers the flow to the target or refuses it.
func (g *Gate) handleOpen(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	if f, known := g.flows[seg.Flow]; known && f.phase != closed {
		f.balancer = from
		f.lastPacket = now
		g.actions.Deliver(seg.Packet)
		return
	}
	reason := g.refusalReason()
	if m.Service != g.settings.Service.ID() {
		reason = relay.ReasonWrongService
	}
	if reason != relay.ReasonNone {
		g.refuse(now, from, m.Config, seg, reason)
		return
	}
	g.objective = m.LatencyObjective
	g.warmup.SetRate(m.Config, m.WarmupRate)
	// A late flow may use a free slot only: the target's queue is kept for flows that can still be answered in time.
	headroom := g.headroom(now)
	if headroom == 0 || m.Late && !g.hasFreeSlot() {
		g.reportedFull = g.reportedFull || headroom == 0
		g.refusedLate = g.refusedLate || headroom > 0
		g.refuse(now, from, m.Config, seg, g.fullReason(now))
		return
	}
	g.countNewFlow(now)
	g.flows[seg.Flow] = &flow{
		phase: offered, balancer: from, createdAt: now, lastPacket: now, outstanding: true, outstandingSince: now, assumed: g.pauses.MayBeLate(now),
	}
	g.outstanding++
	g.actions.Deliver(seg.Packet)
}

// requestHeadroom returns how many more requests may be sent to the target, warm-up aside. The limit is such that a new request
// would still be answered within its latency objective.
func (g *Gate) requestHeadroom(now time.Time) int {
	if g.failures.onProbation(now) {
		return max(0, 1-g.outstanding)
	}
	if g.target.slots <= 0 {
		return math.MaxInt32
	}
	perSlot := float64(maxOutstandingPerSlot)
	if serviceTime := g.serviceTime.estimate(now); serviceTime > 0 && g.objective > 0 {
		perSlot = min(perSlot, max(minOutstandingPerSlot, objectiveFraction*float64(g.objective)/float64(serviceTime)))
	}
	return max(0, int(perSlot*float64(g.target.slots))-g.outstanding)
}

// headroom returns how many more requests may be sent to the target, within the limit for its warm-up.
func (g *Gate) headroom(now time.Time) int { return min(g.requestHeadroom(now), g.warmup.Allowed(now)) }

// hasFreeSlot reports whether one more request would run without waiting for a slot.
func (g *Gate) hasFreeSlot() bool {
	return g.target.slots <= 0 || g.outstanding < g.target.slots
}

// refuse returns an opening packet to its balancer. The version is that of the configuration under which the balancer offered the
// flow; zero if the target returned the packet.
func (g *Gate) refuse(now time.Time, to netip.AddrPort, version state.ConfigVersion, seg state.Segment, reason relay.Reason) {
	g.actions.OnDecision(relay.Decision{
		Event: relay.EventRefusedByAgent, Flow: seg.Flow, Peer: to, Reason: reason, Config: version,
		Age: relay.AgeOf(now, g.target.lastHeartbeat),
	})
	g.actions.Send(to, relay.Message{Kind: relay.KindRefused, Flow: seg.Flow, Reason: reason, Packet: seg.Packet})
}

// handleData handles a packet of a flow that was opened earlier, here or elsewhere. An unknown flow is reported as not found if
// the gate knows all flows of its target. Otherwise the packet is delivered, and the target returns it if it does not hold the flow.
func (g *Gate) handleData(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment) {
	f, known := g.flows[seg.Flow]
	if known {
		f.balancer = from
		g.deliverPacket(now, f, seg)
		if m.Kind == relay.KindProbe {
			g.answerProbe(from, f, m, seg)
		}
		return
	}
	if m.Service != g.settings.Service.ID() || g.knowsAllFlows(now) {
		g.sendNotFound(from, m, seg)
		return
	}
	f = &flow{phase: probing, balancer: from, createdAt: now, lastPacket: now, returnPacket: m.Kind == relay.KindData}
	g.flows[seg.Flow] = f
	g.deliverPacket(now, f, seg)
}

// answerProbe replies to the probe of a known flow, since a balancer takes an agent that leaves probes without a reply for unresponsive. A
// flow that has ended stays here, so that late packets reach the target, which answers or returns them. The target does not hold a flow
// whose opening packet it has not answered. While the target may still return an earlier probe, that decides.
func (g *Gate) answerProbe(to netip.AddrPort, f *flow, m relay.Message, seg state.Segment) {
	switch f.phase {
	case open, closed:
		g.sendLocation(to, seg.Flow, f)
	case offered:
		g.sendNotFound(to, m, seg)
	case probing:
	}
}

// sendNotFound reports to a balancer that the target does not hold the flow. The packet goes back only if m is a KindData: the
// packet of a probe went to other agents too.
func (g *Gate) sendNotFound(to netip.AddrPort, m relay.Message, seg state.Segment) {
	reply := relay.Message{Kind: relay.KindNotFound, Flow: seg.Flow}
	if m.Kind == relay.KindData {
		reply.Packet = seg.Packet
		// The outcome of a probe is logged by the balancer, which probes many agents for one flow.
		g.actions.OnDecision(relay.Decision{Event: relay.EventNotFound, Flow: seg.Flow, Peer: to})
	}
	g.actions.Send(to, reply)
}

// deliverPacket passes a client's packet to the target and updates the flow's state from it.
func (g *Gate) deliverPacket(now time.Time, f *flow, seg state.Segment) {
	f.lastPacket = now
	if seg.Acknowledges && f.isAcknowledgedBy(seg) {
		f.resetSequence = seg.Acknowledged
		f.established = true
	}
	if seg.DataLen > 0 {
		g.startRequest(now, f)
	}
	if seg.Finishes {
		f.finClient = true
	}
	g.actions.Deliver(seg.Packet)
	if seg.Resets {
		if f.outstanding && f.requestReceived && now.Sub(f.outstandingSince) > unansweredTimeout {
			g.recordFailure(now)
		}
		g.closeFlow(seg.Flow, f)
	}
	g.closeIfFinished(seg.Flow, f)
}

// recordFailure records that the target failed a request. If it is ejected for that, the balancers are told at once.
func (g *Gate) recordFailure(now time.Time) {
	if !g.failures.recordFailure(now) {
		return
	}
	g.actions.OnDecision(relay.Decision{
		Event: relay.EventTargetFailing, Peer: g.settings.Self, Age: g.failures.ejectionTime, Count: g.outstanding,
	})
	g.sendReports(now)
}

// startRequest counts the flow's request as outstanding, from its first packet.
func (g *Gate) startRequest(now time.Time, f *flow) {
	if f.phase == closed || f.outstanding && f.requestReceived {
		return
	}
	if !f.outstanding {
		g.outstanding++
	}
	f.requestReceived = true
	f.outstanding = true
	f.outstandingSince = now
	f.hadFreeSlot = g.outstanding <= max(1, g.target.slots)
}

// endRequest ends the flow's outstanding request, if there is one, with an answer, and samples the service time. If the target was
// reported as full, or a late flow was refused, and there is headroom or a free slot now, the balancers get a report at once, unless
// the last one is too recent.
func (g *Gate) endRequest(now time.Time, f *flow) {
	if !f.outstanding {
		return
	}
	took := now.Sub(f.outstandingSince)
	g.uncountRequest(now, f)
	if f.requestReceived {
		busy := g.outstanding >= g.target.slots
		g.serviceTime.recordAnswer(now, took, f.hadFreeSlot, busy, max(1, g.target.slots))
		g.failures.recordAnswer(now)
		g.actions.OnAnswer(took)
	}
}

// uncountRequest ends the flow's outstanding request without an answer.
func (g *Gate) uncountRequest(now time.Time, f *flow) {
	f.outstanding = false
	g.outstanding--
	g.reportHeadroom(now)
}

// reportHeadroom sends load reports if a target that was reported as full, or has refused a late flow, has headroom or a free slot
// again.
func (g *Gate) reportHeadroom(now time.Time) {
	hasHeadroom := g.reportedFull && g.headroom(now) > 0 || g.refusedLate && g.hasFreeSlot()
	if hasHeadroom && now.Sub(g.lastReport) >= g.headroomReportInterval() {
		g.sendReports(now)
	}
}

func (g *Gate) closeIfFinished(id state.FlowID, f *flow) {
	if f.finClient && f.finTarget && f.phase != closed {
		g.closeFlow(id, f)
	}
}

func (g *Gate) closeFlow(id state.FlowID, f *flow) {
	g.uncountFlow(f)
	f.phase = closed
	g.actions.OnDecision(relay.Decision{Event: relay.EventClosed, Flow: id})
}

// uncountFlow removes a flow from the counts of outstanding requests and open flows.
func (g *Gate) uncountFlow(f *flow) {
	if f.outstanding {
		f.outstanding = false
		g.outstanding--
	}
	if f.phase == open {
		g.openFlows--
	}
}

// removeFlow deletes the gate's record of a flow.
func (g *Gate) removeFlow(id state.FlowID, f *flow) {
	g.uncountFlow(f)
	delete(g.flows, id)
}
