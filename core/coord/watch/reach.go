package watch

import "time"

// unreachableTTL is how long a balancer that does not call the store any more remembers that its last call failed.
const unreachableTTL = 10 * time.Second

// Outcome is how a call to the store ended.
type Outcome uint8

const (
	// Answered means that the store answered the call.
	Answered Outcome = iota
	// WatchCut means that a watch ended without an answer, before its timeout. The store may cut a waiting watch at any time and serve the next
	// call, so this is no evidence of a fault.
	WatchCut
	// Failed means that the store refused the call, or a read or the whole timeout of a watch passed without an answer.
	Failed
)

// Reach records whether a balancer's own calls to the store succeed, which the balancer announces to the others. The zero value is that
// of a balancer that has made no call.
type Reach struct {
	// failedAt is when the first call of the present series of failed calls ended; zero if there is no such series.
	failedAt time.Time
}

// Record records the outcome of a call, and reports whether Unreachable has changed.
func (r *Reach) Record(now time.Time, o Outcome) (changed bool) {
	before := r.Unreachable()
	switch {
	case o == Answered:
		r.failedAt = time.Time{}
	case o == Failed && !before:
		r.failedAt = now
	}
	return r.Unreachable() != before
}

// Unreachable reports whether the last call that showed anything failed. Others then watch the store instead.
func (r *Reach) Unreachable() bool { return !r.failedAt.IsZero() }

// MustRetry reports whether a balancer that is no watcher has to call the store once more. A candidate repeats a failed call until one
// succeeds, so that it is available again as soon as the store is: a single watcher may be cut off from the store at any time. Other
// balancers leave that to the candidates, so that an outage does not make the whole fleet call the store.
func (r *Reach) MustRetry(isCandidate bool) bool { return isCandidate && r.Unreachable() }

// Expire forgets a failure that is older than unreachableTTL, and reports whether it did. A balancer that makes no calls must call it,
// since nothing else shows that the store can be reached again.
func (r *Reach) Expire(now time.Time) (expired bool) {
	expired = r.Unreachable() && now.Sub(r.failedAt) >= unreachableTTL
	if expired {
		r.failedAt = time.Time{}
	}
	return expired
}
