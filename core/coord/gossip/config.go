package gossip

import "time"

// config holds the timing and the limits of the protocol.
type config struct {
	probePeriod time.Duration
	// probeTimeout is the time after a ping until indirect probes are sent, and the time after those until the
	// member is suspected.
	probeTimeout time.Duration
	// minSuspicionTimeout is the time between suspicion and death in a small fleet; see suspicionTimeout.
	minSuspicionTimeout time.Duration
	// updatePeriod is the time between two rounds in which updates are sent on their own.
	updatePeriod time.Duration
	// syncPeriod is the mean time between two exchanges of digests that this node starts.
	syncPeriod time.Duration
	// maxPause is the longest gap between two ticks within which others can't have declared this process dead.
	maxPause time.Duration
	// departureWindow is how long an agent that left as planned is told to nodes that did not know it, and counted.
	departureWindow time.Duration
	// downRetention is how long the row of a member that is down is kept.
	downRetention  time.Duration
	maxPacketBytes int
	bytesPerSecond float64
}

const (
	// indirectProbeCount is how many random members, at most, are asked to ping a member that has not acknowledged a ping.
	indirectProbeCount = 3
	// updateFanout is how many random members are sent updates in each update period.
	updateFanout = 3
	// leaveFanout is how many messages announce that this node leaves, each to a random member.
	leaveFanout = 4
	// budgetBurstSeconds is the size of the token bucket, in seconds of its rate.
	budgetBurstSeconds = 2
	// suspicionLogDivisor divides the logarithm of the fleet's size in the suspicion timeout.
	suspicionLogDivisor = 4
	// retransmitFactor multiplies the logarithm of the fleet's size in the limit on how often an update is sent.
	retransmitFactor = 1
	// deadSyncDivisor: on average, one in so many periodic digests is sent to a member that is presumed dead.
	deadSyncDivisor = 4
	// maxAgentReports is how many of the latest agent counts received from others are compared with this node's own
	// count; with fewer than minAgentReports the membership is not taken to be complete.
	maxAgentReports = 8
	minAgentReports = 3
	// The membership is complete if at least completeNumerator/completeDenominator of the counts do not exceed this
	// node's own.
	completeNumerator   = 3
	completeDenominator = 4
	// absenceMergeGapMillis is the longest gap between two absences that are announced as one. An absence after a
	// longer gap replaces the former one, so the gap is longer than an idempotency key is kept.
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

// WithSuspicionTimeout sets the shortest time between suspicion and death. It also sets how long this
// process may pause before it must assume that it was declared dead.
func WithSuspicionTimeout(d time.Duration) Option {
	return func(c *config) {
		c.minSuspicionTimeout = d
		c.maxPause = d
	}
}

// WithBytesPerSecond sets the sustained rate of sent bytes.
func WithBytesPerSecond(n float64) Option {
	return func(c *config) { c.bytesPerSecond = n }
}

// WithDepartureWindow sets how long an agent that left as planned may take to return; until then, nodes that did not know it are told of
// it, and it counts as an agent that may hold flows. It is zero by default: departures are not told.
func WithDepartureWindow(d time.Duration) Option {
	return func(c *config) { c.departureWindow = d }
}

// tokenBucket limits the bytes that are sent; one token is one byte.
type tokenBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
}
