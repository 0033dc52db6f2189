package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

// absentAgent left before the balancer started and may return.
const absentAgent = 3

// newHarnessWithDeparture returns a harness whose balancer has started while one of three agents was away for some time already.
func newHarnessWithDeparture(t *testing.T, age time.Duration) *harness {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.AddDepartures(h.now, []state.Departure{{Member: member(absentAgent, service, state.HealthLeft), Age: age}})
	h.advance(300*time.Millisecond, 1, 2)
	h.clear()
	return h
}

// searchDenied starts a search that both present agents answer: they do not hold the flow.
func (h *harness) searchDenied(n uint16) {
	h.b.HandlePacket(h.now, dataSegment(flow(n)))
	h.receiveNotFound(agent(1), flow(n), noPacket)
	h.receiveNotFound(agent(2), flow(n), noPacket)
}

// Guards against the reset of a flow beside an agent that is being restarted as planned, by a balancer that started meanwhile (review/2).
func TestFlowOfAnAbsentAgentWaitsForItsReturn(t *testing.T) {
	h := newHarnessWithDeparture(t, time.Second)
	h.searchDenied(1)
	h.advance(3*time.Second, 1, 2)
	h.is.Equal(len(h.resets), 0)
	returned := member(absentAgent, service, state.HealthAlive)
	returned.ID = state.NewInstanceID("agent-returned", 9)
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), member(2, service, state.HealthAlive), returned})
	h.receiveLocation(agent(absentAgent), agent(absentAgent), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	forwarded, _ := h.last(relay.KindData)
	h.is.Equal(forwarded.to, agent(absentAgent))
	h.is.Equal(len(h.resets), 0)
}

// Guards against a balancer that ignores the location of a flow because the agent there is away (review/2).
func TestLocationAtAnAbsentAgentIsUsed(t *testing.T) {
	h := newHarnessWithDeparture(t, time.Second)
	h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveLocation(otherBalancer, agent(absentAgent), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.count(relay.KindData), 2)
	h.is.Equal(len(h.resets), 0)
}

// Guards against lost flows that wait for longer than an agent may take to return: the time counts from when it left, not from when this
// balancer learnt of it.
func TestLostFlowIsResetOnceAnAbsentAgentIsOverdue(t *testing.T) {
	const age = 5 * time.Second
	for _, located := range []bool{true, false} {
		h := newHarnessWithDeparture(t, age)
		overdue := h.now.Add(steer.PlannedRestartWindow - age)
		if located {
			h.receiveLocation(agent(absentAgent), agent(absentAgent), flow(1))
		} else {
			h.searchDenied(1)
		}
		h.advance(overdue.Sub(h.now)-500*time.Millisecond, 1, 2)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 0)
		h.advance(time.Second, 1, 2)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(h.resets[0], flow(1))
	}
}

// Guards against new flows that are offered to an agent that is away, and against a present agent that is taken for absent.
func TestAbsentAgentGetsNoNewFlows(t *testing.T) {
	h := newHarnessWithDeparture(t, time.Second)
	for n := range uint16(40) {
		h.b.HandlePacket(h.now, openingSegment(flow(n), 0))
	}
	for _, s := range h.sent {
		h.is.True(s.to != agent(absentAgent))
	}
	h.b.AddDepartures(h.now, []state.Departure{{Member: member(1, service, state.HealthLeft), Age: time.Second}})
	h.receiveLocation(agent(1), agent(1), flow(50))
	h.advance(steer.PlannedRestartWindow, 1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(50)))
	h.is.Equal(len(h.resets), 0)
}
