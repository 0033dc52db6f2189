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

func testFleet(name, address string, role state.Role) *fleet {
	s := Settings{Instance: state.InstanceName(name), DataCentre: "a", Region: "r", Internal: netip.MustParseAddrPort(address)}
	return newFleet(s, state.Announcement{Role: role, Service: "atelier"}, logs.New(io.Discard, "error"))
}

// exchange delivers messages between two fleets until none is left.
func exchange(now time.Time, a, b *fleet, sends []gossip.Send) {
	at := map[netip.AddrPort]*fleet{a.machine.Self().Gossip: a, b.machine.Self().Gossip: b}
	from := a.machine.Self().Gossip
	for len(sends) > 0 {
		var answers []gossip.Send
		for _, s := range sends {
			answers = append(answers, at[s.To].receive(now, from, s.Message)...)
			from = s.To
		}
		sends = answers
		if len(answers) > 0 {
			other := answers[0].To
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

// Pattern: all balancers lost power and know nobody, while the agents go on sending to the former ones. The first message
// of an agent is enough for both to know each other.
func TestSenderThatIsNotKnownIsGreeted(t *testing.T) {
	check := is.New(t)
	now := time.Now()
	balancer := testFleet("b", "10.0.0.1:7700", state.RoleBalancer)
	agent := testFleet("a", "10.0.0.2:7700", state.RoleAgent)
	greeting := balancer.introduce(now, agent.machine.Self().Gossip)
	check.Equal(len(greeting), 1)
	exchange(now, balancer, agent, greeting)
	check.Equal(balancer.machine.Size(), 2)
	check.Equal(agent.machine.Size(), 2)
	check.Equal(len(balancer.introduce(now.Add(time.Second), agent.machine.Self().Gossip)), 0) // now it is known
}
