package steer

import (
	"time"
)

// updateServiceTimes recomputes the mean service time of each service's targets that accept new flows.
func (s *targetSet) updateServiceTimes() {
	clear(s.serviceTimes)
	for service, targets := range s.byService {
		var sum time.Duration
		known := 0
		for _, t := range targets {
			if t.load.ServiceTime > 0 && t.load.Accepting {
				sum += s.serviceTime(t)
				known++
			}
		}
		if known > 0 {
			s.serviceTimes[service] = sum / time.Duration(known)
		}
	}
}

// serviceTime is the expected service time of a request at a target, which is longer during the target's warm-up. One whose
// own is not known is expected to take as long as the others of its service.
func (s *targetSet) serviceTime(t *target) time.Duration {
	d := t.load.ServiceTime
	if d == 0 {
		d = s.serviceTimes[t.service]
	}
	if d == 0 {
		d = defaultServiceTime
	}
	if t.load.WarmupLeft > 0 {
		d = time.Duration(warmupSlowdownFactor * float64(d))
	}
	return d
}
