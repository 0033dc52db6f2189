package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/errs"
	"monsoonstep/io/admin"
)

// dumpTimeout is how long the event loop may take to return its state. If it takes longer, the dump says so, so that a process that hangs
// is recognised.
const dumpTimeout = 2 * time.Second

// Dump is the part of the status for operators that balancers and agents share. Durations are in milliseconds.
type Dump struct {
	// Process is the ID of this instance.
	Process string `json:"process"`
	// Stopped is true once the process has been asked to stop.
	Stopped bool               `json:"stopped"`
	Members []admin.MemberDump `json:"members"`
	// Evacuation is missing if evacuation is off.
	Evacuation *EvacuationDump `json:"evacuation,omitempty"`
	// Error says why the other fields are missing.
	Error string `json:"error,omitempty"`
}

// BalancerDump is the status of a balancer.
type BalancerDump struct {
	Dump
	// ActiveVersion is the version of the active configuration.
	ActiveVersion uint64 `json:"configVersion"`
	// Flows is the number of flows whose placement is known.
	Flows int `json:"flows"`
	// Searches is the number of flows whose holder is being searched for.
	Searches int `json:"searches"`
	// Queued is the number of new flows in the queue; the tag has the former name.
	Queued  int          `json:"waiting"`
	Targets []TargetDump `json:"targets"`
	// Queues is what is queued for each service that has queued flows.
	Queues map[string]QueueDump `json:"queues,omitempty"`
}

// QueueDump is what a balancer has queued for a service; queue.Counts describes the fields.
type QueueDump struct {
	InTime   int `json:"inTime"`
	Late     int `json:"late"`
	Priority int `json:"priority"`
}

// TargetDump is a balancer's status of one target.
type TargetDump struct {
	Address string `json:"address"`
	Agent   string `json:"agent"`
	Service string `json:"service"`
	Health  string `json:"health"`
	// Accepting is true while the balancer may place new flows at the target.
	Accepting bool `json:"takesFlows"`
	// LoadAge is the time since Load was received.
	LoadAge int64 `json:"heardMillisAgo"`
	// UnansweredOffers is the number of new flows offered to the target since Load was received that it has not answered.
	UnansweredOffers int      `json:"unansweredOffers"`
	Load             LoadDump `json:"load"`
}

// LoadDump is a load report; relay.Load describes the fields.
type LoadDump struct {
	Accepting       bool    `json:"takesFlows"`
	Reason          string  `json:"reason,omitempty"`
	Outstanding     int     `json:"busy"`
	MeanOutstanding float64 `json:"meanBusy"`
	Headroom        int     `json:"room"`
	Flows           int     `json:"flows"`
	Slots           int     `json:"slots"`
	ServiceTime     int64   `json:"serviceMillis"`
	WarmupLeft      int64   `json:"warmupMillis"`
	ReportInterval  int64   `json:"periodMillis"`
}

// AgentDump is the status of an agent.
type AgentDump struct {
	Dump
	// Target is the ID that the target reported.
	Target string `json:"target"`
	Phase  string `json:"phase"`
	// Refusal is why the agent refuses new flows; empty if it accepts them.
	Refusal string `json:"refusal,omitempty"`
	// KnowsAllFlows is true if the agent knows every flow that the target holds.
	KnowsAllFlows bool `json:"knowsAllFlows"`
	// HeartbeatAge is the time since the last heartbeat was received.
	HeartbeatAge int64 `json:"heardMillisAgo"`
	OpenFlows    int   `json:"flows"`
	// Outstanding is the number of flows with an outstanding request.
	Outstanding int `json:"busy"`
	// ServiceTime is the moving average of the time of an answer that did not wait for a slot.
	ServiceTime int64 `json:"serviceMillis"`
}

// inspect returns the common part of the status, and calls f in the event loop to read the rest. If the event loop does not run it within
// dumpTimeout, the dump holds only the error, and the values that f writes must not be used, since f may still run.
func (n *node) inspect(f func(now time.Time)) (Dump, error) {
	ctx, cancel := context.WithTimeout(n.group.Context(), dumpTimeout)
	defer cancel()
	var d Dump
	err := n.runInLoop(ctx, func(now time.Time) {
		d = Dump{
			Process: string(n.fleet.machine.Self().ID),
			Stopped: n.stopped.Load(),
			Members: admin.DumpMembers(n.fleet.machine.Members()),

			Evacuation: n.evacuation.dump(now),
		}
		f(now)
	})
	if err != nil {
		return Dump{Error: errs.Text(err)}, err
	}
	return d, nil
}

// Dump returns the status of the balancer.
func (b *Balancer) Dump() BalancerDump {
	var s steer.Summary
	d, err := b.inspect(func(now time.Time) { s = b.steer.Summary(now) })
	if err != nil {
		return BalancerDump{Dump: d}
	}
	queues := make(map[string]QueueDump, len(s.Queues))
	for service, counts := range s.Queues {
		queues[string(service)] = QueueDump(counts)
	}
	return BalancerDump{
		Queues: queues,
		Dump:   d, ActiveVersion: uint64(s.ActiveVersion), Flows: s.Flows, Searches: s.Searches, Queued: s.Queued, Targets: dumpTargets(s.Targets),
	}
}

// Dump returns the status of the agent.
func (a *Agent) Dump() AgentDump {
	var s gate.Summary
	d, err := a.inspect(func(now time.Time) { s = a.gate.Summary(now) })
	if err != nil {
		return AgentDump{Dump: d}
	}
	return AgentDump{
		Dump:          d,
		Target:        string(s.Target),
		Phase:         s.Phase.String(),
		Refusal:       dumpReason(s.Refusal),
		KnowsAllFlows: s.KnowsAllFlows,
		HeartbeatAge:  s.HeartbeatAge.Milliseconds(),
		OpenFlows:     s.OpenFlows,
		Outstanding:   s.Outstanding,
		ServiceTime:   s.ServiceTime.Milliseconds(),
	}
}

// dumpTargets converts the statuses of targets, sorted by service and address.
func dumpTargets(statuses []steer.TargetStatus) []TargetDump {
	list := make([]TargetDump, 0, len(statuses))
	for _, s := range statuses {
		list = append(list, TargetDump{
			Address:          s.Address.String(),
			Agent:            string(s.Agent),
			Service:          string(s.Service),
			Health:           s.Health.String(),
			Accepting:        s.Accepting,
			LoadAge:          s.ReportAge.Milliseconds(),
			UnansweredOffers: s.UnansweredOffers,
			Load:             dumpLoad(s.Load),
		})
	}
	slices.SortFunc(list, func(x, y TargetDump) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Address, y.Address))
	})
	return list
}

// dumpLoad converts a load report.
func dumpLoad(l relay.Load) LoadDump {
	return LoadDump{
		Accepting:       l.Accepting,
		Reason:          dumpReason(l.Reason),
		Outstanding:     l.Outstanding,
		MeanOutstanding: l.MeanOutstanding,
		Headroom:        l.Headroom,
		Flows:           l.Flows,
		Slots:           l.Slots,
		ServiceTime:     l.ServiceTime.Milliseconds(),
		WarmupLeft:      l.WarmupLeft.Milliseconds(),
		ReportInterval:  l.ReportInterval.Milliseconds(),
	}
}

// dumpReason returns the name of a reason; empty if there is none.
func dumpReason(r relay.Reason) string {
	if r == relay.ReasonNone {
		return ""
	}
	return r.String()
}
