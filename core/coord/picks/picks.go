// Package picks chooses the target that runs a request: the one with the shortest expected wait in a small
// sample, drawn in proportion to capacity. Targets that keep failing are ejected for a limited time, and new
// or returning targets are ramped up from a fraction of their slots.
//
// This agent's own observations take precedence over load reports: failures are counted even if a target
// reports that it is healthy, and outstanding requests are counted even if it reports that it is idle.
// Choosing the best of a few random targets follows Mitzenmacher, "The power of two choices in randomized
// load balancing", 2001.
package picks

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonstep/core/state"
)

// Load is a load report: what an agent measures of its own target.
type Load struct {
	// Running is the number of requests that occupy a slot.
	Running int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// ServiceTime is the smoothed time that a request occupies a slot; zero if unknown.
	ServiceTime time.Duration
}

// Candidate is a target that may be chosen.
type Candidate struct {
	ID    state.InstanceID
	Slots int
	// Age is the time since the target started serving, as far as it is known.
	Age time.Duration
}

// Result classifies how an attempt ended by what it says about the target.
type Result uint8

// The results of an attempt.
const (
	// Succeeded means that the target sent a response other than a server error.
	Succeeded Result = iota
	// Failed means that the target sent a server error, an incomplete response or no response.
	Failed
	// Refused means that the request did not run; this says nothing about the target's health.
	Refused
	// Abandoned means that the caller cancelled the request; this says nothing about the target.
	Abandoned
)

const (
	// sampleSize is the number of targets that are compared for each request.
	sampleSize = 3
	// maxConsecutiveFailures is the number of failed attempts in a row that ejects a target.
	maxConsecutiveFailures = 5
	// minEjectionTime is the length of the first ejection; each further one without a success in between
	// is twice as long, up to maxEjectionTime.
	minEjectionTime = 5 * time.Second
	maxEjectionTime = time.Minute
	// maxEjectedDivisor limits the ejected targets of a service to one in maxEjectedDivisor.
	maxEjectedDivisor = 3
	// rampDuration is the time in which a new or returning target reaches its full number of slots.
	rampDuration = 10 * time.Second
	// minRampFactor is the fraction of its slots that such a target starts with.
	minRampFactor = 0.1
	// loadReportTTL is the age at which a load report no longer counts.
	loadReportTTL = 2 * time.Second
	// serviceTimeSmoothing is the weight of a new sample in the moving average of service times.
	serviceTimeSmoothing = 0.2
	// defaultServiceTime is assumed for a target whose service time is not known yet.
	defaultServiceTime = 50 * time.Millisecond
	// refusalPenalty is added to the expected wait of a target that has refused a request, for the same length
	// of time after the refusal.
	refusalPenalty = 250 * time.Millisecond
)

// Picker holds what one agent knows about the targets of its service. It is not safe for concurrent use.
type Picker struct {
	rng     *rand.Rand
	targets map[state.InstanceID]*target
}

// target is the state of one target as seen by this agent.
type target struct {
	// outstanding is the number of this agent's attempts in progress at the target; never negative.
	outstanding int
	// load is the last load report.
	load           Load
	loadReceivedAt time.Time
	// reportedOutstanding is how many of the outstanding attempts the last load report already includes.
	reportedOutstanding int
	// observedTime is the smoothed duration of this agent's successful attempts; zero before the first.
	observedTime time.Duration
	// consecutiveFailures counts failed attempts since the last success. An ejection sets it to one below
	// the limit.
	consecutiveFailures int
	// ejections counts ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// rampStart is the end of the last ejection; zero if there was none.
	rampStart time.Time
	// penaltyUntil is when refusalPenalty ends; zero if the target has not refused a request.
	penaltyUntil time.Time
}

// New returns a picker; the seed determines its random choices.
func New(seed uint64) *Picker {
	return &Picker{rng: rand.New(rand.NewPCG(seed, 0)), targets: make(map[state.InstanceID]*target)}
}

// Pick returns the best target of a sample of the candidates, or false if there are no candidates.
func (p *Picker) Pick(now time.Time, candidates []Candidate) (state.InstanceID, bool) {
	available := p.available(now, candidates)
	if len(available) == 0 {
		return "", false
	}
	best := estimate{}
	for n, e := range p.sample(now, available) {
		if n == 0 || e.betterThan(best) {
			best = e
		}
	}
	return best.id, true
}

// AttemptStarted records that an attempt was sent to a target.
func (p *Picker) AttemptStarted(id state.InstanceID) { p.target(id).outstanding++ }

// AttemptFinished records how an attempt ended and how long it took.
func (p *Picker) AttemptFinished(now time.Time, id state.InstanceID, result Result, duration time.Duration) {
	t := p.target(id)
	t.outstanding = max(0, t.outstanding-1)
	t.reportedOutstanding = max(0, t.reportedOutstanding-1)
	switch result {
	case Succeeded:
		t.consecutiveFailures = 0
		t.ejections = 0
		t.observedTime = smoothed(t.observedTime, duration)
	case Failed:
		t.consecutiveFailures++
		if t.consecutiveFailures >= maxConsecutiveFailures {
			t.eject(now)
		}
	case Abandoned:
	case Refused:
		t.penaltyUntil = now.Add(refusalPenalty)
	}
}

// HandleLoadReport stores a target's load report, which arrived with a response.
func (p *Picker) HandleLoadReport(now time.Time, id state.InstanceID, load Load) {
	t := p.target(id)
	t.load = load
	t.loadReceivedAt = now
	t.reportedOutstanding = t.outstanding
}

// RetainOnly drops the state of targets that are not among the candidates and have no outstanding attempt.
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

// Ejected reports whether a target is ejected at the given time.
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

// available returns the candidates that are not ejected. At most a third of the candidates (one of two) is left
// out, so that a fault at this agent does not leave the service without targets; if more are ejected, those
// whose ejection ends first are used. The argument is not changed.
func (p *Picker) available(now time.Time, candidates []Candidate) []Candidate {
	maxEjected := len(candidates) / maxEjectedDivisor
	if len(candidates) == 2 {
		maxEjected = 1
	}
	var kept, ejected []Candidate
	for _, c := range candidates {
		if p.Ejected(now, c.ID) {
			ejected = append(ejected, c)
			continue
		}
		kept = append(kept, c)
	}
	for len(ejected) > maxEjected {
		earliest := 0
		for i := range ejected {
			if p.targets[ejected[i].ID].ejectedUntil.Before(p.targets[ejected[earliest].ID].ejectedUntil) {
				earliest = i
			}
		}
		kept = append(kept, ejected[earliest])
		ejected = append(ejected[:earliest], ejected[earliest+1:]...)
	}
	return kept
}

// estimate is what a request would find at a target if it were sent now.
type estimate struct {
	id state.InstanceID
	// capacity is how many requests the target completes per second.
	capacity float64
	// wait is the expected time until a slot is free.
	wait time.Duration
	// utilisation is outstanding requests per slot, this one included; above 1 if some would wait.
	utilisation float64
	// sampleKey is a random key; the candidates with the lowest keys form the sample.
	sampleKey float64
}

// betterThan prefers the shorter wait, and the lower utilisation if the waits are equal.
func (e estimate) betterThan(other estimate) bool {
	if e.wait != other.wait {
		return e.wait < other.wait
	}
	return e.utilisation < other.utilisation
}

// sample returns the estimates of up to sampleSize candidates, drawn without replacement in proportion to
// capacity: a target with twice the capacity is drawn twice as often, so that all are equally utilised. The
// method is that of Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006.
func (p *Picker) sample(now time.Time, candidates []Candidate) []estimate {
	all := make([]estimate, 0, len(candidates))
	for _, c := range candidates {
		e := p.estimate(now, c)
		e.sampleKey = p.rng.ExpFloat64() / e.capacity
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b estimate) int { return cmp.Compare(a.sampleKey, b.sampleKey) })
	return all[:min(sampleSize, len(all))]
}

// estimate computes the expected wait and capacity of a candidate. A recent load report can raise the number of
// outstanding requests above this agent's own attempts, but not lower it. The service time is the last reported
// one, or the one that this agent observed if none was reported.
func (p *Picker) estimate(now time.Time, c Candidate) estimate {
	t := p.target(c.ID)
	pending := t.outstanding
	if now.Sub(t.loadReceivedAt) < loadReportTTL {
		pending = max(pending, t.load.Running+t.load.Queued+max(0, t.outstanding-t.reportedOutstanding))
	}
	serviceTime := t.load.ServiceTime
	if serviceTime == 0 {
		serviceTime = t.observedTime
	}
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	slots := float64(max(1, c.Slots)) * t.rampFactor(now, c.Age)
	e := estimate{
		id:          c.ID,
		capacity:    slots / serviceTime.Seconds(),
		wait:        time.Duration(max(0, float64(pending+1)-slots) * float64(serviceTime) / slots),
		utilisation: float64(pending+1) / slots,
	}
	if now.Before(t.penaltyUntil) {
		e.wait += refusalPenalty
	}
	return e
}

// rampFactor returns the fraction of its slots that a new or returning target may use, which rises from
// minRampFactor to 1 over rampDuration.
func (t *target) rampFactor(now time.Time, age time.Duration) float64 {
	if !t.rampStart.IsZero() {
		age = min(age, now.Sub(t.rampStart))
	}
	return min(1, max(minRampFactor, float64(age)/float64(rampDuration)))
}

// eject takes the target out of use for a time that doubles with each ejection since the last success. A target that
// is ejected already is left as it is.
func (t *target) eject(now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	duration := min(maxEjectionTime, minEjectionTime<<min(t.ejections, 4))
	t.ejections++
	// After its return, one more failure ejects it again.
	t.consecutiveFailures = maxConsecutiveFailures - 1
	t.ejectedUntil = now.Add(duration)
	t.rampStart = t.ejectedUntil
}

// smoothed returns the exponential moving average of old after a new sample; an old value of zero means that
// there was none.
func smoothed(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(serviceTimeSmoothing*float64(sample-old))
}
