package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// HandleOutbound handles a packet that the target sent. The segment's flow names the client's end first, whichever way
// the packet goes.
func (g *Gate) HandleOutbound(now time.Time, seg state.Segment) {
	if seg.Returned {
		g.returned(now, seg)
		return
	}
	g.target.lastOut = now
	f := g.flows[seg.Flow]
	if f == nil {
		f = g.adoptUnknown(now, seg)
	}
	if f != nil {
		g.follow(now, f, seg)
	}
	g.do.Reply(seg.Flow.Client, seg.Packet)
}

// follow keeps a flow's state in step with a packet of the target.
func (g *Gate) follow(now time.Time, f *flow, seg state.Segment) {
	f.last = now
	f.assumed = false
	if (f.phase == offered && seg.Opens) || (f.phase == probing && !seg.Resets) {
		g.hold(now, f, seg.Flow)
	}
	if seg.DataLen > 0 {
		g.endRequest(now, f)
	}
	if !f.answered {
		f.acknowledged = seg.Sequence
		f.answered = seg.DataLen > 0
	}
	if seg.Finishes {
		f.finTarget = true
	}
	if seg.Resets && f.phase != closed {
		g.closeFlow(seg.Flow, f)
	}
	g.closeIfFinished(seg.Flow, f)
}

// hold notes that the target holds a flow, and tells the balancers that should know.
func (g *Gate) hold(now time.Time, f *flow, id state.FlowID) {
	event := relay.EventAccepted
	if f.phase == probing {
		event = relay.EventDiscovered
	}
	f.phase = open
	g.held++
	g.do.OnDecision(relay.Decision{Event: event, Flow: id, Peer: f.balancer, Age: now.Sub(f.since), Count: g.held})
	g.tellHeld(id, f)
}

// adoptUnknown learns of a flow from a packet that the target sends on it: an agent that started later
// than its target finds its flows in this way too. A reset tells of no flow.
func (g *Gate) adoptUnknown(now time.Time, seg state.Segment) *flow {
	if seg.Resets || g.complete(now) && !seg.Opens {
		return nil
	}
	f := &flow{phase: probing, since: now, last: now}
	g.flows[seg.Flow] = f
	return f
}

// returned handles a packet that the target gave back.
func (g *Gate) returned(now time.Time, seg state.Segment) {
	f := g.flows[seg.Flow]
	if f == nil || !f.balancer.IsValid() {
		return
	}
	balancer := f.balancer
	withPacket := f.phase != probing || f.withPacket
	if seg.Opens {
		if f.phase != offered {
			return
		}
		g.forget(seg.Flow, f)
		g.refuse(now, balancer, 0, seg, relay.ReasonFull)
		return
	}
	if f.phase == closed {
		return
	}
	g.forget(seg.Flow, f)
	m := relay.Message{Kind: relay.KindProbe}
	if withPacket {
		m.Kind = relay.KindData
	}
	g.notHeld(balancer, m, seg)
}
