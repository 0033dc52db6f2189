package agent

import "monsoonstep/io/ctrl"

// Dump is what an agent tells of its state on request.
type Dump struct {
	Role     string `json:"role"`
	Service  string `json:"service"`
	Phase    string `json:"phase"`
	Draining bool   `json:"draining"`
	// Flows is the number of callers' connections that are open.
	Flows int `json:"flows"`
	// Requests is the number of requests that are open here, of callers and of other agents.
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
		Flows:              a.flows.count(),
		Requests:           a.attempts.Load(),
		Streams:            a.target.streams.Load(),
		SlotsUsed:          load.Running,
		Queued:             load.Queued,
		ServiceTimeMillis:  load.ServiceTime.Seconds() * 1000,
		Keys:               a.keyed.size(),
		TargetFailedChecks: int(a.target.failed.Load()),
		Control:            a.node.Dump(),
	}
}
