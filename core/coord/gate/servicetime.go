package gate

import "time"

const (
	// serviceTimeSmoothing is the least weight of one sample in the mean service time.
	serviceTimeSmoothing = 0.1
	// serviceTimeExpiry is how long the mean counts as known after its last sample. A target that seems slow gets no
	// requests, so its mean would otherwise never change.
	serviceTimeExpiry = 5 * time.Second
)

// serviceTimer estimates a target's service time from the times of its answers. A request that got a free slot is one sample:
// the time to its answer. While all slots are in use the time between two answers, multiplied by the slots, is one.
type serviceTimer struct {
	mean    time.Duration
	samples int
	// sampledAt is when the latest sample was taken.
	sampledAt time.Time
	// answeredAt is when the target last answered a request; busySince is true if all slots have been in use since then.
	answeredAt time.Time
	busySince  bool
}

// recordAnswer records the answer to a request that arrived took ago. hadFreeSlot tells whether the request ran without waiting,
// busy whether all slots are in use after it.
func (s *serviceTimer) recordAnswer(now time.Time, took time.Duration, hadFreeSlot, busy bool, slots int) {
	switch {
	case hadFreeSlot:
		s.sample(now, took)
	case s.busySince:
		s.sample(now, now.Sub(s.answeredAt)*time.Duration(slots))
	}
	s.answeredAt = now
	s.busySince = busy
}

// sample adds a sample. The first ones have the same weight, so that no single one decides for long.
func (s *serviceTimer) sample(now time.Time, d time.Duration) {
	s.samples++
	s.sampledAt = now
	weight := max(serviceTimeSmoothing, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(d-s.mean))
}

// estimate returns the mean service time, or zero if it is not known.
func (s *serviceTimer) estimate(now time.Time) time.Duration {
	if s.samples == 0 || now.Sub(s.sampledAt) > serviceTimeExpiry {
		return 0
	}
	return max(s.mean, 1)
}
