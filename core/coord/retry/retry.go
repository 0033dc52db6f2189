// Package retry decides what follows an attempt that did not bring an answer.
//
// The outcome of an attempt is answered, not run, or unknown. Only an attempt that certainly did not
// run may be repeated when the request is not idempotent. Repeats of idempotent requests whose
// outcome is unknown are paid from a budget that successes fill, so that retries never multiply the
// load of a service in trouble.
package retry

import "time"

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Answered attempts brought the head of an answer.
	Answered Outcome = iota
	// NotRun attempts were refused before they ran, or never left.
	NotRun
	// Unknown attempts may have run.
	Unknown
)

// Step is what to do next.
type Step uint8

// The steps.
const (
	// Finish passes the outcome to the caller.
	Finish Step = iota
	// TryElsewhere makes another attempt at another target.
	TryElsewhere
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	budgetCap   = 10
	// minRemaining is the least time worth another attempt.
	minRemaining = 20 * time.Millisecond
)

// Budget is a count of retries that may be made, filled by a share of successes. It is not safe for
// use by several goroutines.
type Budget struct {
	share  float64
	tokens float64
}

// New returns a budget that allows share retries for each success, and a few at the start.
func New(share float64) *Budget { return &Budget{share: share, tokens: share * budgetCap} }

// SetRatio changes the share.
func (b *Budget) SetRatio(share float64) { b.share = share }

// RecordSuccess fills the budget.
func (b *Budget) RecordSuccess() { b.tokens = min(budgetCap, b.tokens+b.share) }

// Request is what the decision depends on.
type Request struct {
	Idempotent bool
	// Attempts is how many were made; at least 1.
	Attempts int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// NextStep decides what follows an attempt. Every repeat is paid from the budget, but for the first
// repeat of an attempt that did not run: it adds no load to any target.
func (b *Budget) NextStep(o Outcome, r Request) Step {
	if o == Answered || r.Attempts >= maxAttempts || r.Remaining < minRemaining {
		return Finish
	}
	if o == Unknown && !r.Idempotent {
		return Finish
	}
	if o == NotRun && r.Attempts == 1 {
		return TryElsewhere
	}
	if b.tokens < 1 {
		return Finish
	}
	b.tokens--
	return TryElsewhere
}
