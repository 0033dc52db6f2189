package steer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

const (
	service  state.ServiceName = "atelier"
	other    state.ServiceName = "galerie"
	flowTTL                    = time.Minute
	noPacket                   = ""
)

var (
	virtual       = state.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	self          = netip.MustParseAddrPort("10.0.0.1:7700")
	otherBalancer = netip.MustParseAddrPort("10.0.0.2:7700")
	start         = time.Unix(1_000_000, 0)
)

// sent is one message that the balancer sent.
type sent struct {
	to netip.AddrPort
	relay.Message
	packet string
}

// harness is a balancer with a record of everything that it did.
type harness struct {
	t         *testing.T
	is        *is.I
	b         *steer.Balancer
	now       time.Time
	sent      []sent
	resets    []state.FlowID
	decisions []relay.Decision
}

func newHarness(t *testing.T) *harness {
	return newHarnessWith(t, steer.Settings{Self: self, DataCentre: "a", FlowTTL: flowTTL})
}

func newHarnessWith(t *testing.T, settings steer.Settings) *harness {
	h := &harness{t: t, is: is.New(t), now: start}
	h.b = steer.New(h.now, settings, steer.Actions{
		Send: func(to netip.AddrPort, m relay.Message) {
			h.sent = append(h.sent, sent{to: to, Message: m, packet: string(m.Packet)})
		},
		Reset:      func(flow state.FlowID, _ uint32) { h.resets = append(h.resets, flow) },
		OnDecision: func(d relay.Decision) { h.decisions = append(h.decisions, d) },
	})
	h.b.SetMembershipComplete(true)
	return h
}

func agent(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, n}), 7700)
}

func member(n byte, svc state.ServiceName, health state.Health) state.Member {
	return state.Member{
		ID:     state.NewInstanceID(state.InstanceName("agent-"+string('a'+rune(n))), state.Millis(n)),
		Health: health,
		Announcement: state.Announcement{
			Role: state.RoleAgent, Service: svc, DataCentre: "a", Flow: agent(n), Gossip: agent(n), Phase: state.PhaseServing,
		},
	}
}

func config(version state.ConfigVersion, svc state.ServiceName) state.Config {
	return state.Config{Version: version, Routes: map[state.Endpoint]state.Route{
		virtual: {Name: "r", Virtual: virtual, Services: []state.WeightedService{{Service: svc, Weight: 1}}},
	}}
}

// configWith returns the first configuration with a change to its route.
func configWith(change func(*state.Route)) state.Config {
	c := config(1, service)
	route := c.Routes[virtual]
	change(&route)
	c.Routes[virtual] = route
	return c
}

// settle gives the balancer a configuration, agents that send load reports, and enough time for its list of agents to
// count as complete.
func (h *harness) settle(agents ...byte) {
	h.b.Configure(h.now, config(1, service))
	h.members(agents...)
	h.advance(3*time.Second, agents...)
	h.clear()
}

// members sets the membership to the given agents, all alive.
func (h *harness) members(agents ...byte) {
	var list []state.Member
	for _, n := range agents {
		list = append(list, member(n, service, state.HealthAlive))
	}
	h.b.SetMembers(h.now, list)
}

// advance advances the clock while the agents report that their targets are idle.
func (h *harness) advance(d time.Duration, agents ...byte) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(steer.TickPeriod)
		for _, n := range agents {
			h.report(n, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ReportInterval: 200 * time.Millisecond})
		}
		h.b.Tick(h.now)
	}
}

// report sends an agent's load report to the balancer.
func (h *harness) report(n byte, load relay.Load) {
	h.b.HandleMessage(h.now, agent(n), relay.Message{Kind: relay.KindLoad, HasLoad: true, Service: service.ID(), Load: load}, state.Segment{})
}

// clear deletes the record of what the balancer did.
func (h *harness) clear() { h.sent, h.resets, h.decisions = nil, nil, nil }

// last returns the last message of a kind that the balancer sent.
func (h *harness) last(kind relay.Kind) (sent, bool) {
	for i := len(h.sent) - 1; i >= 0; i-- {
		if h.sent[i].Kind == kind {
			return h.sent[i], true
		}
	}
	return sent{}, false
}

func (h *harness) count(kind relay.Kind) int {
	n := 0
	for _, s := range h.sent {
		if s.Kind == kind {
			n++
		}
	}
	return n
}

func flow(n uint16) state.FlowID {
	return state.FlowID{Client: state.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: n}, Virtual: virtual}
}

// openingSegment returns an opening packet of a flow; copyNumber is 0 for the first one.
func openingSegment(f state.FlowID, copyNumber uint32) state.Segment {
	return state.Segment{Flow: f, Opens: true, Acknowledged: copyNumber, Packet: []byte("syn")}
}

// dataSegment returns a packet of an open flow.
func dataSegment(f state.FlowID) state.Segment {
	return state.Segment{Flow: f, Acknowledges: true, Acknowledged: 77, DataLen: 4, Packet: []byte("data")}
}

// receiveNotFound delivers an agent's report that its target does not hold a flow, with a returned packet unless that is
// noPacket.
func (h *harness) receiveNotFound(from netip.AddrPort, f state.FlowID, packet string) {
	var seg state.Segment
	if packet != noPacket {
		seg = dataSegment(f)
	}
	h.b.HandleMessage(h.now, from, relay.Message{Kind: relay.KindNotFound, Flow: f, Packet: []byte(packet)}, seg)
}

// receiveLocation delivers a flow's location, reported by the holder or an owner.
func (h *harness) receiveLocation(from, holder netip.AddrPort, f state.FlowID) {
	h.b.HandleMessage(h.now, from, relay.Message{
		Kind: relay.KindLocation, Flow: f, Holder: holder, Service: service.ID(),
	}, state.Segment{})
}

func TestRetransmittedOpeningPacketFollowsItsFlow(t *testing.T) {
	h := newHarness(t)
	h.settle(1, 2, 3)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 0))
	first, ok := h.last(relay.KindOpen)
	h.is.True(ok)
	h.receiveLocation(first.to, first.to, flow(1))
	h.now = h.now.Add(200 * time.Millisecond)
	h.b.HandlePacket(h.now, openingSegment(flow(1), 1))
	second, _ := h.last(relay.KindOpen)
	h.is.Equal(second.to, first.to) // the retransmission goes to the target that accepted the flow
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	forwarded, ok := h.last(relay.KindData)
	h.is.True(ok)
	h.is.Equal(forwarded.to, first.to)
}

func TestFlowWithoutRouteIsReset(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	unrouted := flow(1)
	unrouted.Virtual.Port = 999
	h.b.HandlePacket(h.now, openingSegment(unrouted, 0))
	h.is.Equal(h.resets, []state.FlowID{unrouted})
}

func TestFlowsOfARemovedRouteAreReset(t *testing.T) {
	h := newHarness(t)
	h.settle(1)
	h.receiveLocation(agent(1), agent(1), flow(1))
	h.b.Configure(h.now, state.Config{Version: 5, Routes: map[state.Endpoint]state.Route{}})
	h.b.HandlePacket(h.now, dataSegment(flow(1)))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
	h.is.Equal(h.count(relay.KindData), 0)
}

// A balancer must not return to an older configuration, nor replace the present one by another of the same version.
func TestConfigureRejectsVersionThatIsNotNewer(t *testing.T) {
	h := newHarness(t)
	h.is.True(h.b.Configure(h.now, config(7, service)))
	h.is.True(!h.b.Configure(h.now, config(6, other)))
	h.is.True(!h.b.Configure(h.now, config(7, other)))
	h.is.Equal(h.b.ActiveVersion(), state.ConfigVersion(7))
}
