package steer

import (
	"slices"
	"time"

	"monsoonstep/core/state"
)

// maxSearches limits the searches of a balancer. A new one replaces the oldest.
const maxSearches = 4096

// searches holds the searches that have not ended, and what is to be sent for them.
type searches struct {
	byFlow map[state.FlowID]*search
	// order holds every search of byFlow, in the order of their starts, and some that have ended.
	order []*search
	// probeLimiter limits the bytes of probes.
	probeLimiter tokenBucket
	// targetsToQuery are the targets for whose agents queries have accumulated since the last Balancer.FlushQueries, each once.
	targetsToQuery []*target
}

func newSearches(now time.Time) searches {
	return searches{
		byFlow:       make(map[state.FlowID]*search),
		probeLimiter: tokenBucket{tokens: probeBurstBytes, last: now},
	}
}

// add adds a search and returns those that end for it, the oldest, if there are maxSearches already.
func (s *searches) add(added *search) []*search {
	var dropped []*search
	for len(s.byFlow) >= maxSearches {
		oldest := s.order[0]
		s.order = s.order[1:]
		if s.byFlow[oldest.segment.Flow] != oldest {
			continue
		}
		s.remove(oldest.segment.Flow)
		dropped = append(dropped, oldest)
	}
	s.byFlow[added.segment.Flow] = added
	s.order = append(s.order, added)
	return dropped
}

// remove ends the search for a flow, if there is one.
func (s *searches) remove(flow state.FlowID) { delete(s.byFlow, flow) }

// compact removes the searches that have ended from order.
func (s *searches) compact() {
	s.order = slices.DeleteFunc(s.order, func(other *search) bool { return s.byFlow[other.segment.Flow] != other })
}
