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
	return waited+b.serviceTimes[route.SelectService(seg.Flow)] > route.LatencyObjective
}

// updateServiceTimes recomputes the mean service time of each service's targets that accept new flows.
func (b *Balancer) updateServiceTimes() {
	clear(b.serviceTimes)
	for service, targets := range b.targetsByService {
		var sum time.Duration
		known := 0
		for _, t := range targets {
			if t.load.ServiceTime > 0 && t.load.Accepting {
				sum += b.serviceTime(t)
				known++
			}
		}
		if known > 0 {
			b.serviceTimes[service] = sum / time.Duration(known)
		}
	}
}

// serviceTime is the expected service time of a request at a target, which is longer during the target's warm-up. One whose
// own is not known is expected to take as long as the others of its service.
func (b *Balancer) serviceTime(t *target) time.Duration {
	d := t.load.ServiceTime
	if d == 0 {
		d = b.serviceTimes[t.service]
	}
	if d == 0 {
		d = defaultServiceTime
	}
	if t.load.WarmupLeft > 0 {
		d = time.Duration(warmupSlowdownFactor * float64(d))
	}
	return d
}
