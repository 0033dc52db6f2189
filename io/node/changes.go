package node

import (
	"strings"

	"monsoonstep/core/state"
)

// maxLoggedAddresses is the maximum number of addresses in a log line for each health. A start of the whole fleet changes hundreds of
// members at once.
const maxLoggedAddresses = 8

// healthCount is the number of values of state.Health.
const healthCount = int(state.HealthLeft) + 1

// memberChanges counts the members whose health changed, by their new health, and holds the addresses of the first few.
type memberChanges struct {
	counts    [healthCount]int
	addresses [healthCount][]string
}

// add adds a member whose health changed.
func (c *memberChanges) add(m state.Member) {
	c.counts[m.Health]++
	if len(c.addresses[m.Health]) < maxLoggedAddresses {
		c.addresses[m.Health] = append(c.addresses[m.Health], m.Gossip.String())
	}
}

// pairs returns the keys and values of a log line about the changes, or nil if there are none.
func (c *memberChanges) pairs() []any {
	var pairs []any
	for h, count := range c.counts {
		if name := state.Health(h).String(); count > 0 {
			pairs = append(pairs, name, count, name+"Nodes", strings.Join(c.addresses[h], ","))
		}
	}
	return pairs
}

// changedMembers returns the changes of health since the last call. A new member counts only if it is present, since the death of a
// member that was never known to run needs no log line.
func (f *fleet) changedMembers(members []state.Member) memberChanges {
	var c memberChanges
	healths := make(map[state.InstanceID]state.Health, len(members))
	for _, m := range members {
		healths[m.ID] = m.Health
		before, known := f.loggedHealths[m.ID]
		if known && before != m.Health || !known && m.Present() {
			c.add(m)
		}
	}
	f.loggedHealths = healths
	return c
}
