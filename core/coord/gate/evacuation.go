package gate

import "time"

// SetEvacuated sets whether the data centre of this agent is evacuated. While it is, the gate refuses new flows although its target
// keeps serving: balancers send none, except one that does not know of the evacuation yet. Balancers are told at once of a change.
func (g *Gate) SetEvacuated(now time.Time, evacuated bool) {
	if g.evacuated == evacuated {
		return
	}
	g.evacuated = evacuated
	g.sendReports(now)
}
