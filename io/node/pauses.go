package node

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// retryLeast and retryMost bound the pause after a failed call to the store or another node.
const (
	retryLeast = 150 * time.Millisecond
	retryMost  = 2 * time.Second
)

// newPauses returns the pauses between the tries of a call: they grow, with jitter, so that a fleet does not call in step.
func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = retryLeast
	pauses.MaxInterval = retryMost
	return pauses
}
