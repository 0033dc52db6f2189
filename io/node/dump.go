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

// dumpTimeout is how long the owner of the state has to answer, so that a stuck process shows as one.
const dumpTimeout = 2 * time.Second

// Dump is what the states of balancers and agents have in common, for people. Times are in milliseconds.
type Dump struct {
	Process string             `json:"process"`
	Stopped bool               `json:"stopped"`
	Members []admin.MemberDump `json:"members"`
	// Error tells why the rest is missing.
	Error string `json:"error,omitempty"`
}

// BalancerDump is a balancer's state.
type BalancerDump struct {
	Dump
	ActiveVersion uint64       `json:"configVersion"`
	Flows         int          `json:"flows"`
	Searches      int          `json:"searches"`
	Queued        int          `json:"waiting"`
	Targets       []TargetDump `json:"targets"`
}

// TargetDump is what a balancer knows of one target.
type TargetDump struct {
	Address         string   `json:"address"`
	Agent           string   `json:"agent"`
	Service         string   `json:"service"`
	Health          string   `json:"health"`
	Accepting       bool     `json:"takesFlows"`
	ReportAge       int64    `json:"heardMillisAgo"`
	SentSinceReport int      `json:"sentSince"`
	Load            LoadDump `json:"load"`
}

// LoadDump is a load report.
type LoadDump struct {
	Accepting       bool    `json:"takesFlows"`
	Reason          string  `json:"reason,omitempty"`
	Outstanding     int     `json:"busy"`
	MeanOutstanding float64 `json:"meanBusy"`
	Headroom        int     `json:"room"`
	OpenFlows       int     `json:"flows"`
	Slots           int     `json:"slots"`
	ServiceTime     int64   `json:"serviceMillis"`
	WarmupLeft      int64   `json:"warmupMillis"`
	ReportInterval  int64   `json:"periodMillis"`
}

// AgentDump is an agent's state.
type AgentDump struct {
	Dump
	Target        string `json:"target"`
	Phase         string `json:"phase"`
	Refusal       string `json:"refusal,omitempty"`
	KnowsAllFlows bool   `json:"knowsAllFlows"`
	HeartbeatAge  int64  `json:"heardMillisAgo"`
	OpenFlows     int    `json:"flows"`
	Outstanding   int    `json:"busy"`
	ServiceTime   int64  `json:"serviceMillis"`
}

// inspect returns the common part of the state, and has more of it read by f on the owner. If that does not answer in
// time the dump holds the error only, and what f wrote must not be used.
func (n *node) inspect(f func(now time.Time)) (Dump, error) {
	ctx, cancel := context.WithTimeout(n.group.Context(), dumpTimeout)
	defer cancel()
	var d Dump
	err := n.runInLoop(ctx, func(now time.Time) {
		d = Dump{
			Process: string(n.fleet.machine.Self().ID),
			Stopped: n.stopped.Load(),
			Members: admin.DumpMembers(n.fleet.machine.Members()),
		}
		f(now)
	})
	if err != nil {
		return Dump{Error: errs.Text(err)}, err
	}
	return d, nil
}

// Dump returns the state.
func (b *Balancer) Dump() BalancerDump {
	var s steer.Summary
	d, err := b.inspect(func(now time.Time) { s = b.steer.Summary(now) })
	if err != nil {
		return BalancerDump{Dump: d}
	}
	return BalancerDump{
		Dump: d, ActiveVersion: uint64(s.ActiveVersion), Flows: s.Flows, Searches: s.Searches, Queued: s.Queued, Targets: dumpTargets(s.Targets),
	}
}

// Dump returns the state.
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

// dumpTargets maps rows, in the order of their services and addresses.
func dumpTargets(rows []steer.TargetStatus) []TargetDump {
	list := make([]TargetDump, 0, len(rows))
	for _, r := range rows {
		list = append(list, TargetDump{
			Address:         r.Address.String(),
			Agent:           string(r.Agent),
			Service:         string(r.Service),
			Health:          r.Health.String(),
			Accepting:       r.Accepting,
			ReportAge:       r.ReportAge.Milliseconds(),
			SentSinceReport: r.SentSinceReport,
			Load:            dumpLoad(r.Load),
		})
	}
	slices.SortFunc(list, func(x, y TargetDump) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Address, y.Address))
	})
	return list
}

func dumpLoad(l relay.Load) LoadDump {
	return LoadDump{
		Accepting:       l.Accepting,
		Reason:          dumpReason(l.Reason),
		Outstanding:     l.Outstanding,
		MeanOutstanding: l.MeanOutstanding,
		Headroom:        l.Headroom,
		OpenFlows:       l.OpenFlows,
		Slots:           l.Slots,
		ServiceTime:     l.ServiceTime.Milliseconds(),
		WarmupLeft:      l.WarmupLeft.Milliseconds(),
		ReportInterval:  l.ReportInterval.Milliseconds(),
	}
}

func dumpReason(r relay.Reason) string {
	if r == relay.ReasonNone {
		return ""
	}
	return r.String()
}
