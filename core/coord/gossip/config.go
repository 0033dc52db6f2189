package gossip

import "time"

type config struct {
	probePeriod         time.Duration
	probeTimeout        time.Duration
	minSuspicionTimeout time.Duration
	updatePeriod        time.Duration
	syncPeriod          time.Duration
	maxPause            time.Duration
	downRetention       time.Duration
	maxPacketBytes      int
	bytesPerSecond      float64
}

const (
	indirectProbeCount  = 3
	updateFanout        = 3
	leaveFanout         = 4
	budgetBurstSeconds  = 2
	suspicionLogDivisor = 4
	retransmitFactor    = 1
	deadSyncDivisor     = 4
	// maxAgentReports is how many of the last messages are asked how many agents there are; toldLeast is the least.
	maxAgentReports = 8
	minAgentReports = 3
	// completeNumerator of toldOf of them must not know more than this node.
	completeNumerator   = 3
	completeDenominator = 4
	// absenceMergeGapMillis is in milliseconds; it is longer than an idempotency key is kept.
	absenceMergeGapMillis = 20 * 60 * 1000
)

func defaultConfig() config {
	return config{
		probePeriod:         time.Second,
		probeTimeout:        400 * time.Millisecond,
		minSuspicionTimeout: 3 * time.Second,
		updatePeriod:        200 * time.Millisecond,
		syncPeriod:          5 * time.Second,
		maxPause:            3 * time.Second,
		downRetention:       24 * time.Hour,
		maxPacketBytes:      1200,
		bytesPerSecond:      3500,
	}
}

// Option changes a setting of a new machine.
type Option func(*config)

// WithProbePeriod sets the time between two probes.
func WithProbePeriod(d time.Duration) Option {
	return func(c *config) { c.probePeriod = d }
}

// WithSuspicionTimeout sets the shortest time between suspicion and death. It also bounds how long this
// process may pause before it must assume that it was declared dead.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(c *config) {
		c.minSuspicionTimeout = d
		c.maxPause = d
	}
}

// WithBytesPerSecond sets the budget for sent bytes.
func WithBytesPerSecond(n float64) Option {
	return func(c *config) { c.bytesPerSecond = n }
}

// tokenBucket is a token tokenBucket of bytes.
type tokenBucket struct {
	bytesPerSecond float64
	maxTokens      float64
	tokens         float64
	lastRefill     time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.maxTokens, b.tokens+b.bytesPerSecond*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
}
