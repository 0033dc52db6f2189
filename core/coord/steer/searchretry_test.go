package steer_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// emptyMember returns a running agent that announced that it has no target.
func emptyMember(n byte) state.Member {
	m := member(n, service, state.HealthAlive)
	m.Phase = state.PhaseEmpty
	return m
}

// All instances lost power. The processes of agents whose targets had been removed come back for 60 ms, say that they have no target,
// and never reply. Lost flows must not wait until the membership declares them dead.
func TestLostFlowIsResetWithoutReplyOfAgentsThatVanish(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), emptyMember(2), emptyMember(3)})
	h.advance(time.Second, 1)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// An agent that has got a target since its announcement may hold flows, and its load report says so before the membership does.
func TestAgentThatReportsATargetIsAskedAlthoughItsAnnouncementIsOlder(t *testing.T) {
	h := newHarness(t)
	h.b.Configure(h.now, config(1, service))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), emptyMember(2)})
	h.advance(time.Second, 1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.advance(200*time.Millisecond, 1, 2)
	h.is.Equal(len(h.resets), 0)
}

// Requests that must run once are open at agents that fall behind after an outage. The client retransmits only every 1.6 s: the search
// must go on without it, and the packet must be answered when the last agent replies.
func TestSearchContinuesUntilTheLastAgentReplies(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.advance(2*time.Second, 1, 2)
	h.is.Equal(len(h.resets), 0)
	asked := 0
	for _, s := range h.sent {
		if s.Kind == relay.KindProbe && s.to == agent(2) {
			asked++
		}
	}
	h.is.True(asked >= 4 && asked <= 6) // after 0.15, 0.3, 0.6 s and so on
	unresolved := 0
	for _, d := range h.decisions {
		if d.Event == relay.EventUnresolved {
			unresolved++
		}
	}
	h.is.Equal(unresolved, 1)
	h.receiveNotFound(agent(2), flow(1), noPacket)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// The last agent that has not replied is declared dead: the flow is reset then, not at the next question.
func TestSearchEndsWhenTheLastAgentIsPresumedDead(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.advance(1200*time.Millisecond, 1)
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), member(2, service, state.HealthDead)})
	h.advance(300*time.Millisecond, 1)
	h.is.Equal(len(h.resets), 0) // silent for 1.5 s only
	h.advance(200*time.Millisecond, 1)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// Agents that are only silent may hold the flow: it is never reset, and the search ends after 5 s.
func TestSilentAgentsFlowIsNotResetWhenItsSearchEnds(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2)
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.receiveNotFound(agent(1), flow(1), noPacket)
	h.advance(6*time.Second, 1)
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.b.Summary(h.now).Searches, 0)
}

// A flood of packets of flows that nobody answers for must not use up the memory: the oldest searches end, without a reset.
func TestSearchesAreLimited(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	const flows = 5000
	for n := range uint16(flows) {
		h.b.HandlePacket(h.now, dataSegment(flow(n)))
	}
	h.is.Equal(h.b.Summary(h.now).Searches, 4096)
	dropped := 0
	for _, d := range h.decisions {
		if d.Event == relay.EventSearchDropped {
			dropped++
		}
	}
	h.is.Equal(dropped, flows-4096)
	h.is.Equal(len(h.resets), 0)
}

// All processes were killed beside targets that keep running, while clients upload: each packet has 1,200 bytes, and no agent can tell
// without it whether its target holds the flow. The probes must not fill a link of 10 Mbit/s, or their replies come too late and the
// searches never end.
func TestProbesWithLargePacketsLeaveRoomOnASlowLink(t *testing.T) {
	h := newHarness(t)
	agents := make([]byte, 40)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	h.settle(agents...)
	packet := dataSegment(flow(0))
	packet.Packet = make([]byte, 1200)
	for n := range uint16(100) {
		packet.Flow = flow(n)
		h.b.HandlePacket(h.now, packet)
	}
	const seconds = 3
	h.advance(seconds*time.Second, agents...)
	probes := 0
	for _, s := range h.sent {
		if s.Kind == relay.KindProbe {
			probes++
		}
	}
	const linkBytesPerSecond = 10e6 / 8
	t.Logf("%d probes in %d s", probes, seconds)
	h.is.True(float64(probes*len(packet.Packet)) < 0.25*linkBytesPerSecond*seconds)
	h.is.True(probes > 100) // the searches go on
}
