package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// receiveAssumption delivers the location of a flow of which the holder only assumes that it is open there.
func (h *harness) receiveAssumption(from, holder netip.AddrPort, f state.FlowID) {
	h.b.HandleMessage(h.now, from, relay.Message{
		Kind: relay.KindLocation, Flow: f, Holder: holder, Service: service.ID(), Assumed: true,
	}, state.Segment{})
}

// loseAgent lets the membership declare an agent dead, and some time pass, while others run.
func (h *harness) loseAgent(lost byte, others ...byte) {
	members := []state.Member{member(lost, service, state.HealthDead)}
	for _, n := range others {
		members = append(members, member(n, service, state.HealthAlive))
	}
	h.b.SetMembers(h.now, members)
	h.advance(3*time.Second, others...)
	h.clear()
}

// lastForwarded returns where the last packet of an open flow was forwarded.
func (h *harness) lastForwarded() netip.AddrPort {
	forwarded, _ := h.last(relay.KindData)
	return forwarded.to
}

// Guards against an agent that took the silence of a lost target for "open here", and whose word for that kept out the word of the agent
// whose target holds the flow (review/7).
func TestConfirmedLocationReplacesAnAssumedOne(t *testing.T) {
	for _, assumedFirst := range []bool{true, false} {
		h := newHarness(t)
		h.settle(1, 2)
		if assumedFirst {
			h.receiveAssumption(agent(1), agent(1), flow(1))
		}
		h.receiveLocation(agent(2), agent(2), flow(1))
		if !assumedFirst {
			h.receiveAssumption(agent(1), agent(1), flow(1))
		}
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(h.lastForwarded(), agent(2))
	}
}

// Guards against an assumption that replaces a confirmed location while the agent there is being restarted as planned.
func TestAssumptionDoesNotReplaceTheLocationAtAnAgentThatMayReturn(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthLeft), member(2, service, state.HealthAlive)})
	h.receiveAssumption(agent(2), agent(2), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.lastForwarded(), agent(1))
}

// Guards against the reset of a flow that was assumed to be open at a target that is gone, and is open elsewhere (review/7). If no other
// target holds it, it must be reset.
func TestFlowAssumedAtATargetThatIsGoneIsSearchedFor(t *testing.T) {
	for _, held := range []bool{true, false} {
		h := newHarness(t)
		h.settle(1, 2, 3)
		h.receiveAssumption(agent(1), agent(1), flow(1))
		h.loseAgent(1, 2, 3)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 0)
		h.is.Equal(h.count(relay.KindProbe), 2)
		h.receiveNotFound(agent(2), flow(1), noPacket)
		if held {
			h.receiveLocation(agent(3), agent(3), flow(1))
			h.b.HandlePacket(h.now, dataSegment(flow(1)))
			h.is.Equal(h.lastForwarded(), agent(3))
		} else {
			h.receiveNotFound(agent(3), flow(1), noPacket)
		}
		h.is.Equal(len(h.resets) == 0, held)
	}
}

// Guards against the same at an agent that is unresponsive, whose flows with idempotent requests are reset before it is presumed dead.
func TestFlowAssumedAtAnUnresponsiveAgentIsSearchedFor(t *testing.T) {
	for _, held := range []bool{true, false} {
		h := newHarness(t)
		h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
		h.settle(1, 2, 3)
		h.receiveAssumption(agent(1), agent(1), flow(1))
		h.advance(1500*time.Millisecond, 2, 3)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 0)
		h.receiveNotFound(agent(2), flow(1), noPacket)
		if held {
			h.receiveLocation(agent(3), agent(3), flow(1))
		} else {
			h.receiveNotFound(agent(3), flow(1), noPacket)
		}
		h.advance(time.Second, 2, 3)
		h.is.Equal(len(h.resets) == 0, held)
	}
}

// Guards against a search that ends with an owner's assumption about a target that is gone: the flow would then never be found at its
// holder, nor reset if it has none.
func TestAssumptionOfAnOwnerAboutATargetThatIsGoneIsNoLocation(t *testing.T) {
	for _, held := range []bool{true, false} {
		h := newHarness(t)
		h.settle(1, 2)
		h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
		h.loseAgent(1, 2)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.receiveAssumption(otherBalancer, agent(1), flow(1))
		h.is.Equal(h.count(relay.KindData), 0)
		h.is.Equal(h.count(relay.KindProbe), 1)
		if held {
			h.receiveLocation(agent(2), agent(2), flow(1))
			h.b.HandlePacket(h.now, dataSegment(flow(1)))
			h.is.Equal(h.lastForwarded(), agent(2))
		} else {
			h.receiveNotFound(agent(2), flow(1), noPacket)
		}
		h.is.Equal(len(h.resets) == 0, held)
	}
}

// Guards against an owner that passes an assumption on as if it had been confirmed.
func TestOwnerPassesOnThatALocationIsAssumed(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	lookUp := func() sent {
		h.b.HandleMessage(h.now, otherBalancer, relay.Message{Kind: relay.KindLookup, Flow: flow(1)}, state.Segment{})
		reply, _ := h.last(relay.KindLocation)
		return reply
	}
	h.receiveAssumption(agent(1), agent(1), flow(1))
	h.is.Equal(lookUp().Evidence(), relay.EvidenceAssumed)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.is.Equal(lookUp().Evidence(), relay.EvidenceConfirmed)
}
