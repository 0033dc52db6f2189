package steer_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

func TestUnknownFlowIsFoundAtItsOwner(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.b.SetBalancers([]netip.AddrPort{self, otherBal})
	w.b.HandlePacket(w.now, data(flow(1)))
	w.b.HandlePacket(w.now, data(flow(1)))
	where, ok := w.last(relay.KindLookup)
	w.is.True(ok)
	w.is.Equal(where.to, otherBal)
	w.held(otherBal, agent(2), flow(1))
	w.is.Equal(w.count(relay.KindData), 2) // both packets that waited go on
	carried, _ := w.last(relay.KindData)
	w.is.Equal(carried.to, agent(2))
	w.is.Equal(w.count(relay.KindProbe), 0)
}

func TestAgentsAreAskedWhenOwnersDoNotKnowOrAreSilent(t *testing.T) {
	for _, answers := range []bool{true, false} {
		w := newWorld(t)
		w.settled(1, 2, 3)
		w.b.SetBalancers([]netip.AddrPort{self, otherBal})
		w.b.HandlePacket(w.now, data(flow(1)))
		if answers {
			w.b.HandleMessage(w.now, otherBal, relay.Message{Kind: relay.KindLookupMiss, Flow: flow(1)}, state.Segment{})
		} else {
			w.pass(100*time.Millisecond, 1, 2, 3)
		}
		w.is.Equal(w.count(relay.KindProbe), 3)
	}
}

// A client whose flow nobody holds is told at once; one whose holder may be an agent that did not answer is not.
// Pattern: all processes of a large fleet were killed, and every open flow has to be looked for. Those agents are asked
// first at which the flow would be placed.
func TestLikelyAgentsAreAskedFirst(t *testing.T) {
	agents := make([]byte, 60)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	w := newWorld(t)
	w.settled(agents...)
	for n := range uint16(20) {
		w.clear()
		w.b.HandlePacket(w.now, opens(flow(n), 0))
		placed, _ := w.last(relay.KindOpen)
		fresh := newWorld(t)
		fresh.settled(agents...)
		fresh.b.HandlePacket(fresh.now, data(flow(n)))
		fresh.is.Equal(fresh.count(relay.KindProbe), 8)
		asked := false
		for _, s := range fresh.sent {
			asked = asked || s.to == placed.to
		}
		fresh.is.True(asked)
		for _, s := range slices.Clone(fresh.sent) {
			fresh.notHeld(s.to, flow(n), noPacket)
		}
		fresh.is.Equal(fresh.count(relay.KindProbe), 8+16) // then more of them
	}
}

func TestResetOnlyIfEveryAgentDenies(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	w.notHeld(agent(2), flow(1), noPacket)
	w.is.Equal(len(w.resets), 0)
	w.notHeld(agent(3), flow(1), noPacket)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})

	w.clear()
	w.b.HandlePacket(w.now, data(flow(2)))
	w.notHeld(agent(1), flow(2), noPacket)
	w.notHeld(agent(2), flow(2), noPacket)
	w.pass(2*time.Second, 1, 2, 3)
	w.is.Equal(len(w.resets), 0)
}

// deniedAtStart makes a balancer that has just started look for a flow, which the only agent that it knows denies.
func deniedAtStart(t *testing.T) *world {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.members(1)
	w.report(1, relay.Load{Accepting: true, Headroom: 40, ReportInterval: time.Second})
	w.b.HandlePacket(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	return w
}

// A balancer that has just started may not know all agents, so denials of those that it knows prove nothing.
func TestNoResetBeforeTheAgentsAreKnown(t *testing.T) {
	w := deniedAtStart(t)
	w.is.Equal(len(w.resets), 0)
}

// Pattern: all machines lost power. A flow that every known agent denied is given up as soon as no further agent can be
// expected, without waiting for the client's next copy.
func TestDeniedFlowIsResetOnceTheAgentsAreKnown(t *testing.T) {
	w := deniedAtStart(t)
	w.pass(300*time.Millisecond, 1)
	w.is.Equal(len(w.resets), 0)
	w.members(1, 2) // another one has appeared, and is asked
	w.pass(150*time.Millisecond, 1, 2)
	asked, _ := w.last(relay.KindProbe)
	w.is.Equal(asked.to, agent(2))
	w.notHeld(agent(2), flow(1), noPacket)
	w.is.Equal(len(w.resets), 0)
	w.pass(300*time.Millisecond, 1, 2)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: a balancer joins a large fleet and is told of its agents little by little.
func TestNoResetWhileOthersKnowMoreAgents(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	w.b.SetMembershipComplete(false)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	w.pass(time.Second, 1)
	w.is.Equal(len(w.resets), 0)
	w.b.SetMembershipComplete(true)
	w.pass(200*time.Millisecond, 1)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// An agent whose target has ended holds no flows: whether it still answers does not matter.
func TestAgentWithoutATargetIsNotWaitedFor(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.report(2, relay.Load{Reason: relay.ReasonTargetDown, ReportInterval: time.Second})
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindProbe), 1)
	w.notHeld(agent(1), flow(1), noPacket)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: all machines lost power, and one of them came back for a moment only. Its agent is known and never reports; the
// flows that all others denied are not kept waiting for it.
func TestSearchDoesNotWaitForASilentAgent(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(configWith(func(r *state.Route) { r.Idempotent = true }))
	w.members(1, 2, 3, 4)
	w.pass(1500*time.Millisecond, 1, 2, 3)
	w.b.HandlePacket(w.now, data(flow(1)))
	for n := range byte(3) {
		w.notHeld(agent(n+1), flow(1), noPacket)
	}
	w.is.Equal(len(w.resets), 0)
	w.pass(200*time.Millisecond, 1, 2, 3)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: all processes are killed while the store is down. Open flows are carried without a configuration.
func TestOpenFlowsAreCarriedBeforeTheFirstConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members(1, 2)
	w.pass(100*time.Millisecond, 1, 2)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindProbe), 2)
	w.held(agent(2), agent(2), flow(1))
	w.b.HandlePacket(w.now, data(flow(1)))
	carried, _ := w.last(relay.KindData)
	w.is.Equal(carried.to, agent(2))

	w.b.HandlePacket(w.now, data(flow(2)))
	w.notHeld(agent(1), flow(2), noPacket)
	w.notHeld(agent(2), flow(2), noPacket)
	w.is.Equal(len(w.resets), 0) // without a configuration nothing is known well enough for a reset
}

// Pattern: all balancers lost power, and the agents did not. Until these are known nothing is given up.
func TestNoResetWithoutAnyAgent(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.pass(3 * time.Second)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.pass(2 * time.Second)
	w.is.Equal(len(w.resets), 0)
	w.members(1)
	w.pass(100*time.Millisecond, 1)
	asked, ok := w.last(relay.KindProbe)
	w.is.True(ok)
	w.is.Equal(asked.to, agent(1))
}
