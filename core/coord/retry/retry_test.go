package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonstep/core/coord/retry"
)

// A request that isn't idempotent is repeated only after an attempt that did not run, and repeats stay
// within the budget.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := retry.New(share)
		successes, paid := 0, 0
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
				t.Fatalf("repeats after %v of %+v", o, r)
			}
			if o != retry.NotRun || r.Attempts > 1 {
				paid++
			}
		}
		if float64(paid) > share*float64(successes)+10 {
			t.Fatalf("%d repeats were paid from %d successes at a share of %f", paid, successes, share)
		}
	})
}
