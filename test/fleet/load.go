package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one booking of an open-loop load.
type Arrival struct {
	At time.Duration
	// Work is its time in a slot of a target with speed 1.
	Work      time.Duration
	Important bool
	Flow      int
}

// spread is the standard deviation of the logarithm of the work: a heavy tail, with a longest tenth that
// takes about a third of all the work.
const spread = 1.0

// maxWork bounds the tail, in multiples of the mean.
const maxWork = 12

// Arrivals returns Poisson arrivals at a rate a second with lognormal work of a mean, half of them of the
// important class, over a number of flows. The seed fixes them.
func Arrivals(seed uint64, rate float64, duration, mean time.Duration, flows int) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	scale := float64(mean) / math.Exp(spread*spread/2)
	var out []Arrival
	for at := 0.0; at < duration.Seconds(); {
		work := scale * math.Exp(spread*rng.NormFloat64())
		out = append(out, Arrival{
			At:        time.Duration(at * float64(time.Second)),
			Work:      time.Duration(min(work, maxWork*float64(mean))),
			Important: rng.IntN(2) == 0,
			Flow:      rng.IntN(flows),
		})
		at += rng.ExpFloat64() / rate
	}
	return out
}

// ClassLoadReport is what an open-loop load saw of one class.
type ClassLoadReport struct {
	Offered int `json:"offered"`
	// Good is how many were answered within the deadline.
	Good             int `json:"good"`
	NotRun           int `json:"notRun"`
	Other            int `json:"other"`
	Late             int `json:"late"`
	LatencyP50Millis int `json:"waitP50Millis"`
	LatencyP99Millis int `json:"waitP99Millis"`
	// RefusalP99Millis is the time until a refusal came.
	RefusalP99Millis int `json:"refusalP99Millis"`
}

// LoadReport is what an open-loop load saw.
type LoadReport struct {
	Important ClassLoadReport `json:"important"`
	Normal    ClassLoadReport `json:"normal"`
	// GoodSharePerSecond is the share of the important class's bookings of each second that were good.
	GoodSharePerSecond []float64 `json:"goodEachSecond"`
}
