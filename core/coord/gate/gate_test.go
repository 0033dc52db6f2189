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

// world is a simulated environment: a gate, its clock, and a record of everything that the gate did.
type world struct {
	is        *is.I
	g         *gate.Gate
	now       time.Time
	sequence  uint64
	sent      []sent
	delivered []string
	replies   []string
	resets    []state.FlowID
	checks    int
}

func newWorld(t *testing.T) *world {
	w := &world{is: is.New(t), now: start}
	w.restart()
	return w
}

// restart replaces the gate, as a restart of the agent's process does.
func (w *world) restart() {
	w.g = gate.New(w.now, gate.Settings{
		Self: self, Service: service, HeartbeatPeriod: heartbeatPeriod, FlowTTL: flowTTL,
	}, gate.Actions{
		Send: func(to netip.AddrPort, m relay.Message) {
			w.sent = append(w.sent, sent{to: to, Message: m, packet: string(m.Packet)})
		},
		Deliver:    func(packet []byte) { w.delivered = append(w.delivered, string(packet)) },
		Reply:      func(_ state.Endpoint, packet []byte) { w.replies = append(w.replies, string(packet)) },
		Reset:      func(f state.FlowID, _ uint32) { w.resets = append(w.resets, f) },
		OnDecision: func(relay.Decision) {},

		CheckTarget: func() { w.checks++ },
		OnAnswer:    func(time.Duration) {},
	})
	w.g.SetBalancers(w.now, []netip.AddrPort{balancer1, balancer2})
}

// sendHeartbeat gives the gate the next heartbeat of a target with two slots.
func (w *world) sendHeartbeat(id string, startedAt state.Millis, draining bool) gate.HeartbeatResult {
	w.sequence++
	return w.g.Heartbeat(w.now, gate.Heartbeat{
		ID: gate.TargetID(id), StartedAt: startedAt, Sequence: w.sequence, Service: service, Slots: 2, Draining: draining,
	})
}

// advance moves the clock and ticks the gate; the target sends heartbeats meanwhile unless id is empty.
func (w *world) advance(d time.Duration, id string, startedAt state.Millis) {
	next := w.now.Add(heartbeatPeriod)
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(gate.TickPeriod)
		if id != "" && !w.now.Before(next) {
			w.sendHeartbeat(id, startedAt, false)
			next = w.now.Add(heartbeatPeriod)
		}
		w.g.Tick(w.now)
	}
}

// clear empties the record.
func (w *world) clear() { w.sent, w.delivered, w.replies, w.resets = nil, nil, nil, nil }

// sentOfKind returns the recorded messages of a kind.
func (w *world) sentOfKind(kind relay.Kind) []sent {
	var found []sent
	for _, s := range w.sent {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

func flow(n uint16) state.FlowID {
	return state.FlowID{Client: state.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: n}, Virtual: virtual}
}

func syn(f state.FlowID) state.Segment {
	return state.Segment{Flow: f, Opens: true, Packet: []byte("syn")}
}

func data(f state.FlowID) state.Segment {
	return state.Segment{Flow: f, Acknowledges: true, Acknowledged: 9, DataLen: 10, Packet: []byte("data")}
}

// receive gives the gate a message from balancer1.
func (w *world) receive(kind relay.Kind, seg state.Segment) {
	w.g.HandleMessage(w.now, balancer1, relay.Message{Kind: kind, Flow: seg.Flow, Service: service.ID(), Packet: seg.Packet}, seg)
}

// open offers a flow, and the target accepts it.
func (w *world) open(f state.FlowID) {
	w.receive(relay.KindOpen, syn(f))
	w.g.HandleOutbound(w.now, state.Segment{Flow: f, Opens: true, Acknowledges: true, Packet: []byte("syn+ack")})
}

// establish opens a flow, and the client acknowledges the target's packet.
func (w *world) establish(f state.FlowID) {
	w.open(f)
	ack := data(f)
	ack.DataLen = 0
	w.receive(relay.KindData, ack)
}

// answer makes the target answer the flow's request.
func (w *world) answer(f state.FlowID) {
	w.g.HandleOutbound(w.now, state.Segment{Flow: f, Acknowledges: true, DataLen: 10, Packet: []byte("answer")})
}

// returnPacket makes the target return a packet.
func (w *world) returnPacket(seg state.Segment) {
	seg.Returned = true
	w.g.HandleOutbound(w.now, seg)
}

func TestOwnersGetLocationOfOpenedFlow(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.clear()
	w.open(flow(1))
	w.is.Equal(w.delivered, []string{"syn"})
	w.is.Equal(w.replies, []string{"syn+ack"})
	locations := w.sentOfKind(relay.KindLocation)
	w.is.Equal(len(locations), 2) // both balancers are owners of the flow
	w.is.Equal(locations[0].Holder, self)
}

// Before the first heartbeat the gate can't know whether the target is draining.
func TestNewFlowIsRefusedBeforeFirstHeartbeat(t *testing.T) {
	w := newWorld(t)
	w.receive(relay.KindOpen, syn(flow(1)))
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonNotReady)
}

// A draining target still gets the packets of its open flows.
func TestDrainingTargetKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.open(flow(1))
	w.sendHeartbeat("t1", 1, true)
	w.clear()
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonDraining)
	w.receive(relay.KindData, data(flow(1)))
	w.is.Equal(w.delivered, []string{"data"})
	w.is.Equal(len(w.resets), 0)
}

// A balancer may still have a former agent of another service at this address, and offer a flow of that service.
func TestOpeningPacketForAnotherServiceIsRefused(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.clear()
	seg := syn(flow(1))
	w.g.HandleMessage(w.now, balancer1, relay.Message{Kind: relay.KindOpen, Flow: seg.Flow, Service: 4711, Packet: seg.Packet}, seg)
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonWrongService)
}

func TestOpeningPacketReturnedByTargetGoesToBalancer(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.receive(relay.KindOpen, syn(flow(1)))
	w.clear()
	w.returnPacket(syn(flow(1)))
	refused := w.sentOfKind(relay.KindRefused)
	w.is.Equal(len(refused), 1)
	w.is.Equal(refused[0].to, balancer1)
	w.is.Equal(refused[0].Reason, relay.ReasonFull)
	w.is.Equal(refused[0].packet, "syn")
	w.is.Equal(len(w.replies), 0) // the packet is the client's own and must not be sent to the client
}

// A restarted target has lost its earlier flows: their clients get a reset at once.
func TestTargetRestartResetsItsFlows(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.sequence = 0
	w.is.Equal(w.sendHeartbeat("t1", 2000, false), gate.HeartbeatAccepted) // the same id with a later start time
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Heartbeats may be delayed or reordered. One of an earlier start of the target, or one that is older than the latest of
// the same start, must not mark the target as draining.
func TestStaleAndLateHeartbeatsAreIgnored(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1000, true)
	w.sendHeartbeat("t2", 2000, false)
	w.clear()
	w.is.Equal(w.sendHeartbeat("t1", 1000, true), gate.HeartbeatStale) // the id of the former start
	w.is.Equal(w.sendHeartbeat("t0", 500, true), gate.HeartbeatStale)  // an unknown id with an earlier start time
	w.is.Equal(w.sendHeartbeat("t2", 1500, true), gate.HeartbeatStale) // the current id with an earlier start time
	w.receive(relay.KindOpen, syn(flow(1)))
	w.is.Equal(w.delivered, []string{"syn"})

	w.sequence = 0
	w.is.Equal(w.sendHeartbeat("t2", 2000, true), gate.HeartbeatLate)
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(len(w.delivered), 2)
}

// The clock may be set back between two starts. A heartbeat under an unknown id with an earlier start time is from a new start
// if the former one has become unresponsive.
func TestNewStartIsAcceptedAfterClockWentBack(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 10_000, false)
	w.advance(2200*time.Millisecond, "", 0)
	w.is.Equal(w.sendHeartbeat("t2", 7_000, false), gate.HeartbeatAccepted)
}

func TestUnresponsiveTargetIsDownOnceConnectionIsRefused(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.advance(2*time.Second, "t1", 1)
	w.is.Equal(w.checks, 0)
	w.advance(2*time.Second, "", 0)
	w.is.Equal(w.checks, 1)
	w.g.HandleCheck(w.now, gate.ConnAccepted)
	w.is.Equal(len(w.resets), 0) // the target is running, so its heartbeats are only late
	w.advance(2*time.Second, "", 0)
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
	w.clear()
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
}

func TestTargetThatNeverStartedIsDown(t *testing.T) {
	w := newWorld(t)
	w.advance(100*time.Millisecond, "", 0)
	w.is.Equal(w.checks, 1) // without delay, since an agent may be stopped soon after its start
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
	w.sendHeartbeat("t1", 1, false)
	w.receive(relay.KindOpen, syn(flow(3)))
	w.is.Equal(w.delivered, []string{"syn"})
}

// A suspension of the instance stops both the agent and its target. When the agent resumes, the target's heartbeats are still to be
// read, so the gap must not count as unresponsiveness.
func TestProcessPauseDoesNotMakeTargetUnresponsive(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.now = w.now.Add(6 * time.Second)
	w.g.ProcessPaused(6 * time.Second)
	w.g.Tick(w.now)
	w.is.Equal(len(w.resets), 0)
}

// A target that neither accepts nor refuses connections may be overloaded. It is down only once it has missed more heartbeats.
func TestCheckTimeoutMarksTargetDownOnlyAfterMoreMissedHeartbeats(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.advance(2*time.Second, "", 0)
	w.g.HandleCheck(w.now, gate.ConnTimeout)
	w.is.Equal(len(w.resets), 0)
	w.advance(time.Second, "", 0)
	w.g.HandleCheck(w.now, gate.ConnTimeout)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// A heartbeat that was received while a check was running is newer than the check's result, so the target is not down.
func TestRefusedCheckIsIgnoredAfterRecentHeartbeat(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.is.Equal(len(w.resets), 0)
}

// Guards against resets of other targets' flows: a flow that the client has not acknowledged may be open at another target, which
// accepted a copy of the opening packet.
func TestFlowWithoutClientAcknowledgementIsNotReset(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.open(flow(1))
	w.g.Deregister(w.now, "t1")
	w.is.Equal(len(w.resets), 0)
}

func TestDeregisterResetsFlowsImmediately(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.is.True(!w.g.Deregister(w.now, "t0"))
	w.is.Equal(len(w.resets), 0)
	w.is.True(w.g.Deregister(w.now, "t1"))
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// A gate that has seen its target start knows all of the target's flows. It reports others as not found without probing the target.
func TestGateThatKnowsAllFlowsReportsOthersNotFound(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.clear()
	w.receive(relay.KindProbe, data(flow(1)))
	w.receive(relay.KindData, data(flow(2)))
	w.is.Equal(len(w.delivered), 0)
	notFound := w.sentOfKind(relay.KindNotFound)
	w.is.Equal(len(notFound), 2)
	w.is.Equal(notFound[0].packet, "")     // the packet of a probe went to other agents too
	w.is.Equal(notFound[1].packet, "data") // a data packet came to this agent only, so it goes back
}

// An agent that was restarted beside a running target probes the target, which returns packets of flows that it does not hold.
func TestRestartedGateProbesTargetForUnknownFlows(t *testing.T) {
	w := newWorld(t)
	w.sequence = 50
	w.sendHeartbeat("t1", 1, false)
	w.clear()
	w.receive(relay.KindProbe, data(flow(1)))
	w.receive(relay.KindProbe, data(flow(2)))
	w.is.Equal(len(w.delivered), 2)
	w.returnPacket(data(flow(1)))
	w.is.Equal(len(w.sentOfKind(relay.KindNotFound)), 1)
	w.advance(200*time.Millisecond, "t1", 1)
	locations := w.sentOfKind(relay.KindLocation)
	w.is.Equal(len(locations), 2) // flow 2 was not returned: both owners get its location
	w.is.Equal(locations[0].Flow, flow(2))
}

// Guards against a reset of another target's flow. An agent starts beside a target that crashes before the first check. The target
// returns no packets any more, so a probed flow is assumed to be open there, although it may be open elsewhere.
func TestFlowAssumedOpenIsNotReset(t *testing.T) {
	w := newWorld(t)
	w.receive(relay.KindProbe, data(flow(1)))
	w.advance(200*time.Millisecond, "", 0)
	w.receive(relay.KindData, data(flow(1)))
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.is.Equal(len(w.resets), 0)
}

func TestRestartedGateDiscoversFlowsFromOutboundPackets(t *testing.T) {
	w := newWorld(t)
	w.sequence = 50
	w.sendHeartbeat("t1", 1, false)
	w.clear()
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	w.is.Equal(w.replies, []string{"answer"})
	w.is.Equal(len(w.sentOfKind(relay.KindLocation)), 2)
}

func TestNewBalancerGetsLoadReportAndLocations(t *testing.T) {
	w := newWorld(t)
	w.g.SetBalancers(w.now, []netip.AddrPort{balancer1})
	w.sendHeartbeat("t1", 1, false)
	w.open(flow(1))
	w.clear()
	w.g.SetBalancers(w.now, []netip.AddrPort{balancer1, balancer2})
	locations := w.sentOfKind(relay.KindLocation)
	w.is.Equal(len(locations), 1)
	w.is.Equal(locations[0].to, balancer2)
	load := w.sentOfKind(relay.KindLoad)
	w.is.Equal(len(load), 1) // only the new balancer, and without delay
	w.is.Equal(load[0].to, balancer2)
}

func TestClosedFlowIsKeptForRetransmissions(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.open(flow(1))
	fin := data(flow(1))
	fin.Finishes = true
	w.receive(relay.KindData, fin)
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), Finishes: true, Packet: []byte("fin")})
	w.is.Equal(w.g.OpenFlows(), 0)
	w.clear()
	w.receive(relay.KindData, fin)
	w.is.Equal(w.delivered, []string{"data"})
	w.advance(6*time.Second, "t1", 1)
	w.receive(relay.KindData, fin)
	w.is.Equal(len(w.sentOfKind(relay.KindNotFound)), 1)
}

func TestLoadReportIsMeasuredFromPackets(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.open(flow(1))
	w.receive(relay.KindData, data(flow(1)))
	w.is.Equal(w.g.Outstanding(), 1)
	w.now = w.now.Add(40 * time.Millisecond)
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	w.is.Equal(w.g.Outstanding(), 0)
	w.clear()
	w.advance(300*time.Millisecond, "t1", 1)
	load := w.sentOfKind(relay.KindLoad)[0].Load
	w.is.Equal(load.ServiceTime, 40*time.Millisecond)
	w.is.Equal(load.Flows, 1)
	w.is.Equal(load.Slots, 2)
	w.is.True(load.Accepting)
}

// When an instance is removed its target stops first. Balancers must not wait for replies about flows from an agent that stops after
// its target, so the agent reports that the target is down, rather than that it is stopping itself.
func TestStoppingGateReportsThatTargetIsDown(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.g.Deregister(w.now, "t1")
	w.clear()
	w.g.Stop(w.now)
	w.is.Equal(w.sentOfKind(relay.KindLoad)[0].Load.Reason, relay.ReasonTargetDown)
}

// If more new flows arrive than the target can answer in time, the excess ones are returned to the balancers. They get a
// report as soon as the target has headroom again.
func TestFullTargetGetsNoNewFlows(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	for n := range uint16(6) { // maxOutstandingPerSlot (3) for each of the two slots
		w.open(flow(n))
		w.receive(relay.KindData, data(flow(n)))
	}
	w.clear()
	w.receive(relay.KindOpen, syn(flow(99)))
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonFull)
	w.now = w.now.Add(30 * time.Millisecond)
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	w.is.Equal(len(w.sentOfKind(relay.KindLoad)), 2) // the headroom is reported to both balancers without delay
	w.receive(relay.KindOpen, syn(flow(99)))
	w.is.Equal(w.delivered, []string{"syn"})
}

func TestStoppingGateRefusesNewFlowsAndKeepsOpenOnes(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.open(flow(1))
	w.g.Stop(w.now)
	w.clear()
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonStopping)
	w.receive(relay.KindData, data(flow(1)))
	w.is.Equal(w.delivered, []string{"data"})
}

// An outage may leave a backlog of flows that are already late. They are accepted only if the target has a free slot; its queue
// is kept for flows that can still be answered in time.
func TestLateFlowIsRefusedWithoutFreeSlot(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	offer := func(n uint16, late bool) {
		w.g.HandleMessage(w.now, balancer1, relay.Message{
			Kind: relay.KindOpen, Flow: flow(n), Service: service.ID(), Late: late, Packet: syn(flow(n)).Packet,
		}, syn(flow(n)))
	}
	offer(1, true)
	offer(2, true) // both slots are in use now
	offer(3, true)
	w.is.Equal(len(w.delivered), 2)
	w.is.Equal(w.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonFull)
	offer(4, false)
	w.is.Equal(len(w.delivered), 3)
	// Balancers with queued late flows get a report as soon as a slot is free.
	for _, n := range []uint16{1, 2, 4} {
		w.open(flow(n))
		w.receive(relay.KindData, data(flow(n)))
	}
	offer(5, true)
	w.now = w.now.Add(20 * time.Millisecond)
	w.clear()
	w.answer(flow(4))
	w.is.Equal(len(w.sentOfKind(relay.KindLoad)), 0) // both slots are still in use
	w.answer(flow(1))
	w.is.Equal(len(w.sentOfKind(relay.KindLoad)), 2)
}

// A balancer that searches for many flows queries them in one message. The reply is one message for all that are not open here.
func TestQueryOfManyFlowsGetsOneReply(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	w.establish(flow(1))
	w.receive(relay.KindOpen, syn(flow(2)))
	w.clear()
	query := relay.Message{Kind: relay.KindQuery, Service: service.ID(), Flows: []state.FlowID{flow(1), flow(2), flow(3)}}
	w.g.HandleMessage(w.now, balancer2, query, state.Segment{})
	locations := w.sentOfKind(relay.KindLocation)
	w.is.Equal(len(locations), 1)
	w.is.Equal(locations[0].to, balancer2)
	w.is.Equal(locations[0].Flow, flow(1))
	replies := w.sentOfKind(relay.KindQueryReply)
	w.is.Equal(len(replies), 1)
	w.is.Equal(replies[0].Flows, []state.FlowID{flow(3)})
	w.is.Equal(replies[0].Unresolved, []state.FlowID{flow(2)}) // its opening packet has not been answered yet

	w.restart() // the target keeps running, so the new gate may not know all of its flows
	w.sequence = 7
	w.sendHeartbeat("t1", 1, false)
	w.clear()
	w.g.HandleMessage(w.now, balancer2, query, state.Segment{})
	w.is.Equal(w.sentOfKind(relay.KindQueryReply)[0].Unresolved, query.Flows)
}

// Guards against floods of load reports when a fleet with many balancers is overloaded: the agent of a full target must not report
// headroom each time that a request ends, but at most maxHeadroomReportsPerSecond times.
func TestHeadroomReportsAreRateLimited(t *testing.T) {
	w := newWorld(t)
	w.sendHeartbeat("t1", 1, false)
	var list []netip.AddrPort
	for n := range byte(60) {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, n}), 7700))
	}
	w.g.SetBalancers(w.now, list)
	w.clear()
	end := w.now.Add(time.Second)
	for n := uint16(0); w.now.Before(end); n++ {
		for range 7 { // one more than maxOutstandingPerSlot (3) for each of the two slots
			n++
			w.open(flow(n))
			w.receive(relay.KindData, data(flow(n)))
		}
		for m := range uint16(7) {
			w.answer(flow(n - m))
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	w.is.True(len(w.sentOfKind(relay.KindLoad)) <= 300)
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
			w := newWorld(t)
			w.now = w.now.Add(100 * time.Millisecond)
			w.g.Heartbeat(w.now, gate.Heartbeat{
				ID: "t1", StartedAt: 1, Sequence: 3, Service: service, Slots: 2, Uptime: c.uptime, WarmupLeft: c.warmupLeft,
			})
			w.is.Equal(w.g.Summary(w.now).KnowsAllFlows, c.knowsAllFlows)
		})
	}
}
