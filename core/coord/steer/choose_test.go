package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

// An agent that did not answer an opening packet, or the link to it, may be dead.
func TestUnansweredOpeningPacketIsOfferedToAnotherTarget(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	first, _ := h.last(relay.KindOpen)
	h.now = h.now.Add(200 * time.Millisecond)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 1))
	second, _ := h.last(relay.KindOpen)
	h.is.True(second.to != first.to)
}

func TestNewFlowRefusedByAllTargetsIsReset(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	for range 2 {
		offered, _ := h.last(relay.KindOpen)
		h.is.Equal(len(h.resets), 0)
		h.b.HandleMessage(h.now, offered.to, relay.Message{Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonDraining}, openingSegment(flow(1), 0))
	}
	h.is.Equal(h.count(relay.KindOpen), 2)
	h.is.Equal(h.resets, []state.FlowID{flow(1)}) // no target is left: the flow is refused at once
}

// After a start of the whole fleet a balancer may receive new flows before its first configuration. They must not be
// refused at once, but early enough for the client to try again.
func TestNewFlowsAreQueuedUntilTheFirstConfiguration(t *testing.T) {
	h := newHarness(t)
	h.members(1)
	h.advance(100*time.Millisecond, 1)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(h.count(relay.KindOpen), 0)
	h.is.Equal(len(h.resets), 0)
	h.b.Configure(h.now, config(1, service))
	h.advance(steer.TickPeriod, 1)
	h.is.Equal(h.count(relay.KindOpen), 1)

	h = newHarness(t)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.advance(1200 * time.Millisecond)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// All agents were restarted, and receive the first heartbeat of their targets within a heartbeat interval. New flows
// must not be refused meanwhile.
func TestNewFlowsAreQueuedForStartingAgents(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	h.advance(5*time.Second, 1)
	restarted := member(1, service, state.HealthAlive)
	restarted.ID = state.NewInstanceID("agent-b", 99)
	restarted.Phase = state.PhaseStarting
	h.b.SetMembers(h.now, []state.Member{restarted})
	h.clear()
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(len(h.resets), 0)
	h.advance(600*time.Millisecond, 1)
	h.is.Equal(h.count(relay.KindOpen), 1)
}

// With targets of unequal speed, new flows go where an answer is expected first.
func TestFasterTargetGetsMoreNewFlows(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.report(1, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ServiceTime: 80 * time.Millisecond, ReportInterval: time.Second})
	h.report(2, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ServiceTime: 30 * time.Millisecond, ReportInterval: time.Second})
	counts := map[netip.AddrPort]int{}
	for n := range uint16(22) {
		h.b.HandlePacket(h.now, openingSegment(flow(n), 0))
		offered, _ := h.last(relay.KindOpen)
		counts[offered.to]++
	}
	h.is.Equal(counts[agent(2)], 16) // the service times are 80:30, so 16 of 22
}

// newHarnessWithOneTarget returns a harness with one agent and a route whose latency objective is 250 ms.
func newHarnessWithOneTarget(t *testing.T) *harness {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.LatencyObjective = 250 * time.Millisecond }))
	h.members(1)
	return h
}

// Under overload, new flows that can still be answered within the latency objective are placed first, and each new flow
// is placed or refused within the time for which its client waits.
func TestFlowsInTimeArePlacedFirstUnderOverload(t *testing.T) {
	h := newHarnessWithOneTarget(t)
	h.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.b.HandlePacket(h.now, openingSegment(flow(2), 0))
	h.now = h.now.Add(400 * time.Millisecond)
	h.b.HandlePacket(h.now, openingSegment(flow(3), 0))
	h.is.Equal(h.count(relay.KindOpen), 0)
	h.is.Equal(len(h.resets), 0)
	h.report(1, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: time.Second})
	h.b.Tick(h.now)
	offered, _ := h.last(relay.KindOpen)
	h.is.Equal(offered.Flow, flow(3)) // the others are already late
	h.is.Equal(h.count(relay.KindOpen), 1)
	h.now = h.now.Add(700 * time.Millisecond)
	h.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second})
	h.b.Tick(h.now)
	h.is.Equal(len(h.resets), 2)
}

// newHarnessWithQueuedCopy returns a harness with one full target, for which flow 1 is queued, first seen by the last copy of its opening
// packet, and then flow 2, which begins now.
func newHarnessWithQueuedCopy(t *testing.T) *harness {
	h := newHarnessWithOneTarget(t)
	h.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second})
	old := openingSegment(flow(1), 2)
	old.ConnectAge = 600 * time.Millisecond
	h.b.HandlePacket(h.now, old)
	h.b.HandlePacket(h.now, openingSegment(flow(2), 0))
	return h
}

// After an outage most flows are first seen by the last copy of their opening packet, which clients send after 600 ms. Guards against
// offers of flows whose clients have given up after 1.4 s: they take slots of others.
func TestQueuedFlowIsRefusedBeforeItsClientGivesUp(t *testing.T) {
	h := newHarnessWithQueuedCopy(t)
	h.now = h.now.Add(700 * time.Millisecond)
	h.b.Tick(h.now)
	h.is.Equal(len(h.resets), 0)
	h.now = h.now.Add(steer.TickPeriod)
	h.b.Tick(h.now)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// After an outage of one second the first packets are retransmissions of opening packets that were sent during the
// outage. Those flows are late already; flows that begin now are not, and must be placed first.
func TestNewFlowGoesBeforeLateRetransmission(t *testing.T) {
	h := newHarnessWithQueuedCopy(t)
	h.report(1, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: time.Second})
	offered, _ := h.last(relay.KindOpen)
	h.is.Equal(offered.Flow, flow(2))
	h.is.Equal(h.count(relay.KindOpen), 1)
}

// After an outage cold targets take nearly half of the latency objective for a request. A queued flow for which the
// rest of the objective is too short for that is late already, and must not go before one that can be answered in time.
func TestFlowThatCanBeAnsweredInTimeGoesBeforeOneThatCannot(t *testing.T) {
	h := newHarnessWithOneTarget(t)
	busy := relay.Load{
		Accepting: true, Headroom: 0, Slots: 4, ServiceTime: 60 * time.Millisecond, WarmupLeft: time.Second, ReportInterval: time.Second,
	}
	h.report(1, busy)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.now = h.now.Add(180 * time.Millisecond) // 250 - 180 ms are left, and a request takes 96 ms
	h.b.HandlePacket(h.now, openingSegment(flow(2), 0))
	h.report(1, busy)
	h.b.Tick(h.now)
	busy.Headroom = 1
	h.report(1, busy)
	offered, _ := h.last(relay.KindOpen)
	h.is.Equal(offered.Flow, flow(2))
	h.is.Equal(h.count(relay.KindOpen), 1)
}

// A backlog of late flows shows that a service gets more requests than it can answer. Were its flows in time offered in
// the order of their arrival, each would wait until its objective has nearly passed. Without a backlog the oldest goes
// first.
func TestYoungestFlowInTimeGoesFirstWhileLateFlowsAreQueued(t *testing.T) {
	for _, backlog := range []bool{true, false} {
		h := newHarnessWithOneTarget(t)
		full := relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second}
		h.report(1, full)
		if backlog {
			late := openingSegment(flow(1), 2)
			late.ConnectAge = 600 * time.Millisecond
			h.b.HandlePacket(h.now, late)
		}
		h.b.HandlePacket(h.now, openingSegment(flow(2), 0))
		h.now = h.now.Add(100 * time.Millisecond)
		h.b.HandlePacket(h.now, openingSegment(flow(3), 0))
		h.b.Tick(h.now)
		full.Headroom = 1
		h.report(1, full)
		offered, _ := h.last(relay.KindOpen)
		h.is.Equal(offered.Flow == flow(3), backlog)
		h.is.Equal(h.count(relay.KindOpen), 1)
	}
}

// Under overload a queued flow must be placed as soon as a load report has headroom, not at the next tick.
func TestQueuedFlowIsPlacedWhenHeadroomIsReported(t *testing.T) {
	h := newHarnessWithQueuedFlow(t)
	h.report(1, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: time.Second})
	h.is.Equal(h.count(relay.KindOpen), 1)
}

func TestUnresponsiveAndDrainingTargetsGetNoNewFlows(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.report(2, relay.Load{Accepting: false, Reason: relay.ReasonDraining, ReportInterval: 200 * time.Millisecond})
	h.advance(time.Second, 3) // 1 is unresponsive, and 2 keeps draining
	h.clear()
	for n := range uint16(20) {
		h.b.HandlePacket(h.now, openingSegment(flow(n), 0))
	}
	for _, s := range h.sent {
		h.is.Equal(s.to, agent(3))
	}
}

// An outage has left a backlog of late flows on several balancers. A late flow that a target refused is queued until
// the target's next load report, and must not keep this balancer from using the target's headroom for flows in time.
func TestRefusedLateFlowDoesNotBlockFlowsInTime(t *testing.T) {
	h := newHarnessWithOneTarget(t)
	load := relay.Load{Accepting: true, Outstanding: 4, Headroom: 2, Slots: 4, ReportInterval: time.Second}
	h.report(1, load)
	late := openingSegment(flow(1), 2)
	late.ConnectAge = 600 * time.Millisecond
	h.b.HandlePacket(h.now, late)
	offered, _ := h.last(relay.KindOpen)
	h.is.True(offered.Late)
	h.b.HandleMessage(h.now, agent(1), relay.Message{Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonFull}, late)
	h.b.Tick(h.now)
	h.is.Equal(h.count(relay.KindOpen), 1)
	h.b.HandlePacket(h.now, openingSegment(flow(2), 0))
	offered, _ = h.last(relay.KindOpen)
	h.is.Equal(offered.Flow, flow(2))
	h.is.True(!offered.Late)
	h.report(1, load)
	offered, _ = h.last(relay.KindOpen)
	h.is.Equal(offered.Flow, flow(1))
}

// The first copy of an opening packet was lost behind this balancer, and its retransmission goes to the same target, which keeps
// its queue for flows in time.
func TestRetransmissionToTheSameTargetIsMarkedLate(t *testing.T) {
	for _, age := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		h := newHarnessWithOneTarget(t)
		h.report(1, relay.Load{Accepting: true, Headroom: 4, Slots: 4, ReportInterval: time.Second})
		h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
		again := openingSegment(flow(1), 1)
		again.ConnectAge = age
		h.b.HandlePacket(h.now, again)
		offered, _ := h.last(relay.KindOpen)
		h.is.Equal(offered.Late, age > 250*time.Millisecond)
		h.is.Equal(h.count(relay.KindOpen), 2)
	}
}

// newHarnessWithQueuedFlow returns a harness whose only target is full, with one flow queued.
func newHarnessWithQueuedFlow(t *testing.T) *harness {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.members(1)
	h.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Minute})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(h.count(relay.KindOpen), 0)
	return h
}

// advancePastMaxQueueTime advances the clock past the time for which a flow is queued.
func (h *harness) advancePastMaxQueueTime() {
	h.now = h.now.Add(2 * time.Second)
	h.b.Tick(h.now)
}

func TestQueuedFlowIsRefusedAfterMaxQueueTime(t *testing.T) {
	h := newHarnessWithQueuedFlow(t)
	h.advancePastMaxQueueTime()
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// Under overload a retransmitted opening packet is queued, and a target that was offered the flow earlier may accept it
// only then. The flow is open at that target and must not be refused when its time in the queue ends.
func TestQueuedFlowOpenedAtEarlierTargetIsNotRefused(t *testing.T) {
	h := newHarnessWithQueuedFlow(t)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.advancePastMaxQueueTime()
	h.is.Equal(len(h.resets), 0)

	h = newHarnessWithQueuedFlow(t)
	h.b.HandlePacket(h.now, dataSegment(flow(1))) // the client has an answer from a target
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.advancePastMaxQueueTime()
	h.is.Equal(len(h.resets), 0)
}

// A target that has not answered an opening packet may still accept the flow. So if the retransmitted packet is not placed
// in time, its client must not be reset.
func TestQueuedFlowWithUnansweredOfferIsNotReset(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.members(1)
	h.report(1, relay.Load{Accepting: true, Headroom: 4, Slots: 4, ReportInterval: time.Minute})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(h.count(relay.KindOpen), 1)
	h.now = h.now.Add(200 * time.Millisecond)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 1))
	h.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Minute})
	h.advancePastMaxQueueTime()
	h.is.Equal(len(h.resets), 0)
}

// Operators have to see why a target that says that it is well gets no new flows: the log has one line for each ejection.
func TestEjectionOfAnImplausiblyFastTargetIsLoggedOnce(t *testing.T) {
	h := newHarness(t)
	h.members(1, 2, 3, 4)
	report := func(took time.Duration, targets ...byte) {
		for _, n := range targets {
			h.report(n, relay.Load{
				Accepting: true, Headroom: 4, Slots: 4, ReportInterval: time.Second, ServiceTime: took, ServiceSamples: 10,
			})
		}
		h.b.Tick(h.now)
	}
	ejected := func() int {
		count := 0
		for _, d := range h.decisions {
			if d.Event == relay.EventTargetFailing && d.Peer == agent(1) {
				count++
			}
		}
		return count
	}
	report(30*time.Millisecond, 1, 2, 3, 4)
	h.is.Equal(ejected(), 0)
	report(2*time.Millisecond, 1)
	report(2*time.Millisecond, 1)
	h.is.Equal(ejected(), 1)
	report(10*time.Millisecond, 1)
	report(2*time.Millisecond, 1)
	h.is.Equal(ejected(), 2)
}
