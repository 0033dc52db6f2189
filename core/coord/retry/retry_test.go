package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonstep/core/coord/retry"
)

// A request that is not idempotent is retried only after an attempt that did not run, and retries stay within
// the budget.
func TestRetriesAreSafeAndWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		b := retry.New(ratio)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess()
				successes++
			}
			o := retry.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			r := retry.Request{
				Idempotent: rapid.Bool().Draw(t, "idempotent"),
				Attempts:   rapid.IntRange(1, 4).Draw(t, "attempts"),
				Remaining:  time.Duration(rapid.IntRange(-5, 500).Draw(t, "ms")) * time.Millisecond,
			}
			step := b.NextStep(o, r)
			if step == retry.Finish {
				continue
			}
			if o == retry.Answered || o == retry.Unknown && !r.Idempotent || r.Remaining <= 0 {
				t.Fatalf("retried after outcome %v: %+v", o, r)
			}
			if o != retry.NotRun || r.Attempts > 1 {
				retries++
			}
		}
		if float64(retries) > ratio*float64(successes)+10 {
			t.Fatalf("%d retries were charged to the budget after %d successes at a ratio of %f", retries, successes, ratio)
		}
	})
}
