package agent

import "monsoonstep/io/ctrl"

// Dump is an agent's state for operators.
type Dump struct {
	Role     string `json:"role"`
	Service  string `json:"service"`
	Phase    string `json:"phase"`
	Draining bool   `json:"draining"`
	// Evacuated is true while the agent's data centre is evacuated.
	Evacuated bool `json:"evacuated"`
	// Flows is the number of open connections of callers.
	Flows int `json:"flows"`
	// Requests is the number of callers' requests and of other agents' attempts at the target that are in progress.
	Requests           int64   `json:"requests"`
	Streams            int64   `json:"streams"`
	SlotsUsed          int     `json:"slotsUsed"`
	Queued             int     `json:"queued"`
	ServiceTimeMillis  float64 `json:"serviceMillis"`
	Keys               int     `json:"idempotencyKeys"`
	TargetFailedChecks int     `json:"targetFailedChecks"`

	Control ctrl.Dump `json:"control"`
}

// Dump returns the agent's state.
func (a *Agent) Dump() Dump {
	load := a.target.gate.load()
	return Dump{
		Role:               "agent",
		Service:            string(a.settings.Service),
		Phase:              a.currentPhase().String(),
		Draining:           a.draining(),
		Evacuated:          a.evacuated(),
		Flows:              a.flows.count(),
		Requests:           a.openRequests.Load(),
		Streams:            a.target.streams.Load(),
		SlotsUsed:          load.Running,
		Queued:             load.Queued,
		ServiceTimeMillis:  load.ServiceTime.Seconds() * 1000,
		Keys:               a.atMostOnce.size(),
		TargetFailedChecks: int(a.target.failedChecks.Load()),
		Control:            a.node.Dump(),
	}
}
