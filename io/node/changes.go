package node

import (
	"strings"

	"monsoonstep/core/state"
)

// maxNamed bounds how many nodes one line names; a start of the whole fleet changes hundreds at once.
const maxNamed = 8

// healths is the number of states of health.
const healths = int(state.HealthLeft) + 1

// changes collects by their new health the members that changed since the last look.
type changes struct {
	counts [healths]int
	named  [healths][]string
}

func (c *changes) add(m state.Member) {
	c.counts[m.Health]++
	if len(c.named[m.Health]) < maxNamed {
		c.named[m.Health] = append(c.named[m.Health], m.Gossip.String())
	}
}

// pairs returns what a log line says of the changes, or nil if there are none.
func (c *changes) pairs() []any {
	var pairs []any
	for h, count := range c.counts {
		if name := state.Health(h).String(); count > 0 {
			pairs = append(pairs, name, count, name+"Nodes", strings.Join(c.named[h], ","))
		}
	}
	return pairs
}

// changedMembers returns what changed since the members were last noted, and notes them.
func (f *fleet) changedMembers(members []state.Member) changes {
	var c changes
	present := make(map[state.InstanceID]state.Health, len(members))
	for _, m := range members {
		present[m.ID] = m.Health
		before, known := f.healths[m.ID]
		if known && before != m.Health || !known && m.Present() {
			c.add(m)
		}
	}
	f.healths = present
	return c
}
