package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

// notes writes one line for each decision about a flow, and counts them.
type notes struct {
	log    logs.Logger
	counts [relay.EventCount]*metrics.Counter
	// times are histograms of the ages of those events whose age is a time that a flow took.
	times map[relay.Event]*metrics.Histogram
	// answers is a histogram of the times that targets took for the first packet of an answer.
	answers *metrics.Histogram
}

func newNotes(log logs.Logger, set *metrics.Set) *notes {
	n := &notes{log: log, times: make(map[relay.Event]*metrics.Histogram), answers: set.NewHistogram("monsoonstep_answer_seconds")}
	for _, e := range []relay.Event{relay.EventAccepted, relay.EventFound, relay.EventReset} {
		n.times[e] = set.NewHistogram(`monsoonstep_decision_seconds{event="` + e.String() + `"}`)
	}
	for e := range relay.EventCount {
		n.counts[e] = set.NewCounter(`monsoonstep_decisions_total{event="` + e.String() + `"}`)
	}
	return n
}

func (n *notes) note(d relay.Decision) {
	n.counts[d.Event].Inc()
	if h := n.times[d.Event]; h != nil {
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

func (n *notes) answered(took time.Duration) { n.answers.Update(took.Seconds()) }
