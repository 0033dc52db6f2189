package steer

import (
	"time"

	"monsoonstep/core/coord/relay"
)

// maxEjectedNumerator / maxEjectedDenominator is the largest fraction of a service's targets that is ejected. If more of them
// fail, the fault may be elsewhere, and the others could not carry the load.
const (
	maxEjectedNumerator   = 1
	maxEjectedDenominator = 2
)

const (
	// implausibleSpeed is how many times as fast as the mean of its service a target must answer to count as failing: it then probably
	// answers with errors. Targets that were bought over years differ in speed by less.
	implausibleSpeed = 8
	// minJudgedSamples is the least number of samples of a service time by which a target is judged.
	minJudgedSamples = 10
)

// implausiblyFast reports whether a target answers so fast that it probably answers with errors. These are in the bytes of a flow, which
// nobody reads here; a target that errs at once would attract most flows of its service.
func (s *targetSet) implausiblyFast(t *target) bool {
	return t.load.ServiceTime > 0 && t.load.ServiceSamples >= minJudgedSamples &&
		t.load.ServiceTime*implausibleSpeed < s.serviceTimes[t.service]
}

// failing reports whether a target fails requests: by its agent, which sees resets and requests without an answer, or by its speed.
func (s *targetSet) failing(t *target) bool { return t.load.Failing || s.implausiblyFast(t) }

// updateEjections determines for each target whether it gets no new flows because it fails requests, and logs those that are ejected for
// their speed; the agents log the others.
func (b *Balancer) updateEjections(now time.Time) {
	for _, t := range b.targets.updateEjections(now) {
		b.actions.OnDecision(relay.Decision{
			Event: relay.EventTargetFailing, Peer: t.address, Age: t.load.ServiceTime, Count: t.load.ServiceSamples,
		})
	}
}

// updateEjections determines for each target whether it is ejected, and returns those that are newly ejected for their speed.
func (s *targetSet) updateEjections(now time.Time) []*target {
	var tooFast []*target
	for _, targets := range s.byService {
		serving, failing := 0, 0
		for _, t := range targets {
			if !t.serving(now) {
				continue
			}
			serving++
			if s.failing(t) {
				failing++
			}
		}
		tooMany := failing*maxEjectedDenominator > serving*maxEjectedNumerator
		for _, t := range targets {
			wasEjected := t.ejected
			t.ejected = s.failing(t) && !tooMany
			if t.ejected && !wasEjected && !t.load.Failing {
				tooFast = append(tooFast, t)
			}
		}
	}
	return tooFast
}
