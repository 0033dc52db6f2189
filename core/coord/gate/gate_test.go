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
	service   state.ServiceName = "atelier"
	heartbeat                   = time.Second
	flowAge                     = time.Minute
)

var (
	self    = netip.MustParseAddrPort("10.0.1.1:7700")
	front   = netip.MustParseAddrPort("10.0.0.1:7700")
	second  = netip.MustParseAddrPort("10.0.0.2:7700")
	virtual = state.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	start   = time.Unix(1_000_000, 0)
)

// sent is one message that the gate sent.
type sent struct {
	to netip.AddrPort
	relay.Message
	packet string
}

// world is a gate with everything that it did.
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

// restart makes a new gate: the agent's process was started again.
func (w *world) restart() {
	w.g = gate.New(w.now, gate.Settings{
		Self: self, Service: service, HeartbeatPeriod: heartbeat, FlowTTL: flowAge,
	}, gate.Actions{
		Send: func(to netip.AddrPort, m relay.Message) {
			w.sent = append(w.sent, sent{to: to, Message: m, packet: string(m.Packet)})
		},
		Deliver:    func(packet []byte) { w.delivered = append(w.delivered, string(packet)) },
		Reply:      func(_ state.Endpoint, packet []byte) { w.replies = append(w.replies, string(packet)) },
		Reset:      func(f state.FlowID, _ uint32) { w.resets = append(w.resets, f) },
		OnDecision: func(relay.Decision) {},

		CheckTarget: func() { w.checks++ },
		OnResponse:  func(time.Duration) {},
	})
	w.g.SetBalancers(w.now, []netip.AddrPort{front, second})
}

func (w *world) beat(id string, born state.Millis, draining bool) gate.HeartbeatResult {
	w.sequence++
	return w.g.HandleHeartbeat(w.now, gate.Heartbeat{
		ID: gate.TargetID(id), StartedAt: born, Sequence: w.sequence, Service: service, Slots: 2, Draining: draining,
	})
}

// pass lets time pass; the target goes on with its heartbeats unless id is empty.
func (w *world) pass(d time.Duration, id string, born state.Millis) {
	next := w.now.Add(heartbeat)
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(gate.TickPeriod)
		if id != "" && !w.now.Before(next) {
			w.beat(id, born, false)
			next = w.now.Add(heartbeat)
		}
		w.g.Tick(w.now)
	}
}

func (w *world) clear() { w.sent, w.delivered, w.replies, w.resets = nil, nil, nil, nil }

func (w *world) kinds(kind relay.Kind) []sent {
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

func (w *world) receive(kind relay.Kind, seg state.Segment) {
	w.g.Receive(w.now, front, relay.Message{Kind: kind, Flow: seg.Flow, Service: service.ID(), Packet: seg.Packet}, seg)
}

// open opens a flow at the target.
func (w *world) open(f state.FlowID) {
	w.receive(relay.KindOpen, syn(f))
	w.g.HandleOutbound(w.now, state.Segment{Flow: f, Opens: true, Acknowledges: true, Packet: []byte("syn+ack")})
}

// carry opens a flow, and the client answers.
func (w *world) carry(f state.FlowID) {
	w.open(f)
	ack := data(f)
	ack.DataLen = 0
	w.receive(relay.KindData, ack)
}

// answers lets the target answer a request.
func (w *world) answers(f state.FlowID) {
	w.g.HandleOutbound(w.now, state.Segment{Flow: f, Acknowledges: true, DataLen: 10, Packet: []byte("answer")})
}

func (w *world) returned(seg state.Segment) {
	seg.Returned = true
	w.g.HandleOutbound(w.now, seg)
}

func TestFlowOpensAndItsOwnersAreTold(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.clear()
	w.open(flow(1))
	w.is.Equal(w.delivered, []string{"syn"})
	w.is.Equal(w.replies, []string{"syn+ack"})
	held := w.kinds(relay.KindLocation)
	w.is.Equal(len(held), 2) // both balancers own it
	w.is.Equal(held[0].Holder, self)
}

// Before the first heartbeat the gate can't know whether the target is leaving.
func TestNothingIsOfferedBeforeTheFirstHeartbeat(t *testing.T) {
	w := newWorld(t)
	w.receive(relay.KindOpen, syn(flow(1)))
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonNotReady)
}

func TestDrainingTargetKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.open(flow(1))
	w.beat("t1", 1, true)
	w.clear()
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonDraining)
	w.receive(relay.KindData, data(flow(1)))
	w.is.Equal(w.delivered, []string{"data"})
	w.is.Equal(len(w.resets), 0)
}

func TestOpeningForAnotherServiceIsRefused(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.clear()
	seg := syn(flow(1))
	w.g.Receive(w.now, front, relay.Message{Kind: relay.KindOpen, Flow: seg.Flow, Service: 4711, Packet: seg.Packet}, seg)
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonWrongService)
}

func TestReturnedOpeningGoesBackToItsBalancer(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.receive(relay.KindOpen, syn(flow(1)))
	w.clear()
	w.returned(syn(flow(1)))
	refused := w.kinds(relay.KindRefused)
	w.is.Equal(len(refused), 1)
	w.is.Equal(refused[0].to, front)
	w.is.Equal(refused[0].Reason, relay.ReasonFull)
	w.is.Equal(refused[0].packet, "syn")
	w.is.Equal(len(w.replies), 0) // a returned packet is the client's own and never goes to it
}

// A new start of the target knows nothing of the flows before: their clients are told at once.
func TestNewStartOfTheTargetResetsItsFlows(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.sequence = 0
	w.is.Equal(w.beat("t1", 2000, false), gate.HeartbeatAccepted) // the same id, started again
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

func TestLateHeartbeatsOfAnEarlierStartChangeNothing(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1000, true)
	w.beat("t2", 2000, false)
	w.clear()
	w.is.Equal(w.beat("t1", 1000, true), gate.HeartbeatStale) // a known id of before
	w.is.Equal(w.beat("t0", 500, true), gate.HeartbeatStale)  // an unknown one that was born earlier
	w.is.Equal(w.beat("t2", 1500, true), gate.HeartbeatStale) // an earlier start under the present id
	w.receive(relay.KindOpen, syn(flow(1)))
	w.is.Equal(w.delivered, []string{"syn"})

	w.sequence = 0
	w.is.Equal(w.beat("t2", 2000, true), gate.HeartbeatLate)
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(len(w.delivered), 2)
}

// The time of day may jump back between two starts: an unknown id that was born earlier is a new start once the
// former one is silent.
func TestNewStartAfterTheClockWentBack(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 10_000, false)
	w.pass(2200*time.Millisecond, "", 0)
	w.is.Equal(w.beat("t2", 7_000, false), gate.HeartbeatAccepted)
}

func TestSilentTargetIsGoneAndItsFlowsAreReset(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.pass(2*time.Second, "t1", 1)
	w.is.Equal(w.checks, 0)
	w.pass(2*time.Second, "", 0)
	w.is.Equal(w.checks, 1)
	w.g.HandleCheck(w.now, gate.ConnAccepted)
	w.is.Equal(len(w.resets), 0) // its heartbeats are late
	w.pass(2*time.Second, "", 0)
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
	w.clear()
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
}

func TestTargetThatNeverAppearsIsGone(t *testing.T) {
	w := newWorld(t)
	w.pass(100*time.Millisecond, "", 0)
	w.is.Equal(w.checks, 1) // at once: an agent may be stopped again within moments
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
	w.beat("t1", 1, false)
	w.receive(relay.KindOpen, syn(flow(3)))
	w.is.Equal(w.delivered, []string{"syn"})
}

// A pause of the machine stops both processes; the target's heartbeats still wait to be read.
func TestPauseOfTheProcessDoesNotMakeTheTargetSilent(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.now = w.now.Add(6 * time.Second)
	w.g.ProcessPaused(6 * time.Second)
	w.g.Tick(w.now)
	w.is.Equal(len(w.resets), 0)
}

// A target that neither accepts nor refuses may be busy; it is gone once it has been silent for longer.
func TestUnansweredCheckIsNoProof(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.pass(2*time.Second, "", 0)
	w.g.HandleCheck(w.now, gate.ConnTimeout)
	w.is.Equal(len(w.resets), 0)
	w.pass(time.Second, "", 0)
	w.g.HandleCheck(w.now, gate.ConnTimeout)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// A heartbeat that came while a check was under way is newer than what the check found.
func TestFailedCheckDoesNotOutrankAHeartbeat(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.is.Equal(len(w.resets), 0)
}

// A flow that the client did not answer may be open at another target, which took a copy of the opening packet.
func TestUnansweredFlowIsNotReset(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.open(flow(1))
	w.g.Deregister(w.now, "t1")
	w.is.Equal(len(w.resets), 0)
}

func TestDeregisterResetsAtOnce(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.is.True(!w.g.Deregister(w.now, "t0"))
	w.is.Equal(len(w.resets), 0)
	w.is.True(w.g.Deregister(w.now, "t1"))
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// A gate that has seen its target start knows all of its flows, and denies others without asking it.
func TestCompleteGateDeniesUnknownFlows(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.clear()
	w.receive(relay.KindProbe, data(flow(1)))
	w.receive(relay.KindData, data(flow(2)))
	w.is.Equal(len(w.delivered), 0)
	denied := w.kinds(relay.KindNotFound)
	w.is.Equal(len(denied), 2)
	w.is.Equal(denied[0].packet, "")     // an asked packet went to others too
	w.is.Equal(denied[1].packet, "data") // one that was sent here goes back
}

// An agent that was started beside a running target asks the target, which returns what it does not hold.
func TestRestartedGateAsksItsTarget(t *testing.T) {
	w := newWorld(t)
	w.sequence = 50
	w.beat("t1", 1, false)
	w.clear()
	w.receive(relay.KindProbe, data(flow(1)))
	w.receive(relay.KindProbe, data(flow(2)))
	w.is.Equal(len(w.delivered), 2)
	w.returned(data(flow(1)))
	w.is.Equal(len(w.kinds(relay.KindNotFound)), 1)
	w.pass(200*time.Millisecond, "t1", 1)
	held := w.kinds(relay.KindLocation)
	w.is.Equal(len(held), 2) // flow 2 was kept: both owners are told
	w.is.Equal(held[0].Flow, flow(2))
}

// Pattern: an agent was started beside a target that crashes before its first check. The target returns nothing any more,
// and what was asked for is not its own for that.
func TestAssumedFlowIsNotReset(t *testing.T) {
	w := newWorld(t)
	w.receive(relay.KindProbe, data(flow(1)))
	w.pass(200*time.Millisecond, "", 0)
	w.receive(relay.KindData, data(flow(1)))
	w.g.HandleCheck(w.now, gate.ConnRefused)
	w.is.Equal(len(w.resets), 0)
}

func TestRestartedGateLearnsFromWhatTheTargetSends(t *testing.T) {
	w := newWorld(t)
	w.sequence = 50
	w.beat("t1", 1, false)
	w.clear()
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	w.is.Equal(w.replies, []string{"answer"})
	w.is.Equal(len(w.kinds(relay.KindLocation)), 2)
}

func TestNewOwnersAreTold(t *testing.T) {
	w := newWorld(t)
	w.g.SetBalancers(w.now, []netip.AddrPort{front})
	w.beat("t1", 1, false)
	w.open(flow(1))
	w.clear()
	w.g.SetBalancers(w.now, []netip.AddrPort{front, second})
	held := w.kinds(relay.KindLocation)
	w.is.Equal(len(held), 1)
	w.is.Equal(held[0].to, second)
	load := w.kinds(relay.KindLoad)
	w.is.Equal(len(load), 1) // the newcomer hears of the target at once
	w.is.Equal(load[0].to, second)
}

func TestEndedFlowStaysForItsLastPackets(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.open(flow(1))
	fin := data(flow(1))
	fin.Finishes = true
	w.receive(relay.KindData, fin)
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), Finishes: true, Packet: []byte("fin")})
	w.is.Equal(w.g.OpenFlows(), 0)
	w.clear()
	w.receive(relay.KindData, fin)
	w.is.Equal(w.delivered, []string{"data"})
	w.pass(6*time.Second, "t1", 1)
	w.receive(relay.KindData, fin)
	w.is.Equal(len(w.kinds(relay.KindNotFound)), 1)
}

func TestLoadIsWhatPassed(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.open(flow(1))
	w.receive(relay.KindData, data(flow(1)))
	w.is.Equal(w.g.Outstanding(), 1)
	w.now = w.now.Add(40 * time.Millisecond)
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	w.is.Equal(w.g.Outstanding(), 0)
	w.clear()
	w.pass(300*time.Millisecond, "t1", 1)
	load := w.kinds(relay.KindLoad)[0].Load
	w.is.Equal(load.ServiceTime, 40*time.Millisecond)
	w.is.Equal(load.OpenFlows, 1)
	w.is.Equal(load.Slots, 2)
	w.is.True(load.Accepting)
}

// Pattern: a machine is taken away, its target first. Balancers must not wait for flows at an agent that leaves after its
// target.
func TestStoppingGateTellsThatItsTargetIsGone(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.g.Deregister(w.now, "t1")
	w.clear()
	w.g.Stop(w.now)
	w.is.Equal(w.kinds(relay.KindLoad)[0].Load.Reason, relay.ReasonTargetDown)
}

// Pattern: more new flows than the target can answer in time. What is beyond goes back to the balancers.
func TestFullTargetGetsNoNewFlows(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	for n := range uint16(6) { // three times its two slots
		w.open(flow(n))
		w.receive(relay.KindData, data(flow(n)))
	}
	w.clear()
	w.receive(relay.KindOpen, syn(flow(99)))
	w.is.Equal(len(w.delivered), 0)
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonFull)
	w.now = w.now.Add(30 * time.Millisecond)
	w.g.HandleOutbound(w.now, state.Segment{Flow: flow(1), DataLen: 5, Packet: []byte("answer")})
	w.is.Equal(len(w.kinds(relay.KindLoad)), 2) // both balancers hear at once that there is room
	w.receive(relay.KindOpen, syn(flow(99)))
	w.is.Equal(w.delivered, []string{"syn"})
}

func TestStoppingGateRefusesAndCarriesOn(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.open(flow(1))
	w.g.Stop(w.now)
	w.clear()
	w.receive(relay.KindOpen, syn(flow(2)))
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonStopping)
	w.receive(relay.KindData, data(flow(1)))
	w.is.Equal(w.delivered, []string{"data"})
}

// Pattern: an outage has left a backlog of flows that are late already. They get slots that are free; the room to wait at
// the target is kept for flows that can still be answered in time.
func TestLateFlowsDoNotQueueAtTheTarget(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	offer := func(n uint16, late bool) {
		w.g.Receive(w.now, front, relay.Message{
			Kind: relay.KindOpen, Flow: flow(n), Service: service.ID(), Late: late, Packet: syn(flow(n)).Packet,
		}, syn(flow(n)))
	}
	offer(1, true)
	offer(2, true) // both slots are taken
	offer(3, true)
	w.is.Equal(len(w.delivered), 2)
	w.is.Equal(w.kinds(relay.KindRefused)[0].Reason, relay.ReasonFull)
	offer(4, false)
	w.is.Equal(len(w.delivered), 3)
	// Balancers that keep late flows hear of a free slot at once.
	for _, n := range []uint16{1, 2, 4} {
		w.open(flow(n))
		w.receive(relay.KindData, data(flow(n)))
	}
	offer(5, true)
	w.now = w.now.Add(20 * time.Millisecond)
	w.clear()
	w.answers(flow(4))
	w.is.Equal(len(w.kinds(relay.KindLoad)), 0) // both slots are still taken
	w.answers(flow(1))
	w.is.Equal(len(w.kinds(relay.KindLoad)), 2)
}

// A balancer that looks for many flows names them in one message.
func TestManyFlowsAreAnsweredTogether(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	w.carry(flow(1))
	w.receive(relay.KindOpen, syn(flow(2)))
	w.clear()
	ask := relay.Message{Kind: relay.KindQuery, Service: service.ID(), Flows: []state.FlowID{flow(1), flow(2), flow(3)}}
	w.g.Receive(w.now, second, ask, state.Segment{})
	held := w.kinds(relay.KindLocation)
	w.is.Equal(len(held), 1)
	w.is.Equal(held[0].to, second)
	w.is.Equal(held[0].Flow, flow(1))
	answers := w.kinds(relay.KindQueryReply)
	w.is.Equal(len(answers), 1)
	w.is.Equal(answers[0].Flows, []state.FlowID{flow(3)})
	w.is.Equal(answers[0].Unresolved, []state.FlowID{flow(2)}) // its opening packet is not answered yet

	w.restart() // beside the running target
	w.sequence = 7
	w.beat("t1", 1, false)
	w.clear()
	w.g.Receive(w.now, second, ask, state.Segment{})
	w.is.Equal(w.kinds(relay.KindQueryReply)[0].Unresolved, ask.Flows)
}

// Pattern: overload in a fleet with many balancers. A full target's agent tells of room as often as the balancers can take in, not
// each time that a request ends.
func TestReportsOfRoomAreBounded(t *testing.T) {
	w := newWorld(t)
	w.beat("t1", 1, false)
	var list []netip.AddrPort
	for n := range byte(60) {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, n}), 7700))
	}
	w.g.SetBalancers(w.now, list)
	w.clear()
	end := w.now.Add(time.Second)
	for n := uint16(0); w.now.Before(end); n++ {
		for range 7 { // three times its two slots, and one more
			n++
			w.open(flow(n))
			w.receive(relay.KindData, data(flow(n)))
		}
		for m := range uint16(7) {
			w.answers(flow(n - m))
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	w.is.True(len(w.kinds(relay.KindLoad)) <= 300)
}

// Pattern: a machine has lost power. Its target is up a moment before the agent, which misses the first heartbeats. Nobody can
// have opened flows there, so the agent knows that it holds none; beside a target that ran before, it does not.
func TestTargetThatStartedWithTheAgentHoldsNoFlows(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration
		warmup   time.Duration
		complete bool
	}{
		{"started just before", 150 * time.Millisecond, time.Second, true},
		{"ran before", 900 * time.Millisecond, time.Second, false},
		{"clock has gone back, and the target is no longer slow", 150 * time.Millisecond, 0, false},
		{"unknown age", -1, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.now = w.now.Add(100 * time.Millisecond)
			w.g.HandleHeartbeat(w.now, gate.Heartbeat{
				ID: "t1", StartedAt: 1, Sequence: 3, Service: service, Slots: 2, Uptime: c.age, WarmupLeft: c.warmup,
			})
			w.is.Equal(w.g.Summary(w.now).KnowsAllFlows, c.complete)
		})
	}
}
