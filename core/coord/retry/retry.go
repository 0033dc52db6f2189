// Package retry decides whether a request is retried after an attempt without a response.
//
// The outcome of an attempt is answered, not run, or unknown. A request that is not idempotent is retried only
// if the attempt certainly did not run. A retry of an idempotent request whose outcome is unknown spends a token
// of a budget that successes refill, so that retries never multiply the load of a failing service.
package retry

import "time"

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that at least the head of a response arrived.
	Answered Outcome = iota
	// NotRun means that the request was refused before it ran, or was never sent.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Step is what to do next.
type Step uint8

// The steps after an attempt.
const (
	// Finish means that the outcome is returned to the caller.
	Finish Step = iota
	// TryElsewhere means that the request is sent to another target.
	TryElsewhere
)

const (
	// maxAttempts is the most attempts that one request gets.
	maxAttempts = 3
	// maxTokens is the most retries that the budget can save up.
	maxTokens = 10
	// minRemaining is the least time to the deadline with which another attempt is worthwhile.
	minRemaining = 20 * time.Millisecond
)

// Budget limits retries to a ratio of the successful requests. It is a token bucket: a retry takes one token,
// and a success adds ratio tokens. It is not safe for concurrent use.
type Budget struct {
	// ratio is the number of retries allowed per success.
	ratio  float64
	tokens float64
}

// New returns a budget that allows ratio retries for each success. It starts with the tokens of maxTokens
// successes.
func New(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: ratio * maxTokens} }

// SetRatio changes the number of retries allowed per success.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordSuccess adds the tokens of one success, up to maxTokens.
func (b *Budget) RecordSuccess() { b.tokens = min(maxTokens, b.tokens+b.ratio) }

// Request describes the request as far as the decision depends on it.
type Request struct {
	Idempotent bool
	// Attempts is the number of attempts made so far; at least 1.
	Attempts int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// NextStep decides what follows an attempt. Every retry takes a token, except the first one after an attempt that
// did not run: it adds no load to any target.
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
