package steer_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

// newEvacuationHarness returns a balancer in data centre a with evacuation on and with agent 1 in a and agent 2 in b. It knows
// that nothing is evacuated.
func newEvacuationHarness(t *testing.T) *harness {
	h := newHarnessWith(t, steer.Settings{Self: self, DataCentre: "a", FlowTTL: flowTTL, Evacuation: true})
	second := member(2, service, state.HealthAlive)
	second.DataCentre = "b"
	h.b.Configure(h.now, config(1, service))
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), second})
	h.b.SetEvacuations(nil)
	h.advance(3*time.Second, 1, 2)
	h.clear()
	return h
}

// openedAt returns to how many targets the opening packet of a flow was sent so far, and to which one last.
func (h *harness) openedAt(f state.FlowID, copyNumber uint32) (int, byte) {
	h.b.HandlePacket(h.now, openingSegment(f, copyNumber))
	last, _ := h.last(relay.KindOpen)
	return h.count(relay.KindOpen), last.to.Addr().As4()[3]
}

// An order must apply to flows that were offered before it as well: retransmissions of unconfirmed ones go elsewhere, and confirmed
// ones continue.
func TestEvacuatedDataCentreGetsNoNewFlow(t *testing.T) {
	h := newEvacuationHarness(t)
	_, first := h.openedAt(flow(1), 0)
	_, second := h.openedAt(flow(2), 0)
	h.is.Equal([]byte{first, second}, []byte{1, 1}) // the balancer's own data centre
	h.receiveLocation(agent(1), agent(1), flow(2))
	h.b.SetEvacuations([]state.DataCentre{"a"})
	_, moved := h.openedAt(flow(1), 1)
	h.is.Equal(moved, byte(2))
	_, kept := h.openedAt(flow(2), 1)
	h.is.Equal(kept, byte(1))
	for n := uint16(3); n < 40; n++ {
		_, to := h.openedAt(flow(n), 0)
		h.is.Equal(to, byte(2))
	}
	h.b.HandlePacket(h.now, dataSegment(flow(2)))
	data, _ := h.last(relay.KindData)
	h.is.Equal(data.to, agent(1))
	h.b.SetEvacuations(nil)
	_, returned := h.openedAt(flow(50), 0)
	h.is.Equal(returned, byte(1))
}

// All data centres are evacuated while flows are queued for full targets: those and new ones must be refused at once, not after the
// time limit of the queue.
func TestFlowsAreRefusedAtOnceWhenEveryDataCentreIsEvacuated(t *testing.T) {
	h := newEvacuationHarness(t)
	for _, n := range []byte{1, 2} {
		h.report(n, relay.Load{Accepting: true, Slots: 4, ReportInterval: 200 * time.Millisecond})
	}
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(len(h.resets), 0)
	h.b.SetEvacuations([]state.DataCentre{"a", "b"})
	h.b.HandlePacket(h.now, openingSegment(flow(2), 0))
	h.is.Equal(h.resets, []state.FlowID{flow(2)})
	h.b.Tick(h.now)
	h.is.Equal(h.resets, []state.FlowID{flow(2), flow(1)})
	h.is.Equal(h.decisions[len(h.decisions)-1].Reason, relay.ReasonEvacuated)
	h.is.Equal(h.b.EvacuatedTargets(), 2)
	h.is.Equal(h.count(relay.KindOpen), 0)
}

// One data centre is evacuated and the other is full: flows wait for the latter.
func TestFlowsAreQueuedWhenTheOtherDataCentresAreFull(t *testing.T) {
	h := newEvacuationHarness(t)
	h.report(2, relay.Load{Accepting: true, Slots: 4, ReportInterval: 200 * time.Millisecond})
	h.b.SetEvacuations([]state.DataCentre{"a"})
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.b.Tick(h.now)
	h.is.Equal(len(h.resets), 0)
	h.report(2, relay.Load{Accepting: true, Headroom: 1, Slots: 4, ReportInterval: 200 * time.Millisecond})
	last, _ := h.last(relay.KindOpen)
	h.is.Equal(last.to, agent(2))
}

// A balancer has just started and has the configuration, but no orders yet: any data centre may be evacuated.
func TestFlowsAreQueuedUntilOrdersAreKnown(t *testing.T) {
	h := newHarnessWith(t, steer.Settings{Self: self, DataCentre: "a", FlowTTL: flowTTL, Evacuation: true})
	h.settle(1, 2)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.advance(500*time.Millisecond, 1, 2)
	h.is.Equal(h.b.AcceptingTargets(h.now), 0)
	h.is.Equal(h.count(relay.KindOpen)+len(h.resets), 0)
	h.b.SetEvacuations([]state.DataCentre{"b"})
	h.b.Tick(h.now)
	h.is.Equal(h.count(relay.KindOpen), 1)
}

// All instances have returned from a loss of power, and the agents of the evacuated data centre are discovered first.
func TestFlowsWaitForOtherDataCentresAfterTheStart(t *testing.T) {
	h := newHarnessWith(t, steer.Settings{Self: self, DataCentre: "a", FlowTTL: flowTTL, Evacuation: true})
	h.b.Configure(h.now, config(1, service))
	h.b.SetEvacuations([]state.DataCentre{"a"})
	h.members(1)
	h.advance(100*time.Millisecond, 1)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	h.is.Equal(len(h.resets), 0)
	second := member(2, service, state.HealthAlive)
	second.DataCentre = "b"
	h.b.SetMembers(h.now, []state.Member{member(1, service, state.HealthAlive), second})
	h.advance(100*time.Millisecond, 1, 2)
	last, _ := h.last(relay.KindOpen)
	h.is.Equal(last.to, agent(2))
}

// The agent knows of the evacuation before the balancer, which is cut off: it must try other targets.
func TestFlowRefusedAsEvacuatedIsOfferedElsewhere(t *testing.T) {
	h := newEvacuationHarness(t)
	h.openedAt(flow(1), 0)
	h.b.HandleMessage(h.now, agent(1), relay.Message{
		Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonEvacuated, Packet: []byte("syn"),
	}, openingSegment(flow(1), 0))
	last, _ := h.last(relay.KindOpen)
	h.is.Equal(last.to, agent(2))
	_, to := h.openedAt(flow(2), 0)
	h.is.Equal(to, byte(2))
}

// A target's agent is started again at its address in another data centre.
func TestEvacuationFollowsTheDataCentreOfATarget(t *testing.T) {
	h := newEvacuationHarness(t)
	h.b.SetEvacuations([]state.DataCentre{"c"})
	moved := member(1, service, state.HealthAlive)
	moved.ID, moved.DataCentre = "agent-moved/2", "c"
	second := member(2, service, state.HealthAlive)
	second.DataCentre = "b"
	h.b.SetMembers(h.now, []state.Member{moved, second})
	h.advance(time.Second, 1, 2)
	_, to := h.openedAt(flow(1), 0)
	h.is.Equal(to, byte(2))
	moved.DataCentre = "a"
	h.b.SetMembers(h.now, []state.Member{moved, second})
	_, to = h.openedAt(flow(2), 0)
	h.is.Equal(to, byte(1))
}
