package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

// decisionLog logs and counts the decisions about flows and targets.
type decisionLog struct {
	log    logs.Logger
	counts [relay.EventCount]*metrics.Counter
	// set holds the counters of refused new flows, which are added when they are first needed.
	set *metrics.Set
	// decisionTimes holds histograms for the events whose age is a time that a flow waited.
	decisionTimes map[relay.Event]*metrics.Histogram
	// responseTimes is a histogram of the times from a request to the first packet of the target's answer.
	responseTimes *metrics.Histogram
}

func newDecisionLog(log logs.Logger, set *metrics.Set) *decisionLog {
	l := &decisionLog{log: log, set: set, decisionTimes: make(map[relay.Event]*metrics.Histogram), responseTimes: set.NewHistogram("monsoonstep_answer_seconds")}
	for _, e := range []relay.Event{relay.EventAccepted, relay.EventFound, relay.EventReset} {
		l.decisionTimes[e] = set.NewHistogram(`monsoonstep_decision_seconds{event="` + e.String() + `"}`)
	}
	for e := range relay.EventCount {
		l.counts[e] = set.NewCounter(`monsoonstep_decisions_total{event="` + e.String() + `"}`)
	}
	return l
}

// record logs and counts a decision. Fields that are not set are left out of the log line.
func (l *decisionLog) record(d relay.Decision) {
	l.counts[d.Event].Inc()
	if h := l.decisionTimes[d.Event]; h != nil {
		h.Update(d.Age.Seconds())
	}
	if d.Event == relay.EventRefused || d.Event == relay.EventRefusedByAgent {
		l.set.GetOrCreateCounter(refusalCounter(d)).Inc()
	}
	pairs := make([]any, 0, 16)
	if d.Flow != (state.FlowID{}) {
		pairs = append(pairs, "flow", d.Flow)
	}
	if d.Peer.IsValid() {
		pairs = append(pairs, "peer", d.Peer)
	}
	if d.Reason != relay.ReasonNone {
		pairs = append(pairs, "reason", d.Reason)
	}
	if d.Priority != 0 {
		pairs = append(pairs, "priority", d.Priority)
	}
	if d.Config != 0 {
		pairs = append(pairs, "config", d.Config)
	}
	if d.Age != 0 {
		pairs = append(pairs, "ageMs", d.Age.Milliseconds())
	}
	if d.Evidence != relay.EvidenceNone {
		pairs = append(pairs, "evidence", d.Evidence)
	}
	if d.Unasked != 0 {
		pairs = append(pairs, "unasked", d.Unasked)
	}
	l.log.Info(d.Event.String(), append(pairs, "count", d.Count)...)
}

// refusalCounter returns the name of the counter of refusals by event, reason and the priority of the route.
func refusalCounter(d relay.Decision) string {
	return fmt.Sprintf(`monsoonstep_refusals_total{event="%s",reason="%s",priority="%d"}`, d.Event, d.Reason, d.Priority)
}

// recordResponse records the time from a request to the first packet of its answer.
func (l *decisionLog) recordResponse(took time.Duration) { l.responseTimes.Update(took.Seconds()) }
