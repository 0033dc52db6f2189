package gossip

import "time"

type config struct {
	probePeriod    time.Duration
	probeTimeout   time.Duration
	suspicion      time.Duration
	spreadPeriod   time.Duration
	syncPeriod     time.Duration
	lapse          time.Duration
	forget         time.Duration
	packetBytes    int
	bytesPerSecond float64
}

const (
	indirectProbes      = 3
	spreadFanout        = 3
	leaveFanout         = 4
	burstSeconds        = 2
	suspicionLogDivisor = 4
	transmitFactor      = 1
	deadSyncShare       = 4
	// toldCount is how many of the last messages are asked how many agents there are; toldLeast is the least.
	toldCount = 8
	toldLeast = 3
	// toldShare of toldOf of them must not know more than this node.
	toldShare = 3
	toldOf    = 4
	// absenceGap is in milliseconds; it is longer than an idempotency key is kept.
	absenceGap = 20 * 60 * 1000
)

func defaultConfig() config {
	return config{
		probePeriod:    time.Second,
		probeTimeout:   400 * time.Millisecond,
		suspicion:      3 * time.Second,
		spreadPeriod:   200 * time.Millisecond,
		syncPeriod:     5 * time.Second,
		lapse:          3 * time.Second,
		forget:         24 * time.Hour,
		packetBytes:    1200,
		bytesPerSecond: 3500,
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
		c.suspicion = d
		c.lapse = d
	}
}

// WithBytesPerSecond sets the budget for sent bytes.
func WithBytesPerSecond(n float64) Option {
	return func(c *config) { c.bytesPerSecond = n }
}

// bucket is a token bucket of bytes.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

func (b *bucket) refill(now time.Time) {
	if !b.last.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
}
