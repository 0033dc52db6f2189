package node

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/state"
)

// changedMember returns a member whose ID and address end in n.
func changedMember(n byte, h state.Health) state.Member {
	return state.Member{
		ID: state.InstanceID(fmt.Sprint(n)), Health: h,
		Announcement: state.Announcement{Gossip: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7700)},
	}
}

func TestOnlyHealthChangesAreLogged(t *testing.T) {
	check := is.New(t)
	f := testFleet("b", "10.0.0.9:7700", state.RoleBalancer)
	first := f.changedMembers([]state.Member{changedMember(1, state.HealthAlive), changedMember(2, state.HealthDead)})
	check.Equal(first.pairs(), []any{"alive", 1, "aliveNodes", "10.0.0.1:7700"}) // member 2 was never known to run, so its death is not logged
	same := f.changedMembers([]state.Member{changedMember(1, state.HealthAlive), changedMember(2, state.HealthDead)})
	check.Equal(same.pairs(), nil)
	died := f.changedMembers([]state.Member{changedMember(1, state.HealthSuspect), changedMember(2, state.HealthDead)})
	check.Equal(died.pairs(), []any{"suspect", 1, "suspectNodes", "10.0.0.1:7700"})
}

// When a whole fleet starts, hundreds of members change at once; the log line must stay short.
func TestLoggedAddressesAreLimited(t *testing.T) {
	check := is.New(t)
	f := testFleet("b", "10.0.0.9:7700", state.RoleBalancer)
	var members []state.Member
	for n := range byte(200) {
		members = append(members, changedMember(n, state.HealthAlive))
	}
	c := f.changedMembers(members)
	check.Equal(c.counts[state.HealthAlive], 200)
	check.Equal(len(c.addresses[state.HealthAlive]), maxLoggedAddresses)
}
