package relay

import (
	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

// notes writes one line for each decision about a flow, and counts them.
type notes struct {
	log    logs.Logger
	counts [relay.EventCount]*metrics.Counter
}

func newNotes(log logs.Logger, set *metrics.Set) *notes {
	n := &notes{log: log}
	for e := range relay.EventCount {
		n.counts[e] = set.NewCounter(`monsoonstep_decisions_total{event="` + e.String() + `"}`)
	}
	return n
}

func (n *notes) note(d relay.Decision) {
	n.counts[d.Event].Inc()
	pairs := make([]any, 0, 12)
	if d.Flow != (state.FlowID{}) {
		pairs = append(pairs, "flow", d.Flow)
	}
	if d.Peer.IsValid() {
		pairs = append(pairs, "peer", d.Peer)
	}
	if d.Reason != relay.ReasonNone {
		pairs = append(pairs, "reason", d.Reason)
	}
	if d.Config != 0 {
		pairs = append(pairs, "config", d.Config)
	}
	if d.Age != 0 {
		pairs = append(pairs, "ageMs", d.Age.Milliseconds())
	}
	n.log.Info(d.Event.String(), append(pairs, "count", d.Count)...)
}
