package steer

import (
	"math"
	"time"

	"monsoonstep/core/coord/relay"
)

const (
	// maxDampedRatio is the ratio of a target's service time to the mean of its service, or the inverse, up to which the ratio is
	// damped. A target that is slower than that is at fault or overloaded, and is avoided in proportion.
	maxDampedRatio = 3
	// maxRatio is the ratio up to which a target is avoided. The service time of a target changes only with its answers: without a
	// limit, one of 50 that was slow for a time got no flows for 6 s.
	maxRatio = 4
)

// cost is the expected delay that one more request has at a target: the requests there and on the way, times the service time, divided
// by the slots (the join-the-shortest-expected-delay policy).
//
// The requests at the target and the new one are weighted with the damped service time. At equal requests per slot, targets of unequal
// speed are used equally; by the service time itself, those that are 2.4 times as fast as others were used 1.15 times as much as the mean
// at 80% load. Service times are also estimated from few requests: with 3% that take seven times as long, the estimates
// differ by a third by chance. Offers on the way count with the service time, so that a burst is divided by capacity.
func (s *targetSet) cost(now time.Time, t *target) time.Duration {
	slots := float64(max(1, t.load.Slots))
	mean := s.serviceTimes[t.service]
	if mean == 0 {
		mean = defaultServiceTime
	}
	ratio := float64(s.serviceTime(t)) / float64(mean)
	work := (s.reportedOutstanding(now, t)+1)*dampedRatio(ratio) + float64(t.unansweredOffers)*ratio
	cost := time.Duration(work * float64(mean) / slots)
	if t.dataCentre != s.dataCentre {
		cost += crossDataCentrePenalty
	}
	return cost
}

// dampedRatio returns the cube root of a ratio of service times, continued in proportion beyond maxDampedRatio and its inverse. Of the
// exponents 1, 1/2, 1/3, 1/4 and 0, 1/3 and 1/4 gave the most even use, and 1/3 fewer late requests at 95% load.
func dampedRatio(ratio float64) float64 {
	within := min(maxDampedRatio, max(1.0/maxDampedRatio, ratio))
	return math.Cbrt(within) * min(maxRatio, ratio) / within
}

// expectedOutstanding estimates the outstanding requests at a target, with the offers on the way.
func (s *targetSet) expectedOutstanding(now time.Time, t *target) float64 {
	return s.reportedOutstanding(now, t) + float64(t.unansweredOffers)
}

// reportedOutstanding estimates the outstanding requests at a target without the offers on the way. The number that the agent reported
// approaches its mean as the requests of then are answered and others arrive, within about a service time.
func (s *targetSet) reportedOutstanding(now time.Time, t *target) float64 {
	mean := t.load.MeanOutstanding
	age := relay.AgeOf(now, t.loadAt)
	remaining := math.Exp(-float64(age) / float64(s.serviceTime(t)))
	return mean + (float64(t.load.Outstanding)-mean)*remaining
}

// hasFreeSlot reports whether one more request is expected to run at a target without waiting.
func (s *targetSet) hasFreeSlot(now time.Time, t *target) bool {
	return s.expectedOutstanding(now, t)+1 <= float64(t.load.Slots)
}
