package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A connection that was idle for long before GOAWAY is not closed as soon as GOAWAY is sent: a caller that has not
// received it yet may be sending a request.
func TestIdleTimeCountsFromGoAway(t *testing.T) {
	check := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	goAwaySent := now.Add(-100 * time.Millisecond)
	hourAgo := now.Add(-time.Hour)
	idle := flow{lastActive: hourAgo, goAwaySent: goAwaySent}
	check.Equal(idle.idleSinceGoAway(now), 100*time.Millisecond)
	check.Equal(idle.idleSinceGoAway(now.Add(3*time.Second)), 3100*time.Millisecond)
	recentlyActive := flow{lastActive: now.Add(-10 * time.Millisecond), goAwaySent: goAwaySent}
	check.Equal(recentlyActive.idleSinceGoAway(now), 10*time.Millisecond)
	withRequest := flow{requests: 1, lastActive: hourAgo, goAwaySent: goAwaySent}
	check.Equal(withRequest.idleSinceGoAway(now), time.Duration(0))
	withoutGoAway := flow{lastActive: hourAgo}
	check.Equal(withoutGoAway.idleSinceGoAway(now), time.Duration(0))
}
