package steer

import (
	"time"

	"monsoonstep/core/coord/queue"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// allowed returns the targets of a service in the regions to which a route allows new flows.
func (s *targetSet) allowed(route state.Route, service state.ServiceName) []*target {
	targets := s.byService[service]
	if len(route.Regions) == 0 {
		return targets
	}
	var allowed []*target
	for _, t := range targets {
		if route.Allows(t.region) {
			allowed = append(allowed, t)
		}
	}
	return allowed
}

// allowedPair returns the targets of allowedTargets as pools, which are valid until its next call.
func (s *targetSet) allowedPair(route state.Route, service state.ServiceName) *poolPair {
	pair := s.selection.pools[service]
	if pair != nil && len(route.Regions) == 0 {
		return pair
	}
	allowed := &s.selection.allowed
	allowed.empty()
	for _, t := range s.byService[service] {
		if route.Allows(t.region) {
			s.poolOf(allowed, t).add(t)
		}
	}
	return allowed
}

// hasNoHome reports whether a route is restricted to regions in which no agent of the service runs.
func (s *targetSet) hasNoHome(route state.Route, service state.ServiceName) bool {
	if len(route.Regions) == 0 {
		return false
	}
	for _, t := range s.byService[service] {
		if t.running() && route.Allows(t.region) {
			return false
		}
	}
	return true
}

// refuseWithoutHome refuses a queued flow whose route is restricted to regions without a target, and reports whether it did. A flow
// that was queued before the first configuration, or before its route was restricted, is not refused earlier.
func (b *Balancer) refuseWithoutHome(now time.Time, f *queue.Flow) bool {
	if !b.targets.hasNoHome(f.Route, f.Service) || b.expectsTarget(now, f.Route, f.Service) {
		return false
	}
	b.queue.Remove(f.Segment.Flow)
	b.refuseQueued(now, f, relay.ReasonNoHome)
	return true
}
