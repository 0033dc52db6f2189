package node

import (
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

// testFleet returns the membership of a node that knows no other.
func testFleet(name, address string, role state.Role) *fleet {
	s := Settings{Instance: state.InstanceName(name), DataCentre: "a", Region: "r", Internal: netip.MustParseAddrPort(address)}
	return newFleet(s, state.Announcement{Role: role, Service: "atelier"}, logs.New(io.Discard, "error"))
}

// exchange delivers the messages of a, and all replies, between two nodes until none is left.
func exchange(now time.Time, a, b *fleet, sends []gossip.Send) {
	at := map[netip.AddrPort]*fleet{a.machine.Self().Gossip: a, b.machine.Self().Gossip: b}
	from := a.machine.Self().Gossip
	for len(sends) > 0 {
		var replies []gossip.Send
		for _, s := range sends {
			replies = append(replies, at[s.To].receive(now, from, s.Message)...)
			from = s.To
		}
		sends = replies
		if len(replies) > 0 {
			other := replies[0].To
			for address := range at {
				if address != other {
					from = address
				}
			}
		}
	}
	a.changed()
	b.changed()
}

// After all balancers have lost power they know no other node, while the agents keep sending to the addresses of the former ones. The
// first message from an agent must suffice for both to discover each other.
func TestNodeIntroducesItselfToUnknownSender(t *testing.T) {
	check := is.New(t)
	now := time.Now()
	balancer := testFleet("b", "10.0.0.1:7700", state.RoleBalancer)
	agent := testFleet("a", "10.0.0.2:7700", state.RoleAgent)
	introduction := balancer.introduce(now, agent.machine.Self().Gossip)
	check.Equal(len(introduction), 1)
	exchange(now, balancer, agent, introduction)
	check.Equal(balancer.machine.Size(), 2)
	check.Equal(agent.machine.Size(), 2)
	check.Equal(len(balancer.introduce(now.Add(time.Second), agent.machine.Self().Gossip)), 0) // the agent is known now
}

// joinsSoon reports whether a node tries to join through a seed within some join intervals, before a member that does not answer is suspect.
func joinsSoon(now time.Time, f *fleet, seed netip.AddrPort) bool {
	for end := now.Add(3 * joinInterval); now.Before(end); now = now.Add(tickInterval) {
		if slices.ContainsFunc(f.tick(now), func(s gossip.Send) bool { return s.To == seed }) {
			return true
		}
	}
	return false
}

// Guards against agents that stay apart when all balancers have been restarted at once, since they still know each other: the balancers
// then take the agents that reached them for all there are, and reset the flows of the others (review/6). An agent that knows a balancer,
// and a balancer that has been alone for some time, must not keep contacting the seeds.
func TestNodeWithoutBalancersJoinsThroughTheSeeds(t *testing.T) {
	seed := netip.MustParseAddrPort("10.0.0.9:7700")
	for _, c := range []struct {
		name         string
		role         state.Role
		balancerLeft bool
		uptime       time.Duration
		joins        bool
	}{
		{"agent whose last balancer left", state.RoleAgent, true, time.Minute, true},
		{"agent that knows a balancer", state.RoleAgent, false, time.Minute, false},
		{"balancer that has just started", state.RoleBalancer, true, 0, true},
		{"only balancer", state.RoleBalancer, true, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			f := testFleet("n", "10.0.0.1:7700", c.role)
			agent := testFleet("a", "10.0.0.2:7700", state.RoleAgent)
			balancer := testFleet("b", "10.0.0.3:7700", state.RoleBalancer)
			exchange(now, f, agent, f.introduce(now, agent.machine.Self().Gossip))
			exchange(now, f, balancer, f.introduce(now.Add(time.Second), balancer.machine.Self().Gossip))
			f.seeds = []netip.AddrPort{seed}
			f.started, f.lastJoin = now.Add(-c.uptime), now
			if c.balancerLeft {
				for _, s := range balancer.leave() {
					f.receive(now, balancer.machine.Self().Gossip, s.Message)
				}
			}
			f.changed()
			is.New(t).Equal(joinsSoon(now, f, seed), c.joins)
		})
	}
}
