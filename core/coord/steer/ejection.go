package steer

import "time"

// maxEjectedNumerator / maxEjectedDenominator is the largest fraction of a service's targets that is ejected. If more of them
// fail, the fault may be elsewhere, and the others could not carry the load.
const (
	maxEjectedNumerator   = 1
	maxEjectedDenominator = 2
)

// updateEjections determines for each target whether it gets no new flows because it fails requests.
func (s *targetSet) updateEjections(now time.Time) {
	for _, targets := range s.byService {
		serving, failing := 0, 0
		for _, t := range targets {
			if !t.serving(now) {
				continue
			}
			serving++
			if t.load.Failing {
				failing++
			}
		}
		tooMany := failing*maxEjectedDenominator > serving*maxEjectedNumerator
		for _, t := range targets {
			t.ejected = t.load.Failing && !tooMany
		}
	}
}
