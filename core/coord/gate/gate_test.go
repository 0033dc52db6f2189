package gate_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

func TestOwnersGetLocationOfOpenedFlow(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.clear()
	h.open(flow(1))
	h.is.Equal(h.delivered, []string{"syn"})
	h.is.Equal(h.replies, []string{"syn+ack"})
	locations := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(locations), 2) // both balancers are owners of the flow
	h.is.Equal(locations[0].Holder, self)
}

// Before the first heartbeat the gate can't know whether the target is draining.
func TestNewFlowIsRefusedBeforeFirstHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.receive(relay.KindOpen, openingSegment(flow(1)))
	h.is.Equal(len(h.delivered), 0)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonNotReady)
}

// A draining target still gets the packets of its open flows.
func TestDrainingTargetKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	h.sendHeartbeat("t1", 1, true)
	h.clear()
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(len(h.delivered), 0)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonDraining)
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.is.Equal(h.delivered, []string{"data"})
	h.is.Equal(len(h.resets), 0)
}

// A balancer may still have a former agent of another service at this address, and offer a flow of that service.
func TestOpeningPacketForAnotherServiceIsRefused(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.clear()
	seg := openingSegment(flow(1))
	h.g.HandleMessage(h.now, balancer1, relay.Message{Kind: relay.KindOpen, Flow: seg.Flow, Service: 4711, Packet: seg.Packet}, seg)
	h.is.Equal(len(h.delivered), 0)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonWrongService)
}

func TestOpeningPacketReturnedByTargetGoesToBalancer(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.receive(relay.KindOpen, openingSegment(flow(1)))
	h.clear()
	h.returnPacket(openingSegment(flow(1)))
	refused := h.sentOfKind(relay.KindRefused)
	h.is.Equal(len(refused), 1)
	h.is.Equal(refused[0].to, balancer1)
	h.is.Equal(refused[0].Reason, relay.ReasonFull)
	h.is.Equal(refused[0].packet, "syn")
	h.is.Equal(len(h.replies), 0) // the packet is the client's own and must not be sent to the client
}

// Guards against resets of other targets' flows: a flow that the client has not acknowledged may be open at another target, which
// accepted a copy of the opening packet.
func TestFlowWithoutClientAcknowledgementIsNotReset(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	h.g.Deregister(h.now, "t1")
	h.is.Equal(len(h.resets), 0)
}

// Guards against the same when a packet of such a flow is misdirected to this target: it acknowledges the packets of the target at which the
// client has opened the flow. A flow that the client has opened here is reset.
func TestFlowOfWhichTheClientAcknowledgesAnotherTargetIsNotReset(t *testing.T) {
	const sequence = 4_000_000_000
	for _, here := range []bool{true, false} {
		h := newHarness(t)
		h.sendHeartbeat("t1", 1, false)
		h.receive(relay.KindOpen, openingSegment(flow(1)))
		h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), Opens: true, Acknowledges: true, Sequence: sequence, Packet: []byte("syn+ack")})
		request := dataSegment(flow(1))
		if here {
			request.Acknowledged = sequence + 1
		}
		h.receive(relay.KindData, request)
		h.g.Deregister(h.now, "t1")
		h.is.Equal(len(h.resets) == 1, here)
	}
}

// A gate that has seen its target start knows all of the target's flows. It reports others as not found without probing the target.
func TestGateThatKnowsAllFlowsReportsOthersNotFound(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.clear()
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	h.receive(relay.KindData, dataSegment(flow(2)))
	h.is.Equal(len(h.delivered), 0)
	notFound := h.sentOfKind(relay.KindNotFound)
	h.is.Equal(len(notFound), 2)
	h.is.Equal(notFound[0].packet, "")     // the packet of a probe went to other agents too
	h.is.Equal(notFound[1].packet, "data") // a data packet came to this agent only, so it goes back
}

// An agent that was restarted beside a running target probes the target, which returns packets of flows that it does not hold.
func TestRestartedGateProbesTargetForUnknownFlows(t *testing.T) {
	h := newHarness(t)
	h.sequence = 50
	h.sendHeartbeat("t1", 1, false)
	h.clear()
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	h.receive(relay.KindProbe, dataSegment(flow(2)))
	h.is.Equal(len(h.delivered), 2)
	h.returnPacket(dataSegment(flow(1)))
	h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 1)
	h.advance(200*time.Millisecond, "t1", 1)
	locations := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(locations), 2) // flow 2 was not returned: both owners get its location
	h.is.Equal(locations[0].Flow, flow(2))
}

// Guards against a reset of another target's flow. An agent starts beside a target that crashes before the first check. The target
// returns no packets any more, so a probed flow is assumed to be open there, although it may be open elsewhere.
func TestFlowAssumedOpenIsNotReset(t *testing.T) {
	h := newHarness(t)
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	h.advance(200*time.Millisecond, "", 0)
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.is.Equal(len(h.resets), 0)
}

// Guards against an assumption that balancers take for evidence, and keep although the target has shown since that it holds the flow (review/7).
func TestAssumedFlowIsConfirmedByTheTargetsNextPacket(t *testing.T) {
	h := newHarness(t)
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	h.advance(200*time.Millisecond, "", 0)
	assumptions := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(assumptions), 2)
	for _, s := range assumptions {
		h.is.True(s.Assumed)
	}
	h.clear()
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), Opens: true, Acknowledges: true, Packet: []byte("syn+ack")})
	h.is.Equal(len(h.sentOfKind(relay.KindLocation)), 0) // it does not show that the client has opened the flow here
	for range 2 {
		h.answer(flow(1))
	}
	confirmations := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(confirmations), 2) // one to each owner, once
	for _, s := range confirmations {
		h.is.True(!s.Assumed)
	}
}

// Guards against an agent that was frozen, passes opening packets on that waited meanwhile, and reports their flows as open beside it although
// the clients have opened them elsewhere (review/5). The target's next packet shows which it holds.
func TestFlowAcceptedRightAfterAPauseIsAssumed(t *testing.T) {
	for _, c := range []struct {
		name    string
		pause   func(h *harness)
		assumed bool
	}{
		{"no pause", func(*harness) {}, false},
		{"reported pause", func(h *harness) { h.g.ProcessPaused(3 * time.Second) }, true},
		{"missing ticks", func(h *harness) { h.now = h.now.Add(3 * time.Second) }, true},
		{"a second after a pause", func(h *harness) {
			h.now = h.now.Add(3 * time.Second)
			h.g.ProcessPaused(3 * time.Second)
			h.advance(time.Second, "t1", 1)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.sendHeartbeat("t1", 1, false)
			c.pause(h)
			h.clear()
			h.open(flow(1))
			for _, s := range h.sentOfKind(relay.KindLocation) {
				h.is.Equal(s.Assumed, c.assumed)
			}
			h.clear()
			h.answer(flow(1))
			h.is.Equal(len(h.sentOfKind(relay.KindLocation)) > 0, c.assumed)
		})
	}
}

func TestRestartedGateDiscoversFlowsFromOutboundPackets(t *testing.T) {
	h := newHarness(t)
	h.sequence = 50
	h.sendHeartbeat("t1", 1, false)
	h.clear()
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	h.is.Equal(h.replies, []string{"answer"})
	h.is.Equal(len(h.sentOfKind(relay.KindLocation)), 2)
}

func TestNewBalancerGetsLoadReportAndLocations(t *testing.T) {
	h := newHarness(t)
	h.g.SetBalancers(h.now, runningBalancers(balancer1))
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	h.clear()
	h.g.SetBalancers(h.now, runningBalancers(balancer1, balancer2))
	locations := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(locations), 1)
	h.is.Equal(locations[0].to, balancer2)
	load := h.sentOfKind(relay.KindLoad)
	h.is.Equal(len(load), 1) // only the new balancer, and without delay
	h.is.Equal(load[0].to, balancer2)
}

func TestClosedFlowIsKeptForRetransmissions(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	fin := dataSegment(flow(1))
	fin.Finishes = true
	h.receive(relay.KindData, fin)
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), Finishes: true, Packet: []byte("fin")})
	h.is.Equal(h.g.OpenFlows(), 0)
	h.clear()
	h.receive(relay.KindData, fin)
	h.is.Equal(h.delivered, []string{"data"})
	h.advance(6*time.Second, "t1", 1)
	h.receive(relay.KindData, fin)
	h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 1)
}

func TestStoppingGateRefusesNewFlowsAndKeepsOpenOnes(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	h.g.Stop(h.now)
	h.clear()
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonStopping)
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.is.Equal(h.delivered, []string{"data"})
}

// A balancer that searches for many flows queries them in one message. The reply is one message for all that are not open here.
func TestQueryOfManyFlowsGetsOneReply(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.clear()
	query := relay.Message{Kind: relay.KindQuery, Service: service.ID(), Flows: []state.FlowID{flow(1), flow(2), flow(3)}}
	h.g.HandleMessage(h.now, balancer2, query, state.Segment{})
	locations := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(locations), 1)
	h.is.Equal(locations[0].to, balancer2)
	h.is.Equal(locations[0].Flow, flow(1))
	replies := h.sentOfKind(relay.KindQueryReply)
	h.is.Equal(len(replies), 1)
	h.is.Equal(replies[0].Flows, []state.FlowID{flow(3)})
	h.is.Equal(replies[0].Unresolved, []state.FlowID{flow(2)}) // its opening packet has not been answered yet

	h.restart() // the target keeps running, so the new gate may not know all of its flows
	h.sequence = 7
	h.sendHeartbeat("t1", 1, false)
	h.clear()
	h.g.HandleMessage(h.now, balancer2, query, state.Segment{})
	h.is.Equal(h.sentOfKind(relay.KindQueryReply)[0].Unresolved, query.Flows)
}

// A balancer was killed and restarted within a second, before the membership noticed that its former process is gone. The
// new process knows neither the load of the targets nor the flows that it owns.
func TestRestartedBalancerGetsReportAndLocationsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t", 1, false)
	h.establish(flow(1))
	h.clear()
	restarted := runningBalancers(balancer1, balancer2)
	restarted[1].Process = "second"
	h.g.SetBalancers(h.now, restarted)
	for _, kind := range []relay.Kind{relay.KindLoad, relay.KindLocation} {
		messages := h.sentOfKind(kind)
		h.is.Equal(len(messages), 1)
		h.is.Equal(messages[0].to, balancer2)
	}
	h.clear()
	h.g.SetBalancers(h.now, restarted)
	h.is.Equal(len(h.sent), 0)
}

// Guards against a balancer that takes an agent for unresponsive, and resets open flows there, because its probes for a flow that has just
// ended are never answered.
func TestProbeForAnEndedFlowIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.receive(relay.KindData, state.Segment{Flow: flow(1), Resets: true, Packet: []byte("rst")})
	h.clear()
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	h.returnPacket(dataSegment(flow(1)))
	h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 1)
}

// Guards against the same for a flow that has just ended at a target which answers its late packets instead of returning them.
func TestProbeForAnEndedFlowIsAnsweredBeforeItsTargetDoes(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.receive(relay.KindData, state.Segment{Flow: flow(1), Resets: true, Packet: []byte("rst")})
	h.clear()
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	locations := h.sentOfKind(relay.KindLocation)
	h.is.Equal(len(locations), 1)
	h.is.True(locations[0].Assumed) // the target may return the packet
	h.is.Equal(len(h.delivered), 1)
}

// Guards against the same for a flow whose opening packet the target has not answered.
func TestProbeForAnOfferedFlowIsAnswered(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.receive(relay.KindOpen, openingSegment(flow(1)))
	h.clear()
	h.receive(relay.KindProbe, dataSegment(flow(1)))
	h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 1)
}
