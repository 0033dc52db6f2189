package steer_test

import (
	"net/netip"
	"slices"
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

// endSearch lets the last agent of the search for flow 1 say that its target holds the flow, or that it does not. The flow must then be
// forwarded to that agent, or reset.
func (h *harness) endSearch(last byte, held bool) {
	if held {
		h.receiveLocation(agent(last), agent(last), flow(1))
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(h.lastForwarded(), agent(last))
	} else {
		h.receiveNotFound(agent(last), flow(1), noPacket)
	}
	h.is.Equal(len(h.resets) == 0, held)
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
		h.endSearch(3, held)
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
		h.endSearch(2, held)
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

// offer gives the balancer the opening packet of a flow, and returns the number of the agent that it was offered to.
func (h *harness) offer(f state.FlowID) byte {
	h.b.HandlePacket(h.now, openingSegment(f, 0))
	offered, _ := h.last(relay.KindOpen)
	return offered.to.Addr().As4()[3]
}

// otherThan returns the agents of three but for one.
func otherThan(excluded byte) []byte {
	return slices.DeleteFunc([]byte{1, 2, 3}, func(n byte) bool { return n == excluded })
}

// Guards against the reset of a flow that was offered to a target which was lost, and that opened elsewhere when the copy of its opening
// packet took another balancer (review/8). If no other target holds it, it must be reset.
func TestFlowOfferedToATargetThatIsGoneIsSearchedFor(t *testing.T) {
	for _, held := range []bool{true, false} {
		h := newHarness(t)
		h.settle(1, 2, 3)
		lost := h.offer(flow(1))
		others := otherThan(lost)
		h.loseAgent(lost, others...)
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		h.is.Equal(len(h.resets), 0)
		h.is.Equal(h.count(relay.KindProbe), 2)
		h.receiveNotFound(agent(others[0]), flow(1), noPacket)
		h.endSearch(others[1], held)
	}
}

// Guards against packets of an open flow that are lost at a target which was offered the flow and did not answer, until it is presumed
// dead: the flow's owners know where it is open.
func TestUnansweredOfferIsNoLocation(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
	holder := otherThan(h.offer(flow(1)))[0]
	h.advance(200*time.Millisecond, 1, 2, 3)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.count(relay.KindData), 0)
	h.is.Equal(h.count(relay.KindLookup), 1)
	h.receiveLocation(otherBalancer, agent(holder), flow(1))
	h.is.Equal(h.lastForwarded(), agent(holder))
}

// Guards against the search for each flow whose first data overtakes the answer of its target's agent.
func TestDataRightAfterAnOfferIsForwarded(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	offered := h.offer(flow(1))
	h.advance(100*time.Millisecond, 1, 2, 3)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.lastForwarded(), agent(offered))
}

// Guards against the reset of a client whose opening packet was offered to a target that was lost: a copy of it is offered to another one.
func TestOpeningPacketOfferedToATargetThatIsGoneIsOfferedToAnother(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	lost := h.offer(flow(1))
	h.loseAgent(lost, otherThan(lost)...)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 1))
	offered, _ := h.last(relay.KindOpen)
	h.is.Equal(len(h.resets), 0)
	h.is.True(offered.to.IsValid() && offered.to != agent(lost))
}
