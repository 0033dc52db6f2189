package route_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/coord/route"
	"monsoonstep/core/proto/connid"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

const region = "mauritius"

func agent(i, slots int, name state.ServiceName) state.Member {
	return state.Member{ID: state.InstanceID(fmt.Sprintf("agent-%d/1", i)), Announcement: state.Announcement{
		Role: state.RoleAgent, Service: name, Region: region, Slots: slots, Phase: state.PhaseServing,
		Flow: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7402),
	}}
}

func initialPacket(n int) []byte {
	p := make([]byte, 1200)
	copy(p, []byte{0xc0, 0, 0, 0, 1, 8, byte(n), byte(n >> 8), byte(n >> 16)})
	return p
}

func establishedPacket(tb testing.TB, set *keys.Set, to state.Member) []byte {
	tb.Helper()
	id := connid.Append(nil, set, connid.Route{Agent: to.Flow, Service: to.Service.ID(), Serial: 1})
	return append(append([]byte{0x40}, id...), make([]byte, 30)...)
}

func newSet(tb testing.TB) *keys.Set {
	tb.Helper()
	set, err := keys.New(keys.Fleet{1}, state.Ring{}, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return set
}

func TestEstablishedFlowsFollowTheirConnectionIDs(t *testing.T) {
	is := is.New(t)
	set := newSet(t)
	a, b, g := agent(1, 7, "atelier"), agent(2, 7, "atelier"), agent(3, 7, "galerie")
	var reader connid.Reader
	decide := func(members []state.Member, service state.ServiceName, p []byte) (netip.AddrPort, route.Outcome) {
		return route.New(members, region).Decide(set, &reader, service.ID(), p)
	}
	packet := establishedPacket(t, set, a)
	to, outcome := decide([]state.Member{a, b, g}, "atelier", packet)
	is.Equal(outcome, route.Established)
	is.Equal(to, a.Flow)
	to, outcome = decide(nil, "atelier", packet) // no members known
	is.Equal(outcome, route.Established)
	is.Equal(to, a.Flow)
	_, outcome = decide([]state.Member{a, b, g}, "galerie", packet)
	is.Equal(outcome, route.DropForeign)
	draining := a
	draining.Phase = state.PhaseDraining
	to, outcome = decide([]state.Member{draining, b}, "atelier", packet)
	is.Equal(outcome, route.Established) // a draining agent keeps its flows
	is.Equal(to, a.Flow)
	dead := a
	dead.Health = state.HealthDead
	to, outcome = decide([]state.Member{dead, b}, "atelier", packet)
	is.Equal(outcome, route.Rerouted)
	is.Equal(to, b.Flow)
	reused := agent(1, 7, "galerie") // the address belongs to another service now
	to, outcome = decide([]state.Member{dead, reused, b}, "atelier", packet)
	is.Equal(outcome, route.Rerouted)
	is.Equal(to, b.Flow)
	_, outcome = decide([]state.Member{dead}, "atelier", packet)
	is.Equal(outcome, route.DropNoAgent)
	packet[3] ^= 1
	_, outcome = decide([]state.Member{a}, "atelier", packet)
	is.Equal(outcome, route.DropForged)
	_, outcome = decide([]state.Member{a}, "atelier", packet[:9])
	is.Equal(outcome, route.DropMalformed)
}

// New flows are spread in proportion to the weights, and when an agent leaves, only its own flows move.
func TestNewFlowsFollowWeightsAndOnlyThoseOfALeavingAgentMove(t *testing.T) {
	is := is.New(t)
	set := newSet(t)
	var reader connid.Reader
	all := []state.Member{agent(1, 2, "atelier"), agent(2, 4, "atelier"), agent(3, 8, "atelier")}
	before, after := route.New(all, region), route.New(all[:2], region)
	count := map[netip.AddrPort]float64{}
	const flows = 20000
	for n := range flows {
		to, outcome := before.Decide(set, &reader, state.ServiceName("atelier").ID(), initialPacket(n))
		is.Equal(outcome, route.Opened)
		count[to]++
		moved, _ := after.Decide(set, &reader, state.ServiceName("atelier").ID(), initialPacket(n))
		is.True(moved == to || to == all[2].Flow)
	}
	for _, m := range all {
		want := flows * float64(m.Slots) / 14
		is.True(math.Abs(count[m.Flow]-want) < 0.06*want)
	}
}

func TestNewFlowsPreferAgentsInTheirRegion(t *testing.T) {
	is := is.New(t)
	set := newSet(t)
	var reader connid.Reader
	far := agent(1, 100, "atelier")
	far.Region = "gotland"
	near := agent(2, 1, "atelier")
	for _, members := range [][]state.Member{{far, near}, {near, far}} {
		to, _ := route.New(members, region).Decide(set, &reader, near.Service.ID(), initialPacket(1))
		is.Equal(to, near.Flow)
	}
	to, outcome := route.New([]state.Member{far}, region).Decide(set, &reader, far.Service.ID(), initialPacket(1))
	is.Equal(outcome, route.Opened)
	is.Equal(to, far.Flow)
}
