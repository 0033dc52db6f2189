package steer_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

func TestFlowsOfADeadAgentAreReset(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	w.b.SetMembers(w.now, []state.Member{member(1, service, state.HealthDead), member(2, service, state.HealthAlive)})
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(len(w.resets), 0) // it was heard a moment ago
	w.pass(3*time.Second, 2)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: a machine is paused with open flows. Requests that may be repeated are sent elsewhere by their callers; others
// may still be answered, and are left.
func TestFlowsOfASilentAgentAreResetIfRepeatable(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		w := newWorld(t)
		w.b.Configure(configWith(func(r *state.Route) { r.Idempotent = idempotent }))
		w.settled(1, 2, 3, 4, 5)
		w.held(agent(1), agent(1), flow(1))
		w.pass(800*time.Millisecond, 2, 3, 4, 5)
		w.b.HandlePacket(w.now, data(flow(1)))
		w.is.Equal(len(w.resets), 0) // a process that was killed is not back yet
		w.pass(400*time.Millisecond, 2, 3, 4, 5)
		w.b.HandlePacket(w.now, data(flow(1)))
		w.is.Equal(len(w.resets) == 1, idempotent)
	}
}

// A balancer that hears nobody is cut off itself.
func TestNoResetWhenEverybodyIsSilent(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(configWith(func(r *state.Route) { r.Idempotent = true }))
	w.settled(1, 2, 3, 4, 5)
	w.held(agent(1), agent(1), flow(1))
	w.pass(2*time.Second, 2)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(len(w.resets), 0)
}

// An agent that left on purpose is started again beside the same target, which still holds the flows.
func TestFlowsOfAStoppedAgentAreKept(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	w.b.SetMembers(w.now, []state.Member{member(1, service, state.HealthLeft), member(2, service, state.HealthAlive)})
	w.pass(4*time.Second, 2)
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(len(w.resets), 0)
}

func TestAddressThatWasReusedDoesNotInheritFlows(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	reused := member(1, other, state.HealthAlive)
	reused.ID = state.NewInstanceID("agent-z", 500)
	w.b.SetMembers(w.now, []state.Member{reused, member(2, service, state.HealthAlive)})
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindData), 0)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Addresses of machines that are long gone cost no memory.
func TestGoneAgentsAreForgotten(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	gone := []state.Member{member(1, service, state.HealthDead), member(2, service, state.HealthAlive)}
	w.b.SetMembers(w.now, gone)
	w.is.Equal(len(w.b.Summary(w.now).Targets), 2)
	w.pass(flowAge+5*time.Second, 2)
	w.is.Equal(len(w.b.Summary(w.now).Targets), 1)
	w.b.SetMembers(w.now, gone) // the membership remembers it for longer
	w.is.Equal(len(w.b.Summary(w.now).Targets), 1)
}

// Pattern: an agent was paused with an opening packet in hand, and a copy has opened the flow elsewhere meanwhile.
func TestLateAcceptanceDoesNotMoveAFlow(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	w.held(agent(2), agent(2), flow(1))
	w.b.HandlePacket(w.now, data(flow(1)))
	carried, _ := w.last(relay.KindData)
	w.is.Equal(carried.to, agent(1))
	w.notHeld(agent(1), flow(1), "data") // the first was wrong
	w.held(agent(2), agent(2), flow(1))
	w.b.HandlePacket(w.now, data(flow(1)))
	carried, _ = w.last(relay.KindData)
	w.is.Equal(carried.to, agent(2))
}

// Whoever reads the log sees when an agent fell silent and when it was heard again, once each.
func TestSilenceOfAnAgentIsNotedOnce(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.pass(5*time.Second, 2, 3)
	w.pass(time.Second, 1, 2, 3)
	var events []relay.Event
	for _, d := range w.notes {
		w.is.Equal(d.Peer, agent(1))
		events = append(events, d.Event)
	}
	w.is.Equal(events, []relay.Event{relay.EventAgentTimedOut, relay.EventAgentRecovered})
}

// Pattern: a burst of clients at a small machine. A balancer that falls behind drops load reports, and must not take their
// senders for silent or dead.
func TestBalancerThatFallsBehindDoesNotJudgeBySilence(t *testing.T) {
	for _, dead := range []bool{false, true} {
		w := newWorld(t)
		w.b.Configure(configWith(func(r *state.Route) { r.Idempotent = true }))
		w.settled(1, 2, 3, 4, 5)
		w.held(agent(1), agent(1), flow(1))
		if dead {
			w.b.SetMembers(w.now, []state.Member{
				member(1, service, state.HealthDead), member(2, service, state.HealthAlive), member(3, service, state.HealthAlive),
			})
		}
		w.pass(3*time.Second, 2, 3, 4, 5)
		w.b.MessagesDropped(w.now)
		w.b.HandlePacket(w.now, data(flow(1)))
		w.is.Equal(len(w.resets), 0)
		w.pass(3*time.Second, 2, 3, 4, 5)
		w.b.HandlePacket(w.now, data(flow(1)))
		w.is.Equal(len(w.resets), 1)
	}
}

// Pattern: all machines lost power, and some are taken away for good at once, their targets first. A balancer that starts meanwhile
// may never get a load report of such an agent; the membership tells that it has left without a target.
func TestAgentThatLeftWithoutATargetIsNotAsked(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	left := member(2, service, state.HealthAlive)
	left.Phase = state.PhaseEmpty
	w.b.SetMembers(w.now, []state.Member{member(1, service, state.HealthAlive), left})
	left.Health = state.HealthLeft
	w.b.SetMembers(w.now, []state.Member{member(1, service, state.HealthAlive), left})
	w.pass(time.Second, 1)
	w.clear()
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindProbe), 1)
	w.notHeld(agent(1), flow(1), noPacket)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}
