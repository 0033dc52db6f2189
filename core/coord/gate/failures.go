package gate

import "time"

const (
	// failureRateWeight is the weight of one request in the moving average of failures.
	failureRateWeight = 0.2
	// ejectionFailureRate is the average at which a target is ejected: three failures in a row reach it.
	ejectionFailureRate = 0.45
	// minEjectionTime is the length of the first ejection. Each that follows a failed probation is twice as long, up to
	// maxEjectionTime.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = 16 * time.Second
	// probationAnswers is how many requests a target has to answer after an ejection before it counts as healthy.
	probationAnswers = 3
	// unansweredTimeout is how long a target must have had a request for its client's giving up to count as a failure.
	unansweredTimeout = time.Second
)

// failureDetector judges a target by the outcomes of its requests, since its health check may be wrong: it is ejected, that
// is, gets no new flows, while it fails requests (passive outlier detection). After an ejection it is on probation and gets
// one request at a time.
//
// A failure is a reset instead of an answer, or no answer at all. An answer that reports an error is an answer: the bytes of
// a flow are not read.
type failureDetector struct {
	// rate is the moving average of outcomes: 1 for a failure, 0 for an answer.
	rate float64
	// ejectedUntil is the end of the latest ejection; zero if there was none since the target was last healthy.
	ejectedUntil time.Time
	// ejectionTime is the length of the latest ejection.
	ejectionTime time.Duration
	// answered is how many requests were answered since the latest ejection.
	answered int
}

// ejected reports whether the target gets no new flows.
func (d *failureDetector) ejected(now time.Time) bool { return now.Before(d.ejectedUntil) }

// onProbation reports whether the target has to show that it answers again.
func (d *failureDetector) onProbation(now time.Time) bool {
	return !d.ejectedUntil.IsZero() && !d.ejected(now)
}

// recordAnswer records that the target answered a request.
func (d *failureDetector) recordAnswer(now time.Time) {
	d.rate -= failureRateWeight * d.rate
	if !d.onProbation(now) {
		return
	}
	d.answered++
	if d.answered >= probationAnswers {
		*d = failureDetector{}
	}
}

// recordFailure records that the target failed a request, and reports whether it is ejected for that.
func (d *failureDetector) recordFailure(now time.Time) bool {
	d.rate += failureRateWeight * (1 - d.rate)
	if d.ejected(now) || d.rate < ejectionFailureRate && !d.onProbation(now) {
		return false
	}
	d.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*d.ejectionTime))
	d.ejectedUntil = now.Add(d.ejectionTime)
	d.answered = 0
	return true
}
