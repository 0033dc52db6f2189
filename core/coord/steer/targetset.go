package steer

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// targetSet holds the targets that a balancer knows, with their load, and chooses between them. It knows no flows.
type targetSet struct {
	// dataCentre is the balancer's own data centre.
	dataCentre state.DataCentre
	// byAddress holds the targets by the address of their agents; an agent that is replaced at its address keeps its entry.
	byAddress map[netip.AddrPort]*target
	// byService and selection hold the same targets after each call of index: by service, and in the form in which they are selected
	// for new flows.
	byService map[state.ServiceName][]*target
	selection selection
	// serviceTimes holds the mean service time of each service's targets; a service is missing while none is known.
	serviceTimes map[state.ServiceName]time.Duration
	// version rises with each call of index.
	version uint64
	// lastNewAgentAt is when a new agent was last discovered.
	lastNewAgentAt time.Time
}

func newTargetSet(dataCentre state.DataCentre) *targetSet {
	return &targetSet{
		dataCentre:   dataCentre,
		byAddress:    make(map[netip.AddrPort]*target),
		byService:    make(map[state.ServiceName][]*target),
		selection:    selection{pools: make(map[state.ServiceName]*poolPair)},
		serviceTimes: make(map[state.ServiceName]time.Duration),
	}
}

// index rebuilds byService and the pools.
func (s *targetSet) index() {
	clear(s.byService)
	clear(s.selection.pools)
	s.version++
	for _, t := range s.byAddress {
		s.byService[t.service] = append(s.byService[t.service], t)
		s.add(t)
	}
}

// anyServing reports whether any target for a route accepts new flows in general, even if all are full at this moment.
func (s *targetSet) anyServing(now time.Time, route state.Route, service state.ServiceName) bool {
	for _, t := range s.allowed(route, service) {
		if t.serving(now) {
			return true
		}
	}
	return false
}

// headroom returns how many queued flows the targets of each service can be given. A target without a load report counts
// with its slots.
func (s *targetSet) headroom(now time.Time) map[state.ServiceName]int {
	headroom := make(map[state.ServiceName]int)
	for _, t := range s.byAddress {
		switch {
		case !t.accepting(now):
		case t.lastReportAt.IsZero():
			headroom[t.service] += max(1, t.load.Slots)
		default:
			headroom[t.service] += t.load.Headroom - t.unansweredOffers
		}
	}
	return headroom
}

// halfResponsive reports whether at least half of the running agents are responsive.
func (s *targetSet) halfResponsive(now time.Time) bool {
	responsive, total := 0, 0
	for _, t := range s.byAddress {
		if !t.running() {
			continue
		}
		total++
		if !t.lastHeardAt.IsZero() && !t.unresponsive(now) {
			responsive++
		}
	}
	return responsive*minResponsiveDenominator >= total*minResponsiveNumerator
}
