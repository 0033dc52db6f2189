package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// HandleOutbound handles a packet that the target sent or returned. Client in the segment's flow is always the client's endpoint,
// although a packet that the target sent goes from Virtual to Client.
func (g *Gate) HandleOutbound(now time.Time, seg state.Segment) {
	if seg.Returned {
		g.handleReturned(now, seg)
		return
	}
	g.target.lastOutbound = now
	f := g.flows[seg.Flow]
	if f == nil {
		f = g.discoverFlow(now, seg)
	}
	if f != nil {
		g.trackOutbound(now, f, seg)
	}
	g.actions.Reply(seg.Flow.Client, seg.Packet)
}

// trackOutbound updates a flow's state from a packet that the target sent.
func (g *Gate) trackOutbound(now time.Time, f *flow, seg state.Segment) {
	f.lastPacket = now
	if f.assumed && !seg.Opens && !seg.Resets {
		g.confirm(now, f, seg.Flow)
	}
	if (f.phase == offered && seg.Opens) || (f.phase == probing && !seg.Resets) {
		g.markOpen(now, f, seg.Flow)
	}
	if seg.DataLen > 0 {
		g.endRequest(now, f)
	}
	if !f.established {
		f.resetSequence = seg.Sequence
		f.established = seg.DataLen > 0
	}
	if seg.Finishes {
		f.finTarget = true
	}
	if seg.Resets && f.phase != closed {
		if f.outstanding {
			g.recordFailure(now)
		}
		g.closeFlow(seg.Flow, f)
	}
	g.closeIfFinished(seg.Flow, f)
}

// markOpen records that the target holds a flow, and sends its location to the flow's owners and to its balancer.
func (g *Gate) markOpen(now time.Time, f *flow, id state.FlowID) {
	event := relay.EventAccepted
	if f.phase == probing {
		event = relay.EventDiscovered
	}
	f.phase = open
	g.openFlows++
	d := relay.Decision{Event: event, Flow: id, Peer: f.balancer, Age: now.Sub(f.createdAt), Count: g.openFlows}
	if event == relay.EventDiscovered || f.assumed {
		d.Evidence = f.evidence()
	}
	g.actions.OnDecision(d)
	g.sendLocations(now, id, f)
}

// confirm records that the target holds a flow of which that was only assumed, and tells those that may have its location.
func (g *Gate) confirm(now time.Time, f *flow, id state.FlowID) {
	f.assumed = false
	if f.phase == open {
		g.sendLocations(now, id, f)
	}
}

// discoverFlow adds an unknown flow on which the target sent a packet: in this way an agent that started after its target
// discovers flows that the target has open. It adds no flow and returns nil for a reset, which does not show that the target
// holds the flow, and for a packet that opens no flow if the gate knows all flows of its target.
func (g *Gate) discoverFlow(now time.Time, seg state.Segment) *flow {
	if seg.Resets || g.knowsAllFlows(now) && !seg.Opens {
		return nil
	}
	f := &flow{phase: probing, createdAt: now, lastPacket: now}
	g.flows[seg.Flow] = f
	return f
}

// handleReturned handles a packet that the target returned because it did not accept the flow or does not hold it.
func (g *Gate) handleReturned(now time.Time, seg state.Segment) {
	f := g.flows[seg.Flow]
	if f == nil || !f.balancer.IsValid() {
		return
	}
	balancer := f.balancer
	returnPacket := f.phase != probing || f.returnPacket
	if seg.Opens {
		if f.phase != offered {
			return
		}
		g.removeFlow(seg.Flow, f)
		g.refuse(now, balancer, 0, seg, relay.ReasonFull)
		return
	}
	if f.phase == closed {
		// Nobody else holds the flow, so the packet need not go back to its balancer.
		g.sendNotFound(balancer, relay.Message{Kind: relay.KindProbe}, seg)
		return
	}
	g.removeFlow(seg.Flow, f)
	m := relay.Message{Kind: relay.KindProbe}
	if returnPacket {
		m.Kind = relay.KindData
	}
	g.sendNotFound(balancer, m, seg)
}
