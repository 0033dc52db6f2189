package steer

import "time"

// bucket is a token bucket.
type bucket struct {
	tokens float64
	last   time.Time
}

// take takes tokens if there are enough.
func (b *bucket) take(now time.Time, count int) bool {
	b.tokens = min(asksBurst, b.tokens+now.Sub(b.last).Seconds()*asksPerSecond)
	b.last = now
	if b.tokens < float64(count) {
		return false
	}
	b.tokens -= float64(count)
	return true
}
