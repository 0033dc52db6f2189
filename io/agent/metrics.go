package agent

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// requestMetrics counts callers' requests by outcome and measures their duration.
type requestMetrics struct {
	set     *metrics.Set
	retries *metrics.Counter
}

func newRequestMetrics(set *metrics.Set, a *Agent) *requestMetrics {
	set.NewGauge("monsoonstep_flows", func() float64 { return float64(a.flows.count()) })
	set.NewGauge("monsoonstep_streams", func() float64 { return float64(a.target.streams.Load()) })
	set.NewGauge("monsoonstep_slots_used", func() float64 { return float64(a.target.gate.load().Running) })
	set.NewGauge("monsoonstep_queue_length", func() float64 { return float64(a.target.gate.load().Queued) })
	set.NewGauge("monsoonstep_keys", func() float64 { return float64(a.atMostOnce.size()) })
	return &requestMetrics{set: set, retries: set.NewCounter("monsoonstep_retries_total")}
}

// recordRequest records the outcome and duration of one request of a caller.
func (c *requestMetrics) recordRequest(r *request, res result, duration time.Duration) {
	kind := "none"
	outcome := "answered"
	switch {
	case res.err != nil && res.headSent:
		outcome = "cut"
	case res.err != nil:
		kind = errs.KindOf(res.callerError()).String()
		outcome = "refused"
	}
	c.set.GetOrCreateCounter(`monsoonstep_requests_total{outcome="` + outcome + `",kind="` + kind + `"}`).Inc()
	if !r.stream && r.class == state.ClassImportant {
		c.set.GetOrCreateHistogram(`monsoonstep_request_seconds{class="important"}`).Update(duration.Seconds())
		return
	}
	if !r.stream {
		c.set.GetOrCreateHistogram(`monsoonstep_request_seconds{class="normal"}`).Update(duration.Seconds())
	}
}
