package node

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// minRetryDelay and maxRetryDelay are the first and the longest delay, before jitter, after failed calls to the store or to other
// nodes.
const (
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// newRetryDelays returns the delays between the attempts of a call. They grow exponentially, with jitter, so that the nodes of a fleet do
// not retry at the same time.
func newRetryDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRetryDelay
	delays.MaxInterval = maxRetryDelay
	return delays
}
