package steer

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// isLate reports whether a new flow can no longer be answered within the latency objective, even if a target accepts it
// now: the time since the flow was queued here (since, zero if it was not), plus the time for which the client had
// already tried to connect, plus the service time exceed the objective.
func (b *Balancer) isLate(now time.Time, route state.Route, seg state.Segment, since time.Time) bool {
	if route.LatencyObjective <= 0 {
		return false
	}
	waited := relay.AgeOf(now, since) + seg.ConnectAge
	if waited == 0 {
		return false
	}
	return waited+b.targets.serviceTimes[route.SelectService(seg.Flow)] > route.LatencyObjective
}
