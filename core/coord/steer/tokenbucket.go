package steer

import "time"

// tokenBucket is a token bucket.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

// take takes tokens if there are enough.
func (b *tokenBucket) take(now time.Time, count int) bool {
	b.tokens = min(probeBurst, b.tokens+now.Sub(b.last).Seconds()*probesPerSecond)
	b.last = now
	if b.tokens < float64(count) {
		return false
	}
	b.tokens -= float64(count)
	return true
}
