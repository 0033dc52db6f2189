package gate_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	service         state.ServiceName = "atelier"
	heartbeatPeriod                   = time.Second
	flowTTL                           = time.Minute
)

var (
	self      = netip.MustParseAddrPort("10.0.1.1:7700")
	balancer1 = netip.MustParseAddrPort("10.0.0.1:7700")
	balancer2 = netip.MustParseAddrPort("10.0.0.2:7700")
	virtual   = state.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	start     = time.Unix(1_000_000, 0)
)

// sent is a message that the gate sent, with its destination and a copy of its packet.
type sent struct {
	to netip.AddrPort
	relay.Message
	packet string
}

// harness is a gate with its clock and a record of everything that the gate did.
type harness struct {
	is        *is.I
	g         *gate.Gate
	settings  gate.Settings
	now       time.Time
	sequence  uint64
	sent      []sent
	delivered []string
	replies   []string
	resets    []state.FlowID
	checks    int
	// decisions counts the gate's decisions.
	decisions map[relay.Event]int
}

func newHarness(t *testing.T) *harness {
	return newHarnessOf(t, gate.Settings{Self: self, Service: service, HeartbeatPeriod: heartbeatPeriod, FlowTTL: flowTTL})
}

func newHarnessOf(t *testing.T, settings gate.Settings) *harness {
	h := &harness{is: is.New(t), now: start, settings: settings, decisions: make(map[relay.Event]int)}
	h.restart()
	return h
}

// restart replaces the gate, as a restart of the agent's process does.
func (h *harness) restart() {
	h.g = gate.New(h.now, h.settings, gate.Actions{
		Send: func(to netip.AddrPort, m relay.Message) {
			h.sent = append(h.sent, sent{to: to, Message: m, packet: string(m.Packet)})
		},
		Deliver:    func(packet []byte) { h.delivered = append(h.delivered, string(packet)) },
		Reply:      func(_ state.Endpoint, packet []byte) { h.replies = append(h.replies, string(packet)) },
		Reset:      func(f state.FlowID, _ uint32) { h.resets = append(h.resets, f) },
		OnDecision: func(d relay.Decision) { h.decisions[d.Event]++ },

		CheckTarget: func() { h.checks++ },
		OnAnswer:    func(time.Duration) {},
	})
	h.g.SetBalancers(h.now, runningBalancers(balancer1, balancer2))
}

// runningBalancers returns the first processes of the balancers at some addresses.
func runningBalancers(addresses ...netip.AddrPort) []relay.Balancer {
	var list []relay.Balancer
	for _, address := range addresses {
		list = append(list, relay.Balancer{Address: address, Process: "first"})
	}
	return list
}

// sendHeartbeat gives the gate the next heartbeat of a target with two slots.
func (h *harness) sendHeartbeat(id string, startedAt state.Millis, draining bool) gate.HeartbeatResult {
	h.sequence++
	return h.g.Heartbeat(h.now, gate.Heartbeat{
		ID: gate.TargetID(id), StartedAt: startedAt, Sequence: h.sequence, Service: service, Slots: 2, Draining: draining,
	})
}

// advance moves the clock and ticks the gate; the target sends heartbeats meanwhile unless id is empty.
func (h *harness) advance(d time.Duration, id string, startedAt state.Millis) {
	next := h.now.Add(heartbeatPeriod)
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(gate.TickPeriod)
		if id != "" && !h.now.Before(next) {
			h.sendHeartbeat(id, startedAt, false)
			next = h.now.Add(heartbeatPeriod)
		}
		h.g.Tick(h.now)
	}
}

// clear empties the record.
func (h *harness) clear() { h.sent, h.delivered, h.replies, h.resets = nil, nil, nil, nil }

// sentOfKind returns the recorded messages of a kind.
func (h *harness) sentOfKind(kind relay.Kind) []sent {
	var found []sent
	for _, s := range h.sent {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

func flow(n uint16) state.FlowID {
	return state.FlowID{Client: state.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: n}, Virtual: virtual}
}

// openingSegment returns an opening packet of a flow.
func openingSegment(f state.FlowID) state.Segment {
	return state.Segment{Flow: f, Opens: true, Packet: []byte("syn")}
}

// dataSegment returns a packet of an open flow with data of the client.
func dataSegment(f state.FlowID) state.Segment {
	return state.Segment{Flow: f, Acknowledges: true, Acknowledged: 9, DataLen: 10, Packet: []byte("data")}
}

// receive gives the gate a message from balancer1.
func (h *harness) receive(kind relay.Kind, seg state.Segment) {
	h.g.HandleMessage(h.now, balancer1, relay.Message{Kind: kind, Flow: seg.Flow, Service: service.ID(), Packet: seg.Packet}, seg)
}

// open offers a flow, and the target accepts it.
func (h *harness) open(f state.FlowID) {
	h.receive(relay.KindOpen, openingSegment(f))
	h.g.HandleOutbound(h.now, state.Segment{Flow: f, Opens: true, Acknowledges: true, Packet: []byte("syn+ack")})
}

// establish opens a flow, and the client acknowledges the target's packet.
func (h *harness) establish(f state.FlowID) {
	h.open(f)
	ack := dataSegment(f)
	ack.DataLen = 0
	h.receive(relay.KindData, ack)
}

// answer makes the target answer the flow's request.
func (h *harness) answer(f state.FlowID) {
	h.g.HandleOutbound(h.now, state.Segment{Flow: f, Acknowledges: true, DataLen: 10, Packet: []byte("answer")})
}

// returnPacket makes the target return a packet.
func (h *harness) returnPacket(seg state.Segment) {
	seg.Returned = true
	h.g.HandleOutbound(h.now, seg)
}

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

// A restarted target has lost its earlier flows: their clients get a reset at once.
func TestTargetRestartResetsItsFlows(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.sequence = 0
	h.is.Equal(h.sendHeartbeat("t1", 2000, false), gate.HeartbeatAccepted) // the same id with a later start time
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// Heartbeats may be delayed or reordered. One of an earlier start of the target, or one that is older than the latest of
// the same start, must not mark the target as draining.
func TestStaleAndLateHeartbeatsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1000, true)
	h.sendHeartbeat("t2", 2000, false)
	h.clear()
	h.is.Equal(h.sendHeartbeat("t1", 1000, true), gate.HeartbeatStale) // the id of the former start
	h.is.Equal(h.sendHeartbeat("t0", 500, true), gate.HeartbeatStale)  // an unknown id with an earlier start time
	h.is.Equal(h.sendHeartbeat("t2", 1500, true), gate.HeartbeatStale) // the current id with an earlier start time
	h.receive(relay.KindOpen, openingSegment(flow(1)))
	h.is.Equal(h.delivered, []string{"syn"})

	h.sequence = 0
	h.is.Equal(h.sendHeartbeat("t2", 2000, true), gate.HeartbeatLate)
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(len(h.delivered), 2)
}

// The clock may be set back between two starts. A heartbeat under an unknown id with an earlier start time is from a new start
// if the former one has become unresponsive.
// Guards against an agent that restarts, takes a late heartbeat of a former target for that of the present one, and then resets the
// flows of the present one, or says that it does not hold them.
func TestLateHeartbeatAfterRestartOfAgentCostsNoFlows(t *testing.T) {
	h := newHarness(t)
	h.sequence = 39
	h.sendHeartbeat("i-1", 1, false)
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.advance(300*time.Millisecond, "", 0)
	h.is.Equal(h.g.OpenFlows(), 1)
	h.clear()
	running := gate.Heartbeat{
		ID: "i-2", StartedAt: 2, Uptime: 30 * time.Second, Sequence: 30, Service: service, Slots: 2,
	}
	h.is.Equal(h.g.Heartbeat(h.now, running), gate.HeartbeatAccepted)
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.g.OpenFlows(), 1)
	h.receive(relay.KindData, dataSegment(flow(2)))
	h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 0)
	h.is.Equal(h.delivered, []string{"data"})
}

func TestNewStartIsAcceptedAfterClockWentBack(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 10_000, false)
	h.advance(2200*time.Millisecond, "", 0)
	h.is.Equal(h.sendHeartbeat("t2", 7_000, false), gate.HeartbeatAccepted)
}

func TestUnresponsiveTargetIsDownOnceConnectionIsRefused(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.advance(2*time.Second, "t1", 1)
	h.is.Equal(h.checks, 0)
	h.advance(2*time.Second, "", 0)
	h.is.Equal(h.checks, 1)
	h.g.HandleCheck(h.now, gate.ConnAccepted)
	h.is.Equal(len(h.resets), 0) // the target is running, so its heartbeats are only late
	h.advance(2*time.Second, "", 0)
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
	h.clear()
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
}

func TestTargetThatNeverStartedIsDown(t *testing.T) {
	h := newHarness(t)
	h.advance(100*time.Millisecond, "", 0)
	h.is.Equal(h.checks, 1) // without delay, since an agent may be stopped soon after its start
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
	h.sendHeartbeat("t1", 1, false)
	h.receive(relay.KindOpen, openingSegment(flow(3)))
	h.is.Equal(h.delivered, []string{"syn"})
}

// A suspension of the instance stops both the agent and its target. When the agent resumes, the target's heartbeats are still to be
// read, so the gap must not count as unresponsiveness.
func TestProcessPauseDoesNotMakeTargetUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.now = h.now.Add(6 * time.Second)
	h.g.ProcessPaused(6 * time.Second)
	h.g.Tick(h.now)
	h.is.Equal(len(h.resets), 0)
}

// A target that neither accepts nor refuses connections may be overloaded. It is down only once it has missed more heartbeats.
func TestCheckTimeoutMarksTargetDownOnlyAfterMoreMissedHeartbeats(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.advance(2*time.Second, "", 0)
	h.g.HandleCheck(h.now, gate.ConnTimeout)
	h.is.Equal(len(h.resets), 0)
	h.advance(time.Second, "", 0)
	h.g.HandleCheck(h.now, gate.ConnTimeout)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// A heartbeat that was received while a check was running is newer than the check's result, so the target is not down.
func TestRefusedCheckIsIgnoredAfterRecentHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.is.Equal(len(h.resets), 0)
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

func TestDeregisterResetsFlowsImmediately(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.is.True(!h.g.Deregister(h.now, "t0"))
	h.is.Equal(len(h.resets), 0)
	h.is.True(h.g.Deregister(h.now, "t1"))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
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

func TestLoadReportIsMeasuredFromPackets(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.open(flow(1))
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.is.Equal(h.g.Outstanding(), 1)
	h.now = h.now.Add(40 * time.Millisecond)
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	h.is.Equal(h.g.Outstanding(), 0)
	h.clear()
	h.advance(300*time.Millisecond, "t1", 1)
	load := h.sentOfKind(relay.KindLoad)[0].Load
	h.is.Equal(load.ServiceTime, 40*time.Millisecond)
	h.is.Equal(load.Flows, 1)
	h.is.Equal(load.Slots, 2)
	h.is.True(load.Accepting)
}

// When an instance is removed its target stops first. Balancers must not wait for replies about flows from an agent that stops after
// its target, so the agent reports that the target is down, rather than that it is stopping itself.
func TestStoppingGateReportsThatTargetIsDown(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.g.Deregister(h.now, "t1")
	h.clear()
	h.g.Stop(h.now)
	h.is.Equal(h.sentOfKind(relay.KindLoad)[0].Load.Reason, relay.ReasonTargetDown)
}

// If more new flows arrive than the target can answer in time, the excess ones are returned to the balancers. They get a
// report as soon as the target has headroom again.
func TestFullTargetGetsNoNewFlows(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	for n := range uint16(6) { // maxOutstandingPerSlot (3) for each of the two slots
		h.open(flow(n))
		h.receive(relay.KindData, dataSegment(flow(n)))
	}
	h.clear()
	h.receive(relay.KindOpen, openingSegment(flow(99)))
	h.is.Equal(len(h.delivered), 0)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonFull)
	h.now = h.now.Add(30 * time.Millisecond)
	h.g.HandleOutbound(h.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	h.is.Equal(len(h.sentOfKind(relay.KindLoad)), 2) // the headroom is reported to both balancers without delay
	h.receive(relay.KindOpen, openingSegment(flow(99)))
	h.is.Equal(h.delivered, []string{"syn"})
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

// An outage may leave a backlog of flows that are already late. They are accepted only if the target has a free slot; its queue
// is kept for flows that can still be answered in time.
func TestLateFlowIsRefusedWithoutFreeSlot(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	offer := func(n uint16, late bool) {
		h.g.HandleMessage(h.now, balancer1, relay.Message{
			Kind: relay.KindOpen, Flow: flow(n), Service: service.ID(), Late: late, Packet: openingSegment(flow(n)).Packet,
		}, openingSegment(flow(n)))
	}
	offer(1, true)
	offer(2, true) // both slots are in use now
	offer(3, true)
	h.is.Equal(len(h.delivered), 2)
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonFull)
	offer(4, false)
	h.is.Equal(len(h.delivered), 3)
	// Balancers with queued late flows get a report as soon as a slot is free.
	for _, n := range []uint16{1, 2, 4} {
		h.open(flow(n))
		h.receive(relay.KindData, dataSegment(flow(n)))
	}
	offer(5, true)
	h.now = h.now.Add(20 * time.Millisecond)
	h.clear()
	h.answer(flow(4))
	h.is.Equal(len(h.sentOfKind(relay.KindLoad)), 0) // both slots are still in use
	h.answer(flow(1))
	h.is.Equal(len(h.sentOfKind(relay.KindLoad)), 2)
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

// Guards against floods of load reports when a fleet with many balancers is overloaded: the agent of a full target must not report
// headroom each time that a request ends, but at most maxHeadroomReportsPerSecond times.
func TestHeadroomReportsAreRateLimited(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	var list []netip.AddrPort
	for n := range byte(60) {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, n}), 7700))
	}
	h.g.SetBalancers(h.now, runningBalancers(list...))
	h.clear()
	end := h.now.Add(time.Second)
	for n := uint16(0); h.now.Before(end); n++ {
		for range 7 { // one more than maxOutstandingPerSlot (3) for each of the two slots
			n++
			h.open(flow(n))
			h.receive(relay.KindData, dataSegment(flow(n)))
		}
		for m := range uint16(7) {
			h.answer(flow(n - m))
		}
		h.now = h.now.Add(10 * time.Millisecond)
	}
	h.is.True(len(h.sentOfKind(relay.KindLoad)) <= 300)
}

// After a power loss of the instance the target may start shortly before the agent, which misses the first heartbeats. No flows can
// have been opened there yet, so the agent knows all of the target's flows, namely none. If the target started earlier, or its
// uptime can't be trusted, the agent must not conclude that.
func TestGateKnowsAllFlowsOfTargetThatStartedWithAgent(t *testing.T) {
	for _, c := range []struct {
		name          string
		uptime        time.Duration
		warmupLeft    time.Duration
		knowsAllFlows bool
	}{
		{"started just before", 150 * time.Millisecond, time.Second, true},
		{"was running before", 900 * time.Millisecond, time.Second, false},
		{"clock was set back, and the target has finished its warm-up", 150 * time.Millisecond, 0, false},
		{"unknown uptime", -1, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.now = h.now.Add(100 * time.Millisecond)
			h.g.Heartbeat(h.now, gate.Heartbeat{
				ID: "t1", StartedAt: 1, Sequence: 3, Service: service, Slots: 2, Uptime: c.uptime, WarmupLeft: c.warmupLeft,
			})
			h.is.Equal(h.g.Summary(h.now).KnowsAllFlows, c.knowsAllFlows)
		})
	}
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
