package node

import (
	"strings"

	"monsoonstep/core/state"
)

// maxLoggedAddresses bounds how many nodes one line names; a start of the whole fleet changes hundreds at once.
const maxLoggedAddresses = 8

// healthCount is the number of states of health.
const healthCount = int(state.HealthLeft) + 1

// memberChanges collects by their new health the members that changed since the last look.
type memberChanges struct {
	counts    [healthCount]int
	addresses [healthCount][]string
}

func (c *memberChanges) add(m state.Member) {
	c.counts[m.Health]++
	if len(c.addresses[m.Health]) < maxLoggedAddresses {
		c.addresses[m.Health] = append(c.addresses[m.Health], m.Gossip.String())
	}
}

// logPairs returns what a log line says of the changes, or nil if there are none.
func (c *memberChanges) logPairs() []any {
	var pairs []any
	for h, count := range c.counts {
		if name := state.Health(h).String(); count > 0 {
			pairs = append(pairs, name, count, name+"Nodes", strings.Join(c.addresses[h], ","))
		}
	}
	return pairs
}

// changedMembers returns what changed since the members were last noted, and notes them.
func (f *fleet) changedMembers(members []state.Member) memberChanges {
	var c memberChanges
	present := make(map[state.InstanceID]state.Health, len(members))
	for _, m := range members {
		present[m.ID] = m.Health
		before, known := f.loggedHealths[m.ID]
		if known && before != m.Health || !known && m.Present() {
			c.add(m)
		}
	}
	f.loggedHealths = present
	return c
}
