package steer_test

import (
	"net/netip"
	"slices"
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
	virtual  = state.End{IP: [4]byte{198, 18, 0, 1}, Port: 443}
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
	w.b = steer.New(w.now, steer.Settings{Self: self, DataCentre: "a", FlowAge: flowAge}, steer.Actions{
		Send: func(to netip.AddrPort, m relay.Message) {
			w.sent = append(w.sent, sent{to: to, Message: m, packet: string(m.Packet)})
		},
		Reset: func(flow state.FlowID, _ uint32) { w.resets = append(w.resets, flow) },
		Note:  func(d relay.Decision) { w.notes = append(w.notes, d) },
	})
	w.b.SetComplete(true)
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
	return state.Config{Version: version, Routes: map[state.End]state.Route{
		virtual: {Name: "r", Virtual: virtual, Backends: []state.Backend{{Service: serves, Weight: 1}}},
	}}
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
			w.report(n, relay.Load{Takes: true, Room: 40, Slots: 4, Period: 200 * time.Millisecond})
		}
		w.b.Tick(w.now)
	}
}

func (w *world) report(n byte, load relay.Load) {
	w.b.Receive(w.now, agent(n), relay.Message{Kind: relay.KindLoad, Service: service.ID(), Load: load}, state.Segment{})
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
	return state.FlowID{Client: state.End{IP: [4]byte{100, 64, 0, 1}, Port: n}, Virtual: virtual}
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
	w.b.Receive(w.now, from, relay.Message{Kind: relay.KindNotHeld, Flow: f, Packet: []byte(packet)}, seg)
}

func (w *world) held(from, holder netip.AddrPort, f state.FlowID) {
	w.b.Receive(w.now, from, relay.Message{
		Kind: relay.KindHeld, Flow: f, Holder: holder, Service: service.ID(),
	}, state.Segment{})
}

func TestNewFlowIsOfferedAndItsCopiesFollow(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.b.Packet(w.now, opens(flow(1), 0))
	first, ok := w.last(relay.KindOpen)
	w.is.True(ok)
	w.held(first.to, first.to, flow(1))
	w.now = w.now.Add(200 * time.Millisecond)
	w.b.Packet(w.now, opens(flow(1), 1))
	second, _ := w.last(relay.KindOpen)
	w.is.Equal(second.to, first.to) // a copy follows the first to the target that took the flow
	w.b.Packet(w.now, data(flow(1)))
	carried, ok := w.last(relay.KindData)
	w.is.True(ok)
	w.is.Equal(carried.to, first.to)
}

// A copy whose first packet was left unanswered is offered to another target: the agent or its link may be dead.
func TestUnansweredOpeningGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.b.Packet(w.now, opens(flow(1), 0))
	first, _ := w.last(relay.KindOpen)
	w.now = w.now.Add(200 * time.Millisecond)
	w.b.Packet(w.now, opens(flow(1), 1))
	second, _ := w.last(relay.KindOpen)
	w.is.True(second.to != first.to)
}

func TestRefusedOpeningGoesElsewhereThenToTheClient(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.b.Packet(w.now, opens(flow(1), 0))
	for range 2 {
		offered, _ := w.last(relay.KindOpen)
		w.is.Equal(len(w.resets), 0)
		w.b.Receive(w.now, offered.to, relay.Message{Kind: relay.KindRefused, Flow: flow(1), Reason: relay.ReasonDraining}, opens(flow(1), 0))
	}
	w.is.Equal(w.count(relay.KindOpen), 2)
	w.is.Equal(w.resets, []state.FlowID{flow(1)}) // no target is left: the client is told at once
}

func TestUnknownRouteIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	strange := flow(1)
	strange.Virtual.Port = 999
	w.b.Packet(w.now, opens(strange, 0))
	w.is.Equal(w.resets, []state.FlowID{strange})
}

func TestRemovedRouteDropsItsFlows(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	w.held(agent(1), agent(1), flow(1))
	w.b.Configure(state.Config{Version: 5, Routes: map[state.End]state.Route{}})
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
	w.is.Equal(w.count(relay.KindData), 0)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	w := newWorld(t)
	w.is.True(w.b.Configure(config(7, service)))
	w.is.True(!w.b.Configure(config(6, other)))
	w.is.True(!w.b.Configure(config(7, other)))
	w.is.Equal(w.b.Config(), state.ConfigVersion(7))
}

func TestUnknownFlowIsFoundAtItsOwner(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.b.SetBalancers([]netip.AddrPort{self, otherBal})
	w.b.Packet(w.now, data(flow(1)))
	w.b.Packet(w.now, data(flow(1)))
	where, ok := w.last(relay.KindWhere)
	w.is.True(ok)
	w.is.Equal(where.to, otherBal)
	w.held(otherBal, agent(2), flow(1))
	w.is.Equal(w.count(relay.KindData), 2) // both packets that waited go on
	carried, _ := w.last(relay.KindData)
	w.is.Equal(carried.to, agent(2))
	w.is.Equal(w.count(relay.KindAsk), 0)
}

func TestAgentsAreAskedWhenOwnersDoNotKnowOrAreSilent(t *testing.T) {
	for _, answers := range []bool{true, false} {
		w := newWorld(t)
		w.settled(1, 2, 3)
		w.b.SetBalancers([]netip.AddrPort{self, otherBal})
		w.b.Packet(w.now, data(flow(1)))
		if answers {
			w.b.Receive(w.now, otherBal, relay.Message{Kind: relay.KindUnknown, Flow: flow(1)}, state.Segment{})
		} else {
			w.pass(100*time.Millisecond, 1, 2, 3)
		}
		w.is.Equal(w.count(relay.KindAsk), 3)
	}
}

// A client whose flow nobody holds is told at once; one whose holder may be an agent that did not answer is not.
// Pattern: all processes of a large fleet were killed, and every open flow has to be looked for. Those agents are asked
// first at which the flow would be placed.
func TestLikelyAgentsAreAskedFirst(t *testing.T) {
	agents := make([]byte, 60)
	for i := range agents {
		agents[i] = byte(i + 1)
	}
	w := newWorld(t)
	w.settled(agents...)
	for n := range uint16(20) {
		w.clear()
		w.b.Packet(w.now, opens(flow(n), 0))
		placed, _ := w.last(relay.KindOpen)
		fresh := newWorld(t)
		fresh.settled(agents...)
		fresh.b.Packet(fresh.now, data(flow(n)))
		fresh.is.Equal(fresh.count(relay.KindAsk), 8)
		asked := false
		for _, s := range fresh.sent {
			asked = asked || s.to == placed.to
		}
		fresh.is.True(asked)
		for _, s := range slices.Clone(fresh.sent) {
			fresh.notHeld(s.to, flow(n), noPacket)
		}
		fresh.is.Equal(fresh.count(relay.KindAsk), 8+16) // then more of them
	}
}

func TestResetOnlyIfEveryAgentDenies(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.b.Packet(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	w.notHeld(agent(2), flow(1), noPacket)
	w.is.Equal(len(w.resets), 0)
	w.notHeld(agent(3), flow(1), noPacket)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})

	w.clear()
	w.b.Packet(w.now, data(flow(2)))
	w.notHeld(agent(1), flow(2), noPacket)
	w.notHeld(agent(2), flow(2), noPacket)
	w.pass(2*time.Second, 1, 2, 3)
	w.is.Equal(len(w.resets), 0)
}

// A balancer that has just started may not know all agents, so denials of those that it knows prove nothing.
func TestNoResetBeforeTheAgentsAreKnown(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.members(1)
	w.report(1, relay.Load{Takes: true, Room: 40, Period: time.Second})
	w.b.Packet(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	w.is.Equal(len(w.resets), 0)
}

// Pattern: all machines lost power. A flow that every known agent denied is given up as soon as no further agent can be
// expected, without waiting for the client's next copy.
func TestDeniedFlowIsResetOnceTheAgentsAreKnown(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.members(1)
	w.report(1, relay.Load{Takes: true, Room: 40, Period: time.Second})
	w.b.Packet(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	w.pass(300*time.Millisecond, 1)
	w.is.Equal(len(w.resets), 0)
	w.members(1, 2) // another one has appeared, and is asked
	w.pass(150*time.Millisecond, 1, 2)
	asked, _ := w.last(relay.KindAsk)
	w.is.Equal(asked.to, agent(2))
	w.notHeld(agent(2), flow(1), noPacket)
	w.is.Equal(len(w.resets), 0)
	w.pass(300*time.Millisecond, 1, 2)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: a balancer joins a large fleet and is told of its agents little by little.
func TestNoResetWhileOthersKnowMoreAgents(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	w.b.SetComplete(false)
	w.b.Packet(w.now, data(flow(1)))
	w.notHeld(agent(1), flow(1), noPacket)
	w.pass(time.Second, 1)
	w.is.Equal(len(w.resets), 0)
	w.b.SetComplete(true)
	w.pass(200*time.Millisecond, 1)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// An agent whose target has ended holds no flows: whether it still answers does not matter.
func TestAgentWithoutATargetIsNotWaitedFor(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.report(2, relay.Load{Reason: relay.ReasonGone, Period: time.Second})
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindAsk), 1)
	w.notHeld(agent(1), flow(1), noPacket)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

func TestFlowsOfADeadAgentAreReset(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	w.b.SetMembers(w.now, []state.Member{member(1, service, state.HealthDead), member(2, service, state.HealthAlive)})
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(len(w.resets), 0) // it was heard a moment ago
	w.pass(3*time.Second, 2)
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: a machine is paused with open flows. Requests that may be repeated are sent elsewhere by their callers; others
// may still be answered, and are left.
func TestFlowsOfASilentAgentAreResetIfRepeatable(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		w := newWorld(t)
		c := config(1, service)
		route := c.Routes[virtual]
		route.Idempotent = idempotent
		c.Routes[virtual] = route
		w.b.Configure(c)
		w.settled(1, 2, 3, 4, 5)
		w.held(agent(1), agent(1), flow(1))
		w.pass(800*time.Millisecond, 2, 3, 4, 5)
		w.b.Packet(w.now, data(flow(1)))
		w.is.Equal(len(w.resets), 0) // a process that was killed is not back yet
		w.pass(400*time.Millisecond, 2, 3, 4, 5)
		w.b.Packet(w.now, data(flow(1)))
		w.is.Equal(len(w.resets) == 1, idempotent)
	}
}

// Pattern: all machines lost power, and one of them came back for a moment only. Its agent is known and never reports; the
// flows that all others denied are not kept waiting for it.
func TestSearchDoesNotWaitForASilentAgent(t *testing.T) {
	w := newWorld(t)
	c := config(1, service)
	route := c.Routes[virtual]
	route.Idempotent = true
	c.Routes[virtual] = route
	w.b.Configure(c)
	w.members(1, 2, 3, 4)
	w.pass(1500*time.Millisecond, 1, 2, 3)
	w.b.Packet(w.now, data(flow(1)))
	for n := range byte(3) {
		w.notHeld(agent(n+1), flow(1), noPacket)
	}
	w.is.Equal(len(w.resets), 0)
	w.pass(200*time.Millisecond, 1, 2, 3)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// A balancer that hears nobody is cut off itself.
func TestNoResetWhenEverybodyIsSilent(t *testing.T) {
	w := newWorld(t)
	c := config(1, service)
	route := c.Routes[virtual]
	route.Idempotent = true
	c.Routes[virtual] = route
	w.b.Configure(c)
	w.settled(1, 2, 3, 4, 5)
	w.held(agent(1), agent(1), flow(1))
	w.pass(2*time.Second, 2)
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(len(w.resets), 0)
}

// An agent that left on purpose is started again beside the same target, which still holds the flows.
func TestFlowsOfAStoppedAgentAreKept(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	w.b.SetMembers(w.now, []state.Member{member(1, service, state.HealthLeft), member(2, service, state.HealthAlive)})
	w.pass(4*time.Second, 2)
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(len(w.resets), 0)
}

// Pattern: all processes are killed while the store is down. Open flows are carried without a configuration.
func TestOpenFlowsAreCarriedBeforeTheFirstConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members(1, 2)
	w.pass(100*time.Millisecond, 1, 2)
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindAsk), 2)
	w.held(agent(2), agent(2), flow(1))
	w.b.Packet(w.now, data(flow(1)))
	carried, _ := w.last(relay.KindData)
	w.is.Equal(carried.to, agent(2))

	w.b.Packet(w.now, data(flow(2)))
	w.notHeld(agent(1), flow(2), noPacket)
	w.notHeld(agent(2), flow(2), noPacket)
	w.is.Equal(len(w.resets), 0) // without a configuration nothing is known well enough for a reset
}

// Pattern: the same start. New flows wait for the configuration, and are refused in time for the client to come back.
func TestNewFlowsWaitForTheFirstConfiguration(t *testing.T) {
	w := newWorld(t)
	w.members(1)
	w.pass(100*time.Millisecond, 1)
	w.b.Packet(w.now, opens(flow(1), 0))
	w.is.Equal(w.count(relay.KindOpen), 0)
	w.is.Equal(len(w.resets), 0)
	w.b.Configure(config(1, service))
	w.pass(steer.TickPeriod, 1)
	w.is.Equal(w.count(relay.KindOpen), 1)

	w = newWorld(t)
	w.b.Packet(w.now, opens(flow(1), 0))
	w.pass(1200 * time.Millisecond)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}

// Pattern: all agents were started again; each hears from its target within a heartbeat.
func TestNewFlowsWaitForAgentsThatHaveJustStarted(t *testing.T) {
	w := newWorld(t)
	w.settled(1)
	w.pass(5*time.Second, 1)
	fresh := member(1, service, state.HealthAlive)
	fresh.ID = state.NewInstanceID("agent-b", 99)
	fresh.Phase = state.PhaseStarting
	w.b.SetMembers(w.now, []state.Member{fresh})
	w.clear()
	w.b.Packet(w.now, opens(flow(1), 0))
	w.is.Equal(len(w.resets), 0)
	w.pass(600*time.Millisecond, 1)
	w.is.Equal(w.count(relay.KindOpen), 1)
}

// Pattern: targets of unequal speed. New flows go where an answer is expected first.
func TestFasterAndIdlerTargetsGetMore(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.report(1, relay.Load{Takes: true, Room: 40, Slots: 4, ServiceTime: 80 * time.Millisecond, Period: time.Second})
	w.report(2, relay.Load{Takes: true, Room: 40, Slots: 4, ServiceTime: 30 * time.Millisecond, Period: time.Second})
	counts := map[netip.AddrPort]int{}
	for n := range uint16(22) {
		w.b.Packet(w.now, opens(flow(n), 0))
		offered, _ := w.last(relay.KindOpen)
		counts[offered.to]++
	}
	w.is.Equal(counts[agent(2)], 16) // 80:30 of 22
}

// Pattern: more new flows than the targets can take. Those that can still be answered in time go first, and each is
// either offered or refused within the time that its client waits.
func TestOverloadKeepsNewFlowsInTime(t *testing.T) {
	w := newWorld(t)
	c := config(1, service)
	route := c.Routes[virtual]
	route.Target = 250 * time.Millisecond
	c.Routes[virtual] = route
	w.b.Configure(c)
	w.members(1)
	w.report(1, relay.Load{Takes: true, Room: 0, Slots: 4, Period: time.Second})
	w.b.Packet(w.now, opens(flow(1), 0))
	w.b.Packet(w.now, opens(flow(2), 0))
	w.now = w.now.Add(400 * time.Millisecond)
	w.b.Packet(w.now, opens(flow(3), 0))
	w.is.Equal(w.count(relay.KindOpen), 0)
	w.is.Equal(len(w.resets), 0)
	w.report(1, relay.Load{Takes: true, Room: 1, Slots: 4, Period: time.Second})
	w.b.Tick(w.now)
	offered, _ := w.last(relay.KindOpen)
	w.is.Equal(offered.Flow, flow(3)) // the others are late already
	w.is.Equal(w.count(relay.KindOpen), 1)
	w.now = w.now.Add(700 * time.Millisecond)
	w.report(1, relay.Load{Takes: true, Room: 0, Slots: 4, Period: time.Second})
	w.b.Tick(w.now)
	w.is.Equal(len(w.resets), 2)
}

// Pattern: the same. A flow that waits goes on as soon as an agent tells of room, not at the next tick.
func TestRoomIsUsedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.b.Configure(config(1, service))
	w.members(1)
	w.report(1, relay.Load{Takes: true, Room: 0, Slots: 4, Period: time.Second})
	w.b.Packet(w.now, opens(flow(1), 0))
	w.is.Equal(w.count(relay.KindOpen), 0)
	w.report(1, relay.Load{Takes: true, Room: 1, Slots: 4, Period: time.Second})
	w.is.Equal(w.count(relay.KindOpen), 1)
}

func TestSilentOrLeavingTargetsGetNothing(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2, 3)
	w.report(2, relay.Load{Takes: false, Reason: relay.ReasonDraining, Period: 200 * time.Millisecond})
	w.pass(time.Second, 3) // 1 is silent, and 2 does not take back what it said
	w.clear()
	for n := range uint16(20) {
		w.b.Packet(w.now, opens(flow(n), 0))
	}
	for _, s := range w.sent {
		w.is.Equal(s.to, agent(3))
	}
}

func TestAddressThatWasReusedDoesNotInheritFlows(t *testing.T) {
	w := newWorld(t)
	w.settled(1, 2)
	w.held(agent(1), agent(1), flow(1))
	reused := member(1, other, state.HealthAlive)
	reused.ID = state.NewInstanceID("agent-z", 500)
	w.b.SetMembers(w.now, []state.Member{reused, member(2, service, state.HealthAlive)})
	w.b.Packet(w.now, data(flow(1)))
	w.is.Equal(w.count(relay.KindData), 0)
	w.is.Equal(w.resets, []state.FlowID{flow(1)})
}
