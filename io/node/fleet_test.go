package node

import (
	"io"
	"net/netip"
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
