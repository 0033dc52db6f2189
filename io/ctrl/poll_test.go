package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against nodes that still wait when the platform has been back for 11 s, within which an edit has to be in force: after an
// outage of 40 s all nodes of a small fleet could be in back-offs of up to 20 s.
func TestPlatformIsReadSoonAfterALongOutage(t *testing.T) {
	check := is.New(t)
	retry := newPollBackoff(500 * time.Millisecond)
	for range 200 {
		check.True(retry.NextBackOff() <= 8*time.Second)
	}
}
