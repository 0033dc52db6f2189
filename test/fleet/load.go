package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one booking of an open-loop load.
type Arrival struct {
	// At is the time of the arrival since the start of the load.
	At time.Duration
	// Work is the service time of the booking on a target of speed 1.
	Work      time.Duration
	Important bool
	// Flow is the index of the connection that sends the booking.
	Flow int
}

// workLogDeviation is the standard deviation of the logarithm of the work. At 1.0 the distribution has a heavy
// tail: the longest tenth of the bookings makes up about a third of all work.
const workLogDeviation = 1.0

// maxWorkOverMean is the upper limit of the work as a multiple of the mean.
const maxWorkOverMean = 12

// Arrivals returns Poisson arrivals for the given duration at the given rate per second. Their work is lognormally
// distributed with the given mean, about half of them are of the important class, and each uses a random one of
// the flows. The same seed gives the same arrivals.
func Arrivals(seed uint64, rate float64, duration, mean time.Duration, flows int) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	scale := float64(mean) / math.Exp(workLogDeviation*workLogDeviation/2)
	var out []Arrival
	for at := 0.0; at < duration.Seconds(); {
		work := scale * math.Exp(workLogDeviation*rng.NormFloat64())
		out = append(out, Arrival{
			At:        time.Duration(at * float64(time.Second)),
			Work:      time.Duration(min(work, maxWorkOverMean*float64(mean))),
			Important: rng.IntN(2) == 0,
			Flow:      rng.IntN(flows),
		})
		at += rng.ExpFloat64() / rate
	}
	return out
}

// ClassLoadReport is the result of an open-loop load for one class.
type ClassLoadReport struct {
	Offered int `json:"offered"`
	// Good is the number of bookings that were answered within the deadline.
	Good int `json:"good"`
	// NotRun is the number of refused bookings, which did not run.
	NotRun int `json:"notRun"`
	// Other is the number of bookings that failed or whose outcome is unknown.
	Other int `json:"other"`
	// Late is the number of bookings that were answered after the deadline.
	Late int `json:"late"`
	// LatencyP50Millis and LatencyP99Millis are percentiles of the latency of good bookings.
	LatencyP50Millis int `json:"waitP50Millis"`
	LatencyP99Millis int `json:"waitP99Millis"`
	// RefusalP99Millis is the 99th percentile of the time until a refusal.
	RefusalP99Millis int `json:"refusalP99Millis"`
}

// LoadReport is the result of an open-loop load.
type LoadReport struct {
	Important ClassLoadReport `json:"important"`
	Normal    ClassLoadReport `json:"normal"`
	// GoodSharePerSecond is, for each second of arrival, the share of the important class's bookings that were good.
	GoodSharePerSecond []float64 `json:"goodEachSecond"`
}
