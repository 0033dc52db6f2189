package route_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/coord/route"
	"monsoonstep/core/state"
)

// An agent was killed. Its callers retransmit with growing pauses, so the last packet before the agent is declared dead may
// be the last one for many seconds.
func TestKeptPacketsAreTakenWhenTheirAgentIsDeclaredDead(t *testing.T) {
	is := is.New(t)
	caller := netip.MustParseAddrPort("192.0.2.1:4000")
	for _, outcome := range []state.Health{state.HealthDead, state.HealthAlive} {
		a, b := agent(1, 7, "atelier"), agent(2, 7, "atelier")
		kept := route.NewKept()
		a.Health = state.HealthSuspect
		table := route.New([]state.Member{a, b}, region)
		is.True(table.Suspects(a.Flow))
		is.True(!table.Suspects(b.Flow))
		for _, packet := range []string{"data", "longer data", "ping"} {
			kept.Keep(a.Flow, a.Service.ID(), caller, []byte(packet))
		}
		is.Equal(len(kept.TakeOfDead(table)), 0)
		a.Health = outcome
		table = route.New([]state.Member{a, b}, region)
		taken := kept.TakeOfDead(table)
		is.Equal(len(taken) == 1, outcome == state.HealthDead) // an agent that refuted the suspicion has the packet
		if len(taken) == 1 {
			is.Equal(string(taken[0].Packet), "longer data") // a reset is shorter than the packet that it answers
			is.Equal(taken[0].Caller, caller)
		}
		is.Equal(len(kept.TakeOfDead(table)), 0)
	}
}

// A large agent dies with more flows than a balancer may keep packets of: memory stays bounded, and the rest of the callers
// are reset at their next packets.
func TestKeptPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	a := agent(1, 7, "atelier")
	kept := route.NewKept()
	for n := range 10_000 {
		kept.Keep(a.Flow, a.Service.ID(), netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n >> 8)}), uint16(n)), []byte("p"))
	}
	a.Health = state.HealthDead
	is.Equal(len(kept.TakeOfDead(route.New([]state.Member{a}, region))), 4096)
}
