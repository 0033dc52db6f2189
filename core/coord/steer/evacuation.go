package steer

import (
	"slices"
	"time"

	"monsoonstep/core/coord/queue"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// evacuations are the data centres to whose targets no new flow may be sent. Flows that are confirmed to be open continue.
type evacuations struct {
	// pending is true until the first orders are known. Until then new flows are queued as they are without a configuration, because
	// any data centre may be evacuated.
	pending bool
	// dataCentres are the evacuated data centres.
	dataCentres []state.DataCentre
}

// has reports whether a data centre is evacuated.
func (e *evacuations) has(dc state.DataCentre) bool { return slices.Contains(e.dataCentres, dc) }

// forbid reports whether no new flow may be sent to a data centre now.
func (e *evacuations) forbid(dc state.DataCentre) bool { return e.pending || e.has(dc) }

// SetEvacuations replaces the list of evacuated data centres.
func (b *Balancer) SetEvacuations(dataCentres []state.DataCentre) {
	b.evacuations = evacuations{dataCentres: dataCentres}
}

// evacuated reports whether the target gets no new flow because of an evacuation, which its agent may know of before this balancer.
func (t *target) evacuated() bool {
	return t.evacuations.has(t.dataCentre) || t.load.Reason == relay.ReasonEvacuated
}

// onlyEvacuated reports whether a service has targets to which a route allows new flows, and the evacuated ones are the only ones of
// these that could accept a new flow now or shortly. A balancer that may still discover agents doesn't conclude this.
func (b *Balancer) onlyEvacuated(now time.Time, route state.Route, service state.ServiceName) bool {
	if !b.settings.Evacuation || b.evacuations.pending || !b.membershipComplete ||
		now.Sub(b.started) <= startupSettleTime || now.Sub(b.targets.lastNewAgentAt) <= discoverySettleTime {
		return false
	}
	anyEvacuated := false
	for _, t := range b.targets.allowed(route, service) {
		if t.serving(now) || t.isStarting(now) {
			return false
		}
		anyEvacuated = anyEvacuated || t.running() && t.evacuated()
	}
	return anyEvacuated
}

// refuseEvacuated refuses a queued flow if all targets that could accept it are evacuated, and reports whether it did.
func (b *Balancer) refuseEvacuated(now time.Time, f *queue.Flow) bool {
	if !f.Routed || !b.onlyEvacuated(now, f.Route, f.Service) {
		return false
	}
	b.queue.Remove(f.Segment.Flow)
	b.refuseQueued(now, f, relay.ReasonEvacuated)
	return true
}

// EvacuatedTargets returns how many running targets get no new flows because of an evacuation.
func (b *Balancer) EvacuatedTargets() int {
	count := 0
	for _, t := range b.targets.byAddress {
		if t.running() && t.evacuated() {
			count++
		}
	}
	return count
}
