package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

// decisionLog writes one line for each decision about a flow, and counts them.
type decisionLog struct {
	log    logs.Logger
	counts [relay.EventCount]*metrics.Counter
	// decisionTimes are histograms of the ages of those events whose age is a time that a flow took.
	decisionTimes map[relay.Event]*metrics.Histogram
	// responseTimes is a histogram of the times that targets took for the first packet of an answer.
	responseTimes *metrics.Histogram
}

func newDecisionLog(log logs.Logger, set *metrics.Set) *decisionLog {
	n := &decisionLog{log: log, decisionTimes: make(map[relay.Event]*metrics.Histogram), responseTimes: set.NewHistogram("monsoonstep_answer_seconds")}
	for _, e := range []relay.Event{relay.EventAccepted, relay.EventFound, relay.EventReset} {
		n.decisionTimes[e] = set.NewHistogram(`monsoonstep_decision_seconds{event="` + e.String() + `"}`)
	}
	for e := range relay.EventCount {
		n.counts[e] = set.NewCounter(`monsoonstep_decisions_total{event="` + e.String() + `"}`)
	}
	return n
}

func (n *decisionLog) record(d relay.Decision) {
	n.counts[d.Event].Inc()
	if h := n.decisionTimes[d.Event]; h != nil {
		h.Update(d.Age.Seconds())
	}
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

func (n *decisionLog) recordResponse(took time.Duration) { n.responseTimes.Update(took.Seconds()) }
