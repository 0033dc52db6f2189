package steer

import (
	"time"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/state"
)

// pool is the targets of one service in this balancer's data centre, or in all others, in no particular order.
type pool struct {
	targets []*target
	// hashes holds the hash of each target, at the same index, so that ranking reads adjacent memory only.
	hashes []uint64
}

// add adds a target.
func (p *pool) add(t *target) {
	p.targets = append(p.targets, t)
	p.hashes = append(p.hashes, t.hash)
}

// poolPair is the targets of one service: those in this balancer's data centre first, then the others.
type poolPair [2]pool

// empty removes all targets and keeps the memory.
func (p *poolPair) empty() {
	for i := range p {
		p[i] = pool{targets: p[i].targets[:0], hashes: p[i].hashes[:0]}
	}
}

// selection holds the targets in the form in which they are selected for new flows.
type selection struct {
	// pools holds all targets by service and data centre.
	pools map[state.ServiceName]*poolPair
	// candidates and allowed hold the targets for the flow that is being placed. Their memory is used again for the next one.
	candidates candidates
	allowed    poolPair
}

// add adds a target to the pools of its service.
func (s *targetSet) add(t *target) {
	pair := s.selection.pools[t.service]
	if pair == nil {
		pair = new(poolPair)
		s.selection.pools[t.service] = pair
	}
	s.poolOf(pair, t).add(t)
}

// poolOf returns the pool of a pair to which a target belongs.
func (s *targetSet) poolOf(pair *poolPair, t *target) *pool {
	if t.dataCentre == s.dataCentre {
		return &pair[0]
	}
	return &pair[1]
}

// candidates yields the targets for a new flow in the groups of targetSet.candidateGroups. It selects the next group only when it is
// asked for: nearly always the first or the first two suffice, and to sort all targets of a service would take longer.
type candidates struct {
	key   uint64
	lists [2]candidateList
	// turn is the index of the list from which the next group is taken.
	turn int
}

// candidateList is the candidates of one pool.
type candidateList struct {
	pool *pool
	// taken is how many candidates were yielded; last is the last one of them.
	taken int
	last  rankedIndex
	group [candidateCount]*target
}

// rankedIndex is the index of a target in its pool and its score for a flow.
type rankedIndex struct {
	score uint64
	index int
}

// before reports whether r ranks before other. At the same score the lower index does.
func (r rankedIndex) before(other rankedIndex) bool {
	return r.score > other.score || r.score == other.score && r.index < other.index
}

// start starts with the candidates for a flow from the pools of a service.
func (c *candidates) start(flow state.FlowID, pair *poolPair) {
	c.key = flow.Hash()
	c.turn = 0
	for i := range c.lists {
		c.lists[i].pool = &pair[i]
		c.lists[i].taken = 0
	}
}

// next returns the next group, which is valid until a group of the same pool follows, or nil if there is none.
func (c *candidates) next() []*target {
	for range c.lists {
		list := &c.lists[c.turn]
		c.turn = 1 - c.turn
		if list.taken < len(list.pool.targets) {
			return list.next(c.key)
		}
	}
	return nil
}

// anyAccepting reports whether any target that may be considered accepts a flow.
func (c *candidates) anyAccepting(now time.Time, excluded []*target, late bool) bool {
	for i := range c.lists {
		for _, t := range c.lists[i].pool.targets {
			if t.acceptsFlow(now, excluded, late) {
				return true
			}
		}
	}
	return false
}

// count returns how many targets there are.
func (c *candidates) count() int { return len(c.lists[0].pool.targets) + len(c.lists[1].pool.targets) }

// next returns the candidateCount targets that rank best for a flow after those already yielded.
func (l *candidateList) next(key uint64) []*target {
	var best [candidateCount]rankedIndex
	count := 0
	for i, hash := range l.pool.hashes {
		r := rankedIndex{score: rank.Score(key, hash), index: i}
		if count == candidateCount && !r.before(best[count-1]) || l.taken > 0 && !l.last.before(r) {
			continue
		}
		count = min(count+1, candidateCount)
		at := count - 1
		for ; at > 0 && r.before(best[at-1]); at-- {
			best[at] = best[at-1]
		}
		best[at] = r
	}
	for i, r := range best[:count] {
		l.group[i] = l.pool.targets[r.index]
	}
	l.last = best[count-1]
	l.taken += count
	return l.group[:count]
}
