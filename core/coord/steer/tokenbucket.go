package steer

import "time"

// tokenBucket limits the rate of probes to probesPerSecond, with bursts of up to probeBurst.
type tokenBucket struct {
	tokens float64
	// last is when tokens were last added.
	last time.Time
}

// take removes count tokens, and reports whether there were enough; if not, it removes none.
func (b *tokenBucket) take(now time.Time, count int) bool {
	b.tokens = min(probeBurst, b.tokens+now.Sub(b.last).Seconds()*probesPerSecond)
	b.last = now
	if b.tokens < float64(count) {
		return false
	}
	b.tokens -= float64(count)
	return true
}
