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
