package steer

import (
	"cmp"
	"slices"
	"time"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/state"
)

const (
	// candidateCount is how many targets of a group are compared for a new flow, in the order of their rank for it. A few
	// suffice for an even load (Mitzenmacher, "The power of two choices in randomized load balancing", 2001), and a balancer
	// that searches for a flow probes only these at first.
	candidateCount = 8
	// defaultServiceTime is the service time assumed while no target of the service has reported any.
	defaultServiceTime = 50 * time.Millisecond
	// warmupSlowdownFactor is how much slower a target is assumed to be during its warm-up.
	warmupSlowdownFactor = 1.6
	// crossDataCentrePenalty is the cost, as time, of a target in another data centre: for the network delay and the
	// traffic.
	crossDataCentrePenalty = 4 * time.Millisecond
)

// choose returns the target with the lowest cost among the first candidates of a service in the regions that the route allows, and
// how many of these accept the flow. The first group of candidates, in this balancer's data centre, suffices if one of them has a free
// slot; otherwise the second group, of other data centres, is compared too, and further groups only if none of these accepts the flow.
// Without any accepting target it returns nil and the number of targets in the allowed regions.
func (s *targetSet) choose(
	now time.Time, route state.Route, service state.ServiceName, flow state.FlowID, excluded []*target, late bool,
) (*target, int) {
	var best *target
	considered := 0
	c := &s.selection.candidates
	c.start(flow, s.allowedPair(route, service))
	for i, group := 0, c.next(); group != nil; i, group = i+1, c.next() {
		t, accepting := s.cheapest(now, group, excluded, late)
		considered += accepting
		if t != nil && (best == nil || s.cost(now, t) < s.cost(now, best)) {
			best = t
		}
		if best != nil && (i > 0 || s.hasFreeSlot(now, best)) {
			return best, considered
		}
		if best == nil && i > 0 && !c.anyAccepting(now, excluded, late) {
			break
		}
	}
	if best == nil {
		return nil, c.count()
	}
	return best, considered
}

// candidateGroups returns targets in groups of up to candidateCount, in the order in which they are considered for a flow: by
// turns groups of this balancer's data centre and of the others, each in the order of their rank for the flow.
func (s *targetSet) candidateGroups(flow state.FlowID, targets []*target) [][]*target {
	near := make([]*target, 0, len(targets))
	far := make([]*target, 0, len(targets))
	for _, t := range targets {
		if t.dataCentre == s.dataCentre {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	sortByRank(flow, near)
	sortByRank(flow, far)
	var groups [][]*target
	for len(near)+len(far) > 0 {
		for _, list := range []*[]*target{&near, &far} {
			n := min(candidateCount, len(*list))
			if n > 0 {
				groups = append(groups, (*list)[:n])
				*list = (*list)[n:]
			}
		}
	}
	return groups
}

// cheapest returns the target with the lowest cost among those that accept the flow, or nil if none does, and how many do.
func (s *targetSet) cheapest(now time.Time, targets, excluded []*target, late bool) (*target, int) {
	var best *target
	var lowest time.Duration
	considered := 0
	for _, t := range targets {
		if !t.acceptsFlow(now, excluded, late) {
			continue
		}
		considered++
		if cost := s.cost(now, t); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best, considered
}

// sortByRank sorts targets by their rank for a flow, which is the same at every balancer.
func sortByRank(flow state.FlowID, targets []*target) {
	key := flow.Hash()
	slices.SortFunc(targets, func(x, y *target) int {
		return cmp.Compare(rank.Score(key, y.hash), rank.Score(key, x.hash))
	})
}
