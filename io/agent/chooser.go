package agent

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"monsoonstep/core/coord/picks"
	"monsoonstep/core/state"
)

// chooser chooses the target of an attempt. It must be called with the dispatcher's lock held, which protects
// the picker.
type chooser func(p *picks.Picker, now time.Time, candidates []picks.Candidate) (state.InstanceID, bool)

// newChooser returns the dispatch policy that the settings name; the default is Picker.Pick. The policies
// random, roundRobin and byFlow are baselines for benchmarks.
func newChooser(name string, self func() state.InstanceID) chooser {
	switch name {
	case "random":
		return chooseRandom
	case "roundRobin":
		return newRoundRobin()
	case "byFlow":
		return newByFlow(self)
	default:
		return (*picks.Picker).Pick
	}
}

func chooseRandom(_ *picks.Picker, _ time.Time, candidates []picks.Candidate) (state.InstanceID, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))].ID, true
}

func newRoundRobin() chooser {
	var next atomic.Uint32
	return func(_ *picks.Picker, _ time.Time, candidates []picks.Candidate) (state.InstanceID, bool) {
		if len(candidates) == 0 {
			return "", false
		}
		return candidates[int(next.Add(1))%len(candidates)].ID, true
	}
}

// newByFlow returns a policy that sends each request to the target of the agent that holds its connection, as
// a load balancer that distributes connections instead of requests does.
func newByFlow(self func() state.InstanceID) chooser {
	return func(_ *picks.Picker, _ time.Time, candidates []picks.Candidate) (state.InstanceID, bool) {
		for _, c := range candidates {
			if c.ID == self() {
				return c.ID, true
			}
		}
		return "", false
	}
}
