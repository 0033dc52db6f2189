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
	flowAge                    = time.Minute
	noPacket                   = ""
)

var (
	virtual  = state.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	self     = netip.MustParseAddrPort("10.0.0.1:7700")
	otherBal = netip.MustParseAddrPort("10.0.0.2:7700")
	start    = time.Unix(1_000_000, 0)
)

// sent is one message that the balancer sent.
type sent struct {
	to netip.AddrPort
	relay.Message
	packet string
}

// world is a balancer with everything that it did.
type world struct {
	t      *testing.T
	is     *is.I
	b      *steer.Balancer
	now    time.Time
	sent   []sent
	resets []state.FlowID
	notes  []relay.Decision
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, is: is.New(t), now: start}
	w.b = steer.New(w.now, steer.Settings{Self: self, DataCentre: "a", FlowTTL: flowAge}, steer.Actions{
		Send: func(to netip.AddrPort, m relay.Message) {
			w.sent = append(w.sent, sent{to: to, Message: m, packet: string(m.Packet)})
		},
		Reset:      func(flow state.FlowID, _ uint32) { w.resets = append(w.resets, flow) },
		OnDecision: func(d relay.Decision) { w.notes = append(w.notes, d) },
	})
	w.b.SetMembershipComplete(true)
	return w
}

func agent(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, n}), 7700)
}

func member(n byte, serves state.ServiceName, health state.Health) state.Member {
	return state.Member{
		ID:     state.NewInstanceID(state.InstanceName("agent-"+string('a'+rune(n))), state.Millis(n)),
		Health: health,
		Announcement: state.Announcement{
			Role: state.RoleAgent, Service: serves, DataCentre: "a", Flow: agent(n), Gossip: agent(n), Phase: state.PhaseServing,
		},
	}
}

func config(version state.ConfigVersion, serves state.ServiceName) state.Config {
	return state.Config{Version: version, Routes: map[state.Endpoint]state.Route{
		virtual: {Name: "r", Virtual: virtual, Services: []state.WeightedService{{Service: serves, Weight: 1}}},
	}}
}

// configWith is like config, with a change of the route.
func configWith(change func(*state.Route)) state.Config {
	c := config(1, service)
	route := c.Routes[virtual]
	change(&route)
	c.Routes[virtual] = route
	return c
}

// settled gives the world a configuration, agents that report, and enough time to trust its list of them.
func (w *world) settled(agents ...byte) {
	w.b.Configure(config(1, service))
	w.members(agents...)
	w.pass(3*time.Second, agents...)
	w.clear()
}

func (w *world) members(agents ...byte) {
	var list []state.Member
	for _, n := range agents {
		list = append(list, member(n, service, state.HealthAlive))
	}
	w.b.SetMembers(w.now, list)
}

// pass lets time pass while the agents report that their targets are idle.
func (w *world) pass(d time.Duration, agents ...byte) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(steer.TickPeriod)
		for _, n := range agents {
			w.report(n, relay.Load{Accepting: true, Headroom: 40, Slots: 4, ReportInterval: 200 * time.Millisecond})
		}
		w.b.Tick(w.now)
	}
}

func (w *world) report(n byte, load relay.Load) {
	w.b.HandleMessage(w.now, agent(n), relay.Message{Kind: relay.KindLoad, Service: service.ID(), Load: load}, state.Segment{})
}

func (w *world) clear() { w.sent, w.resets, w.notes = nil, nil, nil }

// last returns the last message of a kind.
func (w *world) last(kind relay.Kind) (sent, bool) {
	for i := len(w.sent) - 1; i >= 0; i-- {
		if w.sent[i].Kind == kind {
			return w.sent[i], true
		}
	}
	return sent{}, false
}

func (w *world) count(kind relay.Kind) int {
	n := 0
	for _, s := range w.sent {
		if s.Kind == kind {
			n++
		}
	}
	return n
}

func flow(n uint16) state.FlowID {
	return state.FlowID{Client: state.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: n}, Virtual: virtual}
}

func opens(f state.FlowID, copyNumber uint32) state.Segment {
	return state.Segment{Flow: f, Opens: true, Acknowledged: copyNumber, Packet: []byte("syn")}
}

func data(f state.FlowID) state.Segment {
	return state.Segment{Flow: f, Acknowledges: true, Acknowledged: 77, DataLen: 4, Packet: []byte("data")}
}

func (w *world) notHeld(from netip.AddrPort, f state.FlowID, packet string) {
	var seg state.Segment
	if packet != noPacket {
		seg = data(f)
	}
	w.b.HandleMessage(w.now, from, relay.Message{Kind: relay.KindNotFound, Flow: f, Packet: []byte(packet)}, seg)
}

func (w *world) held(from, holder netip.AddrPort, f state.FlowID) {
	w.b.HandleMessage(w.now, from, relay.Message{
		Kind: relay.KindLocation, Flow: f, Holder: holder, Service: service.ID(),
	}, state.Segment{})
}

func TestNewFlowIsOfferedAndItsCopiesFollow(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.b.HandlePacket(w.now, opens(flow(1), 0))
	first, ok := w.last(relay.KindOpen)
	w.is.True(ok)
	w.held(first.to, first.to, flow(1))
	w.now = w.now.Add(200 * time.Millisecond)
	w.b.HandlePacket(w.now, opens(flow(1), 1))
	second, _ := w.last(relay.KindOpen)
	w.is.Equal(second.to, first.to) // a copy follows the first to the target that took the flow
	w.b.HandlePacket(w.now, data(flow(1)))
	carried, ok := w.last(relay.KindData)
	w.is.True(ok)
	w.is.Equal(carried.to, first.to)
}

func TestUnknownRouteIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	strange := flow(1)
	strange.Virtual.Port = 999
	w.b.HandlePacket(w.now, opens(strange, 0))
	w.is.Equal(w.resets, []state.FlowID{strange})
}

func TestRemovedRouteDropsItsFlows(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	w.held(agent(1), agent(1), flow(1))
	w.b.Configure(state.Config{Version: 5, Routes: map[state.Endpoint]state.Route{}})
	w.b.HandlePacket(w.now, data(flow(1)))
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
	w.is.Equal(w.count(relay.KindData), 0)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld(t)
	w.is.True(w.b.Configure(config(7, service)))
	w.is.True(!w.b.Configure(config(6, other)))
	w.is.True(!w.b.Configure(config(7, other)))
	w.is.Equal(w.b.ActiveVersion(), state.ConfigVersion(7))
}
