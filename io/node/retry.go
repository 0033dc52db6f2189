package node

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// minRetryDelay and maxRetryDelay bound the pause after a failed call to the store or another node.
const (
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// newRetryDelays returns the pauses between the tries of a call: they grow, with jitter, so that a fleet does not call in step.
func newRetryDelays() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = minRetryDelay
	pauses.MaxInterval = maxRetryDelay
	return pauses
}
