package steer_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

func TestUnknownFlowIsFoundAtItsOwner(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	lookup, ok := h.last(relay.KindLookup)
	h.is.True(ok)
	h.is.Equal(lookup.to, otherBalancer)
	h.receiveLocation(otherBalancer, agent(2), flow(1))
	h.is.Equal(h.count(relay.KindData), 2) // both packets that were kept during the search
	forwarded, _ := h.last(relay.KindData)
	h.is.Equal(forwarded.to, agent(2))
	h.is.Equal(h.count(relay.KindProbe), 0)
}

func TestAgentsAreProbedWhenOwnersMissOrTimeOut(t *testing.T) {
	for _, ownersReply := range []bool{true, false} {
		h := newHarness(t)
		h.settle(1, 2, 3)
		h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
		h.b.HandlePacket(h.now, dataSegment(flow(1)))
		if ownersReply {
			h.b.HandleMessage(h.now, otherBalancer, relay.Message{Kind: relay.KindLookupMiss, Flow: flow(1)}, state.Segment{})
		} else {
			h.advance(100*time.Millisecond, 1, 2, 3)
		}
		h.is.Equal(h.count(relay.KindProbe), 3)
	}
}

// All processes of a large fleet were killed, and every open flow has to be searched for. The agents where a flow would
// be placed have to be probed first.
func TestBestRankedAgentsAreProbedFirst(t *testing.T) {
	agents := make([]byte, 60)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	h := newHarness(t)
	h.settle(agents...)
	for n := range uint16(20) {
		h.clear()
		h.b.HandlePacket(h.now, openingSegment(flow(n), 0))
		placed, _ := h.last(relay.KindOpen)
		fresh := newHarness(t)
		fresh.settle(agents...)
		fresh.b.HandlePacket(fresh.now, dataSegment(flow(n)))
		fresh.is.Equal(fresh.count(relay.KindProbe), 8)
		probed := false
		for _, s := range fresh.sent {
			probed = probed || s.to == placed.to
		}
		fresh.is.True(probed)
		for _, s := range slices.Clone(fresh.sent) {
			fresh.receiveNotFound(s.to, flow(n), noPacket)
		}
		fresh.is.Equal(fresh.count(relay.KindProbe), 8+16) // the next batch is twice as large
	}
}

// A flow is reset as soon as every agent has replied that it does not hold it. Without the reply of one agent the flow is
// not reset: that agent may hold it.
func TestUnknownFlowIsResetOnlyIfAllAgentsReplyNotFound(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.receiveNotFound(agent(2), flow(1), noPacket)
	h.is.Equal(len(h.resets), 0)
	h.receiveNotFound(agent(3), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})

	h.clear()
	h.b.HandlePacket(h.now, dataSegment(flow(2)))
	h.receiveNotFound(agent(1), flow(2), noPacket)
	h.receiveNotFound(agent(2), flow(2), noPacket)
	h.advance(2*time.Second, 1, 2, 3)
	h.is.Equal(len(h.resets), 0)
}

// newHarnessWithUnresolvedSearch returns a harness whose balancer has just started and searches for a flow, which the
// only known agent does not hold.
func newHarnessWithUnresolvedSearch(t *testing.T) *harness {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.members(1)
	h.report(1, relay.Load{Accepting: true, Headroom: 40, ReportInterval: time.Second})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	return h
}

// A balancer that has just started may not know all agents, so a flow that no known agent holds may still be open at
// another one.
func TestNoResetBeforeAllAgentsAreKnown(t *testing.T) {
	h := newHarnessWithUnresolvedSearch(t)
	h.is.Equal(len(h.resets), 0)
}

// After a power loss of all instances, a flow that no known agent holds must be reset as soon as no further agents are
// expected to be discovered, without waiting for the client's next retransmission.
func TestUnknownFlowIsResetOnceNoMoreAgentsAreDiscovered(t *testing.T) {
	h := newHarnessWithUnresolvedSearch(t)
	h.advance(300*time.Millisecond, 1)
	h.is.Equal(len(h.resets), 0)
	h.members(1, 2) // a second agent is discovered, and has to be probed
	h.advance(150*time.Millisecond, 1, 2)
	probe, _ := h.last(relay.KindProbe)
	h.is.Equal(probe.to, agent(2))
	h.receiveNotFound(agent(2), flow(1), noPacket)
	h.is.Equal(len(h.resets), 0)
	h.advance(300*time.Millisecond, 1, 2)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// A balancer that joins a large fleet discovers its agents gradually. Until its membership is complete, a flow that no
// known agent holds may be open at an agent that it has not discovered.
func TestNoResetWhileMembershipIsIncomplete(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	h.b.SetMembershipComplete(false)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.advance(time.Second, 1)
	h.is.Equal(len(h.resets), 0)
	h.b.SetMembershipComplete(true)
	h.advance(200*time.Millisecond, 1)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// An agent whose target is down holds no flows, so it does not matter whether it replies.
func TestAgentWithoutATargetIsNotProbed(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.report(2, relay.Load{Reason: relay.ReasonTargetDown, ReportInterval: time.Second})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.count(relay.KindProbe), 1)
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// After a power loss of all instances, one of them came back for a moment only. Its agent is known but never sends a
// load report. Flows that no other agent holds must not be kept open waiting for it.
func TestSearchDoesNotWaitForAgentWithoutLoadReport(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, configWith(func(r *state.Route) { r.Idempotent = true }))
	h.members(1, 2, 3, 4)
	h.advance(1500*time.Millisecond, 1, 2, 3)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	for n := range byte(3) {
		h.receiveNotFound(agent(n+1), flow(1), noPacket)
	}
	h.is.Equal(len(h.resets), 0)
	h.advance(200*time.Millisecond, 1, 2, 3)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// All processes are killed while the store is down. Open flows must be forwarded without a configuration.
func TestOpenFlowsAreForwardedBeforeTheFirstConfiguration(t *testing.T) {
	h := newHarness(t)
	h.members(1, 2)
	h.advance(100*time.Millisecond, 1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.count(relay.KindProbe), 2)
	h.receiveLocation(agent(2), agent(2), flow(1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	forwarded, _ := h.last(relay.KindData)
	h.is.Equal(forwarded.to, agent(2))

	h.b.HandlePacket(h.now, dataSegment(flow(2)))
	h.receiveNotFound(agent(1), flow(2), noPacket)
	h.receiveNotFound(agent(2), flow(2), noPacket)
	h.is.Equal(len(h.resets), 0) // without a configuration a search can't be concluded
}

// All balancers lost power, but the agents did not. Until the agents are known, no flow may be reset.
func TestNoResetWithoutAnyKnownAgent(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.advance(3 * time.Second)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.advance(2 * time.Second)
	h.is.Equal(len(h.resets), 0)
	h.members(1)
	h.advance(100*time.Millisecond, 1)
	probe, ok := h.last(relay.KindProbe)
	h.is.True(ok)
	h.is.Equal(probe.to, agent(1))
}

// In a fleet of hundreds of agents that know nothing of their targets' flows, a batch of a search must not be larger than the
// limit on probes allows: it would never be sent. A flow at the last agent is found all the same.
func TestSearchAmongManyAgentsReachesTheLastOne(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	const agents = 1000
	var list []state.Member
	for i := range agents {
		m := member(1, service, state.HealthAlive)
		m.Flow = manyAgent(i)
		m.ID = state.NewInstanceID(state.InstanceName(m.Flow.String()), 1)
		list = append(list, m)
	}
	h.b.SetMembers(h.now, list)
	h.now = h.now.Add(time.Second)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	answered := 0
	for end := h.now.Add(4 * time.Second); h.now.Before(end); h.now = h.now.Add(steer.TickPeriod) {
		h.b.Tick(h.now)
		for ; answered < len(h.sent); answered++ {
			if h.sent[answered].Kind == relay.KindProbe {
				m := relay.Message{Kind: relay.KindNotFound, Flow: flow(1)}
				h.b.HandleMessage(h.now, h.sent[answered].to, m, state.Segment{})
			}
		}
	}
	h.is.Equal(h.count(relay.KindProbe), agents)
}

// manyAgent returns the address of the i-th of many agents.
func manyAgent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7700)
}

// A search that the copy of an opening packet started keeps a data packet too. That is not an opening packet, and must not be
// sent as one.
func TestKeptPacketsKeepTheirKind(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 1))
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveLocation(otherBalancer, agent(2), flow(1))
	h.is.Equal(h.count(relay.KindOpen), 1)
	h.is.Equal(h.count(relay.KindData), 1)
}

// Guards against a log that does not tell why a search ignored the location of a flow: a reset after it can't be explained then.
func TestLocationAtUnknownAgentIsLoggedDuringASearch(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveLocation(otherBalancer, agent(9), flow(1))
	h.receiveLocation(otherBalancer, agent(9), flow(2)) // nobody searches for this one
	var logged []relay.Decision
	for _, d := range h.decisions {
		if d.Event == relay.EventUnknownHolder {
			logged = append(logged, d)
		}
	}
	h.is.Equal(len(logged), 1)
	h.is.Equal(logged[0].Peer, agent(9))
}

// Guards against a log line of a reset whose counts are wrong because an agent replied to a search twice.
func TestRepeatedReplyIsCountedOnce(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.receiveNotFound(agent(2), flow(1), noPacket)
	last := h.decisions[len(h.decisions)-1]
	h.is.Equal(last.Event, relay.EventReset)
	h.is.Equal(last.Count, 2)
	h.is.Equal(last.Unasked, 0)
}

// Guards against a balancer that was frozen and then offers flows whose opening packets waited meanwhile. Their clients have opened them
// through other balancers, so its placement is wrong; once the target there is gone it resets a flow that is held elsewhere.
func TestOpeningPacketThatWaitedIsLookedUpFirst(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.b.SetBalancers([]netip.AddrPort{self, otherBalancer})
	h.now = h.now.Add(2 * time.Second)
	h.b.ProcessPaused(2 * time.Second)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(h.count(relay.KindOpen), 0)
	h.is.Equal(h.count(relay.KindLookup), 1)
}
