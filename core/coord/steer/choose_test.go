package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

// A copy whose first packet was left unanswered is offered to another target: the agent or its link may be dead.
func TestUnansweredOpeningGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	first, _ := w.last(relay.KindOpen)
	w.now = w.now.Add(200 * time.Millisecond)
	w.b.HandlePacket(w.now, opens(flow(1), 1))
	second, _ := w.last(relay.KindOpen)
	w.is.True(second.to != first.to)
}

func TestRefusedOpeningGoesElsewhereThenToTheClient(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	for range 2 {
		offered, _ := w.last(relay.KindOpen)
		w.is.Equal(len(w.resets), 0)
		w.b.HandleMessage(w.now, offered.to, relay.Message{Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonDraining}, opens(flow(1), 0))
	}
	w.is.Equal(w.count(relay.KindOpen), 2)
	w.is.Equal(w.resets, []state.FlowID{flow(1)}) // no target is left: the client is told at once
}

// Pattern: the same start. New flows wait for the configuration, and are refused in time for the client to come back.
func TestNewFlowsWaitForTheFirstConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members(1)
	w.pass(100*time.Millisecond, 1)
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	w.is.Equal(w.count(relay.KindOpen), 0)
	w.is.Equal(len(w.resets), 0)
	w.b.Configure(config(1, service))
	w.pass(steer.TickPeriod, 1)
	w.is.Equal(w.count(relay.KindOpen), 1)

	w = newWorld(t)
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	w.pass(1200 * time.Millisecond)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: all agents were started again; each hears from its target within a heartbeat.
func TestNewFlowsWaitForAgentsThatHaveJustStarted(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	w.pass(5*time.Second, 1)
	fresh := member(1, service, state.HealthAlive)
	fresh.ID = state.NewInstanceID("agent-b", 99)
	fresh.Phase = state.PhaseStarting
	w.b.SetMembers(w.now, []state.Member{fresh})
	w.clear()
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	w.is.Equal(len(w.resets), 0)
	w.pass(600*time.Millisecond, 1)
	w.is.Equal(w.count(relay.KindOpen), 1)
}

// Pattern: targets of unequal speed. New flows go where an answer is expected first.
func TestFasterAndIdlerTargetsGetMore(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.report(1, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ServiceTime: 80 * time.Millisecond, ReportInterval: time.Second})
	w.report(2, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ServiceTime: 30 * time.Millisecond, ReportInterval: time.Second})
	counts := map[netip.AddrPort]int{}
	for n := range uint16(22) {
		w.b.HandlePacket(w.now, opens(flow(n), 0))
		offered, _ := w.last(relay.KindOpen)
		counts[offered.to]++
	}
	w.is.Equal(counts[agent(2)], 16) // 80:30 of 22
}

// oneTarget gives a world one agent, and a route whose requests should be answered in 250 ms.
func oneTarget(t *testing.T) *world {
	w := newWorld(t)
	w.b.Configure(configWith(func(r *state.Route) { r.LatencyObjective = 250 * time.Millisecond }))
	w.members(1)
	return w
}

// Pattern: more new flows than the targets can take. Those that can still be answered in time go first, and each is
// either offered or refused within the time that its client waits.
func TestOverloadKeepsNewFlowsInTime(t *testing.T) {
	w := oneTarget(t)
	w.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second})
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	w.b.HandlePacket(w.now, opens(flow(2), 0))
	w.now = w.now.Add(400 * time.Millisecond)
	w.b.HandlePacket(w.now, opens(flow(3), 0))
	w.is.Equal(w.count(relay.KindOpen), 0)
	w.is.Equal(len(w.resets), 0)
	w.report(1, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: time.Second})
	w.b.Tick(w.now)
	offered, _ := w.last(relay.KindOpen)
	w.is.Equal(offered.Flow, flow(3)) // the others are late already
	w.is.Equal(w.count(relay.KindOpen), 1)
	w.now = w.now.Add(700 * time.Millisecond)
	w.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second})
	w.b.Tick(w.now)
	w.is.Equal(len(w.resets), 2)
}

// Pattern: all machines were dark for a second, and the first packets that come are copies of opening packets that were sent
// meanwhile. Those flows are late already; the ones that begin now are not, and go first.
func TestCopiesFromBeforeAnOutageDoNotMakeNewFlowsLate(t *testing.T) {
	w := oneTarget(t)
	w.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Second})
	old := opens(flow(1), 2)
	old.ConnectAge = 600 * time.Millisecond
	w.b.HandlePacket(w.now, old)
	w.b.HandlePacket(w.now, opens(flow(2), 0))
	w.report(1, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: time.Second})
	offered, _ := w.last(relay.KindOpen)
	w.is.Equal(offered.Flow, flow(2))
	w.is.Equal(w.count(relay.KindOpen), 1)
}

// Pattern: the same. A flow that waits goes on as soon as an agent tells of room, not at the next tick.
func TestRoomIsUsedAtOnce(t *testing.T) {
	w := waitingFlow(t)
	w.report(1, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: time.Second})
	w.is.Equal(w.count(relay.KindOpen), 1)
}

func TestSilentOrLeavingTargetsGetNothing(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.report(2, relay.Load{Accepting: false, Reason: relay.ReasonDraining, ReportInterval: 200 * time.Millisecond})
	w.pass(time.Second, 3) // 1 is silent, and 2 does not take back what it said
	w.clear()
	for n := range uint16(20) {
		w.b.HandlePacket(w.now, opens(flow(n), 0))
	}
	for _, s := range w.sent {
		w.is.Equal(s.to, agent(3))
	}
}

// Pattern: an outage has left a backlog of flows that are late already, on several balancers. One that a target turned away
// waits for the target's next report, and does not stop this balancer from using the target's room for flows in time.
func TestLateFlowsLeaveTheRoomToWaitToOthers(t *testing.T) {
	w := oneTarget(t)
	busy := relay.Load{Accepting: true, Outstanding: 4, Headroom: 2, Slots: 4, ReportInterval: time.Second}
	w.report(1, busy)
	late := opens(flow(1), 2)
	late.ConnectAge = 600 * time.Millisecond
	w.b.HandlePacket(w.now, late)
	offered, _ := w.last(relay.KindOpen)
	w.is.True(offered.Late)
	w.b.HandleMessage(w.now, agent(1), relay.Message{Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonFull}, late)
	w.b.Tick(w.now)
	w.is.Equal(w.count(relay.KindOpen), 1)
	w.b.HandlePacket(w.now, opens(flow(2), 0))
	offered, _ = w.last(relay.KindOpen)
	w.is.Equal(offered.Flow, flow(2))
	w.is.True(!offered.Late)
	w.report(1, busy)
	offered, _ = w.last(relay.KindOpen)
	w.is.Equal(offered.Flow, flow(1))
}

// waitingFlow makes a flow wait at a balancer whose only target is full.
func waitingFlow(t *testing.T) *world {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.members(1)
	w.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Minute})
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	w.is.Equal(w.count(relay.KindOpen), 0)
	return w
}

// waitOut lets the time pass after which a flow that waits is refused.
func (w *world) waitOut() {
	w.now = w.now.Add(2 * time.Second)
	w.b.Tick(w.now)
}

func TestWaitingFlowIsRefused(t *testing.T) {
	w := waitingFlow(t)
	w.waitOut()
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: overload. A copy of the opening packet waits here while a target, offered the flow before, takes it late.
func TestWaitingFlowThatOpensElsewhereIsNotRefused(t *testing.T) {
	w := waitingFlow(t)
	w.held(agent(1), agent(1), flow(1))
	w.waitOut()
	w.is.Equal(len(w.resets), 0)

	w = waitingFlow(t)
	w.b.HandlePacket(w.now, data(flow(1))) // the client has heard from a target
	w.held(agent(1), agent(1), flow(1))
	w.waitOut()
	w.is.Equal(len(w.resets), 0)
}

// Pattern: the same. A target that left the opening packet unanswered may still take it; its client must not be reset.
func TestFlowOfferedToASilentTargetIsNotReset(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.members(1)
	w.report(1, relay.Load{Accepting: true, Headroom: 4, Slots: 4, ReportInterval: time.Minute})
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	w.is.Equal(w.count(relay.KindOpen), 1)
	w.now = w.now.Add(200 * time.Millisecond)
	w.b.HandlePacket(w.now, opens(flow(1), 1))
	w.report(1, relay.Load{Accepting: true, Headroom: 0, Slots: 4, ReportInterval: time.Minute})
	w.waitOut()
	w.is.Equal(len(w.resets), 0)
}
