// Package picks chooses the target that runs a request: the one with the least expected wait among a few
// that are sampled in proportion to their capacity, with targets that fail ejected for a time and new
// ones ramped up.
//
// What this agent has seen outranks what a target reports: a failure counts however healthy the
// target says it is, and requests still outstanding count however idle it says it is. Sampling
// follows Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
package picks

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonstep/core/state"
)

// Load is what an agent measures of its target.
type Load struct {
	Running int
	Queued  int
	// ServiceTime is the mean time of a request in a slot; zero if unknown.
	ServiceTime time.Duration
}

// Candidate is a target that may be chosen.
type Candidate struct {
	ID    state.InstanceID
	Slots int
	// Age is how long ago the target began to serve, as far as is known.
	Age time.Duration
}

// Result is how an attempt ended, as far as choosing targets goes.
type Result uint8

// The results.
const (
	// Succeeded attempts were answered, and not with a server error.
	Succeeded Result = iota
	// Failed attempts were answered with a server error, or cut, or never answered.
	Failed
	// Refused attempts did not run; they say nothing about the target's soundness.
	Refused
	// Abandoned attempts were given up by their caller; they say nothing about the target.
	Abandoned
)

const (
	sampleSize      = 3
	failureLimit    = 5
	ejectionBase    = 5 * time.Second
	ejectionMax     = time.Minute
	ejectionShare   = 3
	rampTime        = 10 * time.Second
	rampFloor       = 0.1
	loadTrust       = 2 * time.Second
	smoothing       = 0.2
	defaultEstimate = 50 * time.Millisecond
	refusalPenalty  = 250 * time.Millisecond
)

// Picker holds what one agent knows of the targets of its service. It is not safe for use by several
// goroutines.
type Picker struct {
	rng     *rand.Rand
	targets map[state.InstanceID]*target
}

type target struct {
	// outstanding is how many of this agent's attempts are running there; never negative.
	outstanding int
	load        Load
	loadAt      time.Time
	// counted is how many of this agent's attempts the last load report included.
	counted int
	// observed is the smoothed time of successful attempts seen from here.
	observed time.Duration
	// failures counts failed attempts since the last success.
	failures     int
	ejections    int
	ejectedUntil time.Time
	rampFrom     time.Time
	fullUntil    time.Time
}

// New returns a picker whose random choices are fixed by the seed.
func New(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, 0)), targets: make(map[state.InstanceID]*target)}
}

// Pick returns the best of a sample of the candidates, and false if there is none.
func (p *Picker) Pick(now time.Time, candidates []Candidate) (state.InstanceID, bool) {
	sound := p.sound(now, candidates)
	if len(sound) == 0 {
		return "", false
	}
	best := estimate{}
	for n, e := range p.sample(now, sound) {
		if n == 0 || e.better(best) {
			best = e
		}
	}
	return best.id, true
}

// AttemptStarted notes that an attempt went to a target.
func (p *Picker) AttemptStarted(id state.InstanceID) { p.target(id).outstanding++ }

// AttemptFinished notes how an attempt ended and how long it took.
func (p *Picker) AttemptFinished(now time.Time, id state.InstanceID, result Result, took time.Duration) {
	t := p.target(id)
	t.outstanding = max(0, t.outstanding-1)
	t.counted = max(0, t.counted-1)
	switch result {
	case Succeeded:
		t.failures = 0
		t.ejections = 0
		t.observed = smooth(t.observed, took)
	case Failed:
		t.failures++
		if t.failures >= failureLimit {
			t.eject(now)
		}
	case Abandoned:
	case Refused:
		t.fullUntil = now.Add(refusalPenalty)
	}
}

// HandleLoadReport takes in a target's load, which came with an answer.
func (p *Picker) HandleLoadReport(now time.Time, id state.InstanceID, load Load) {
	t := p.target(id)
	t.load = load
	t.loadAt = now
	t.counted = t.outstanding
}

// RetainOnly drops what is known of targets that are not among the candidates.
func (p *Picker) RetainOnly(candidates []Candidate) {
	keep := make(map[state.InstanceID]bool, len(candidates))
	for _, c := range candidates {
		keep[c.ID] = true
	}
	for id, t := range p.targets {
		if !keep[id] && t.outstanding == 0 {
			delete(p.targets, id)
		}
	}
}

// Ejected reports whether a target is ejected now.
func (p *Picker) Ejected(now time.Time, id state.InstanceID) bool {
	t, ok := p.targets[id]
	return ok && now.Before(t.ejectedUntil)
}

func (p *Picker) target(id state.InstanceID) *target {
	t, ok := p.targets[id]
	if !ok {
		t = &target{}
		p.targets[id] = t
	}
	return t
}

// sound returns a copy of the candidates without the ejected ones. At most a third of a service is
// left out, the latest to return first, so that a fault of the observer does not empty the service.
func (p *Picker) sound(now time.Time, candidates []Candidate) []Candidate {
	allowed := len(candidates) / ejectionShare
	if len(candidates) == 2 {
		allowed = 1
	}
	var kept, ejected []Candidate
	for _, c := range candidates {
		if p.Ejected(now, c.ID) {
			ejected = append(ejected, c)
			continue
		}
		kept = append(kept, c)
	}
	for len(ejected) > allowed {
		soonest := 0
		for i := range ejected {
			if p.targets[ejected[i].ID].ejectedUntil.Before(p.targets[ejected[soonest].ID].ejectedUntil) {
				soonest = i
			}
		}
		kept = append(kept, ejected[soonest])
		ejected = append(ejected[:soonest], ejected[soonest+1:]...)
	}
	return kept
}

// estimate is what a request sent to a target now would meet.
type estimate struct {
	id state.InstanceID
	// capacity is how many requests the target ends in a second.
	capacity float64
	// wait is the expected time until a slot is free.
	wait time.Duration
	// used is the share of the slots that would be in use.
	used float64
	// order decides the sample: the lowest ones are in it.
	order float64
}

func (e estimate) better(other estimate) bool {
	if e.wait != other.wait {
		return e.wait < other.wait
	}
	return e.used < other.used
}

// sample returns the estimates of a few candidates, drawn without replacement in proportion to their
// capacity: a target that is twice as fast is drawn twice as often, so that all are used alike. Source:
// Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006.
func (p *Picker) sample(now time.Time, candidates []Candidate) []estimate {
	all := make([]estimate, 0, len(candidates))
	for _, c := range candidates {
		e := p.estimate(now, c)
		e.order = p.rng.ExpFloat64() / e.capacity
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b estimate) int { return cmp.Compare(a.order, b.order) })
	return all[:min(sampleSize, len(all))]
}

func (p *Picker) estimate(now time.Time, c Candidate) estimate {
	t := p.target(c.ID)
	work := t.outstanding
	if now.Sub(t.loadAt) < loadTrust {
		work = max(work, t.load.Running+t.load.Queued+max(0, t.outstanding-t.counted))
	}
	each := t.load.ServiceTime
	if each == 0 {
		each = t.observed
	}
	if each == 0 {
		each = defaultEstimate
	}
	slots := float64(max(1, c.Slots)) * t.ramp(now, c.Age)
	e := estimate{
		id:       c.ID,
		capacity: slots / each.Seconds(),
		wait:     time.Duration(max(0, float64(work+1)-slots) * float64(each) / slots),
		used:     float64(work+1) / slots,
	}
	if now.Before(t.fullUntil) {
		e.wait += refusalPenalty
	}
	return e
}

// ramp is the share of its slots that a new or returning target is given, from rampFloor to 1.
func (t *target) ramp(now time.Time, age time.Duration) float64 {
	if !t.rampFrom.IsZero() {
		age = min(age, now.Sub(t.rampFrom))
	}
	return min(1, max(rampFloor, float64(age)/float64(rampTime)))
}

func (t *target) eject(now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	pause := min(ejectionMax, ejectionBase<<min(t.ejections, 4))
	t.ejections++
	// On its return one more failure is enough.
	t.failures = failureLimit - 1
	t.ejectedUntil = now.Add(pause)
	t.rampFrom = t.ejectedUntil
}

func smooth(old, fresh time.Duration) time.Duration {
	if old == 0 {
		return fresh
	}
	return old + time.Duration(smoothing*float64(fresh-old))
}
