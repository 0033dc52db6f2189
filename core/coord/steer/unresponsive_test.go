package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

func TestFlowsOfADeadAgentAreReset(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthDead), member(2, service, state.HealthAlive)})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0) // its last load report is too recent
	h.advance(3*time.Second, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// An instance is paused with open flows. Clients send idempotent requests elsewhere after a reset; other requests may
// still be answered, so their flows are kept.
func TestFlowsOfAnUnresponsiveAgentAreResetIfIdempotent(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t)
		h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = idempotent }))
		h.settle(1, 2, 3, 4, 5)
		h.receiveLocation(agent(1), agent(1), flow(1))
		h.advance(800*time.Millisecond, 2, 3, 4, 5)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 0) // a process that was killed would not have restarted yet
		h.advance(400*time.Millisecond, 2, 3, 4, 5)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets) == 1, idempotent)
	}
}

// If most agents seem unresponsive, it is this balancer that is cut off.
func TestNoResetWhenMostAgentsAreUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
	h.settle(1, 2, 3, 4, 5)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.advance(2*time.Second, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
}

// An agent that announced that it leaves is restarted beside the same target, which still has the flows open.
func TestFlowsOfAnAgentThatLeftAreNotReset(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthLeft), member(2, service, state.HealthAlive)})
	h.advance(4*time.Second, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
}

// The address of a stopped instance may be reused by an agent of another service, which does not have the flows of the
// former agent: their packets must not be forwarded to it.
func TestNewAgentAtReusedAddressDoesNotInheritFlows(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.receiveLocation(agent(1), agent(1), flow(1))
	reused := member(1, other, state.HealthAlive)
	reused.ID = state.NewInstanceID("agent-z", 500)
	h.b.SetMembers(h.now, []state.Member{reused, member(2, service, state.HealthAlive)})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.count(relay.KindData), 0)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// Agents that died long ago must not occupy memory.
func TestDeadAgentsAreRemovedAfterFlowTTL(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	dead := []state.Member{member(1, service, state.HealthDead), member(2, service, state.HealthAlive)}
	h.b.SetMembers(h.now, dead)
	h.is.Equal(len(h.b.Summary(h.now).Targets), 2)
	h.advance(flowTTL+5*time.Second, 2)
	h.is.Equal(len(h.b.Summary(h.now).Targets), 1)
	h.b.SetMembers(h.now, dead) // the membership still lists it, which must not bring it back
	h.is.Equal(len(h.b.Summary(h.now).Targets), 1)
}

// An agent was paused before it handled an opening packet, and a retransmission has opened the flow at another target
// meanwhile. When the agent continues, its target accepts the flow too.
func TestSecondLocationDoesNotMoveAConfirmedFlow(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.receiveLocation(agent(2), agent(2), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	forwarded, _ := h.last(relay.KindData)
	h.is.Equal(forwarded.to, agent(1))
	h.receiveNotFound(agent(1), flow(1), "data") // the first location was wrong
	h.receiveLocation(agent(2), agent(2), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	forwarded, _ = h.last(relay.KindData)
	h.is.Equal(forwarded.to, agent(2))
}

// The log has to show when an agent timed out and when it recovered, once each.
func TestAgentTimeoutAndRecoveryAreLoggedOnce(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.advance(5*time.Second, 2, 3)
	h.advance(time.Second, 1, 2, 3)
	var events []relay.Event
	for _, d := range h.decisions {
		h.is.Equal(d.Peer, agent(1))
		events = append(events, d.Event)
	}
	h.is.Equal(events, []relay.Event{relay.EventAgentTimedOut, relay.EventAgentRecovered})
}

// During a burst of clients a balancer on a small instance falls behind and drops load reports. It must not reset
// the flows of the agents that sent them as if these were unresponsive or dead, until it has dropped none for a while.
func TestNoResetAfterBalancerDroppedMessages(t *testing.T) {
	for _, dead := range []bool{false, true} {
		h := newHarness(t)
		h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
		h.settle(1, 2, 3, 4, 5)
		h.receiveLocation(agent(1), agent(1), flow(1))
		if dead {
			h.b.SetMembers(h.now, []state.Member{
				member(1, service, state.HealthDead), member(2, service, state.HealthAlive), member(3, service, state.HealthAlive),
			})
		}
		h.advance(3*time.Second, 2, 3, 4, 5)
		h.b.MessagesDropped(h.now)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 0)
		h.advance(3*time.Second, 2, 3, 4, 5)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 1)
	}
}

// All instances lost power, and some are removed for good at once, their targets first. A balancer that starts
// meanwhile may never receive a load report of such an agent; only the membership says that it left without a target.
func TestAgentThatLeftWithoutATargetIsNotProbed(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	left := member(2, service, state.HealthAlive)
	left.Phase = state.PhaseEmpty
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), left})
	left.Health = state.HealthLeft
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), left})
	h.advance(time.Second, 1)
	h.clear()
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.count(relay.KindProbe), 1)
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// In a fleet of 91 balancers an agent reports to each every 1.5 s. A balancer that has just been restarted, as planned,
// has found an open flow again, and the agent's first report is not due yet.
func TestNoResetBeforeFirstReportIsDueInALargeFleet(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
	h.members(1, 2, 3, 4, 5)
	h.b.SetBalancers(balancers(91))
	h.advance(500*time.Millisecond, 2, 3, 4, 5)
	h.receiveLocation(otherBalancer, agent(1), flow(1))
	h.advance(700*time.Millisecond, 2, 3, 4, 5)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.count(relay.KindData), 1)
	h.advance(8*time.Second, 2, 3, 4, 5) // more than five intervals
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 1)
}

// An agent whose load reports are lost, or late since its queue is long, still confirms flows: it is not unresponsive.
func TestAnyMessageShowsThatAnAgentIsResponsive(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
	h.settle(1, 2, 3, 4, 5)
	h.advance(900*time.Millisecond, 2, 3, 4, 5)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.advance(300*time.Millisecond, 2, 3, 4, 5)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
}

// The membership calls an agent dead by mistake. At 91 balancers its last report is often older than 1.5 s.
func TestFalseDeathIsNotBelievedBeforeTheNextReportIsDueInALargeFleet(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.SetBalancers(balancers(91))
	h.report(1, relay.Load{Accepting: true, Headroom: 4, Slots: 4, ReportInterval: relay.ReportInterval(91)})
	h.receiveLocation(otherBalancer, agent(1), flow(1))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthDead), member(2, service, state.HealthAlive)})
	h.advance(1900*time.Millisecond, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
	h.advance(600*time.Millisecond, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 1)
}

// An outage of all instances has ended, and an agent that was discovered has died again before its first report. At 91 balancers
// its reports are overdue only after 7.6 s, and the membership needs some seconds too. It leaves probes without a reply, so flows
// with idempotent requests that no other agent holds are reset after about a second.
func TestSearchDoesNotWaitForAgentThatLeavesProbesWithoutReply(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
	h.members(1, 2, 3, 4, 5)
	h.b.SetBalancers(balancers(91))
	h.advance(time.Second, 2, 3, 4, 5)
	for n := range uint16(12) {
		h.b.HandlePacket(h.now, dataSegment(flow(n)))
		for end := h.now.Add(200 * time.Millisecond); h.now.Before(end); {
			h.replyNotFound(2, 3, 4, 5)
			h.advance(steer.TickPeriod, 2, 3, 4, 5)
		}
	}
	h.is.True(len(h.resets) > 0)
	h.is.True(h.now.Sub(start) < 4*time.Second)
}

// replyNotFound lets agents reply to all lookups, queries and probes so far that their targets don't hold the flows.
func (h *harness) replyNotFound(agents ...byte) {
	sent := h.sent
	h.sent = nil
	for _, s := range sent {
		if s.Kind == relay.KindLookup {
			h.b.HandleMessage(h.now, s.to, relay.Message{Kind: relay.KindLookupMiss, Flow: s.Flow}, state.Segment{})
		}
		for _, n := range agents {
			switch {
			case s.to != agent(n):
			case s.Kind == relay.KindQuery:
				h.b.HandleMessage(h.now, s.to, relay.Message{Kind: relay.KindQueryReply, Flows: s.Flows}, state.Segment{})
			case s.Kind == relay.KindProbe:
				h.receiveNotFound(s.to, s.Flow, noPacket)
			}
		}
	}
}

// balancers returns the addresses of n balancers, self and otherBalancer included.
func balancers(n int) []netip.AddrPort {
	list := []netip.AddrPort{self, otherBalancer}
	for i := 2; i < n; i++ {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 7700))
	}
	return list
}

// Under a press of clients the link of a balancer is full for more than a second. The messages of its agents arrive one after another
// then: those that come last must not count as unresponsive while the others' are there already.
func TestNoResetWhileHeldUpMessagesArrive(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
	h.settle(1, 2, 3, 4, 5)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.advance(2 * time.Second)
	h.advance(300*time.Millisecond, 2, 3, 4, 5)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
	h.advance(time.Second, 2, 3, 4, 5) // by now the messages of a running agent would have arrived too
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// A balancer whose link carries nothing for some seconds hears no other node, and its membership calls all agents dead. They run, and
// answer their clients: neither the flows that it forwards nor those that it searches for may be reset, also while the held-up messages
// arrive one after another.
func TestIsolatedBalancerResetsNoFlows(t *testing.T) {
	h := newHarness(t)
	h.b.NodeHeard(h.now)
	h.settle(1, 2, 3)
	h.b.NodeHeard(h.now)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.advance(3 * time.Second)
	members := func(first state.Health) []state.Member {
		return []state.Member{member(1, service, first), member(2, service, state.HealthDead), member(3, service, state.HealthDead)}
	}
	h.b.SetMembers(h.now, members(state.HealthDead))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.b.HandlePacket(h.now, dataSegment(flow(2)))
	h.advance(time.Second)
	h.is.Equal(len(h.resets), 0)
	h.b.NodeHeard(h.now)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0)
	// Two seconds later the agents that are still silent are dead.
	h.b.SetMembers(h.now, members(state.HealthAlive))
	for range 5 {
		h.advance(500*time.Millisecond, 1)
		h.b.NodeHeard(h.now)
	}
	h.b.SetMembers(h.now, members(state.HealthDead))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(len(h.resets), 0) // agent 1 was heard 0.5 s ago at most
	h.advance(800 * time.Millisecond)
	h.b.NodeHeard(h.now)
	h.advance(900 * time.Millisecond)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}
