package ctrl

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// nodeMetrics holds the counters of a Node.
type nodeMetrics struct {
	set *metrics.Set
	// bytesIn and bytesOut count the bytes of gossip messages, with IP and UDP headers.
	bytesIn  *metrics.Counter
	bytesOut *metrics.Counter
	// overrun counts gossip messages that were dropped because the queue of received messages was full.
	overrun    *metrics.Counter
	polls      *metrics.Counter
	pollErrors *metrics.Counter
	// badRecords counts invalid records, and catalogue entries that clash with another one.
	badRecords *metrics.Counter
	// evacuationChanges counts data centres that were evacuated or taken into use again.
	evacuationChanges *metrics.Counter
}

// newNodeMetrics registers the metrics of n in set. The platform's age is -1 until the first successful read.
func newNodeMetrics(set *metrics.Set, n *Node) nodeMetrics {
	set.NewGauge("monsoonstep_catalogue_revision", func() float64 { return float64(n.View().Revision) })
	set.NewGauge("monsoonstep_evacuated_data_centres", func() float64 { return float64(len(n.View().Evacuated)) })
	set.NewGauge("monsoonstep_platform_age_seconds", func() float64 {
		last := n.lastPoll.Load()
		if last == 0 {
			return -1
		}
		return time.Since(time.UnixMilli(last)).Seconds()
	})
	for _, health := range []state.Health{state.HealthAlive, state.HealthSuspect, state.HealthDead, state.HealthLeft} {
		set.NewGauge(`monsoonstep_members{health="`+health.String()+`"}`, func() float64 {
			count := 0
			for _, m := range n.View().Members {
				if m.Health == health {
					count++
				}
			}
			return float64(count)
		})
	}
	for name, count := range map[string]func(*gossip.Stats) uint64{
		"monsoonstep_deaths_total":           func(s *gossip.Stats) uint64 { return s.Deaths },
		"monsoonstep_refutations_total":      func(s *gossip.Stats) uint64 { return s.Refutations },
		"monsoonstep_lapses_total":           func(s *gossip.Stats) uint64 { return s.Pauses },
		"monsoonstep_control_deferred_total": func(s *gossip.Stats) uint64 { return s.Deferred },
	} {
		set.NewGauge(name, func() float64 { return float64(count(n.stats.Load())) })
	}
	return nodeMetrics{
		set:        set,
		bytesIn:    set.NewCounter(`monsoonstep_control_bytes_total{direction="in"}`),
		bytesOut:   set.NewCounter(`monsoonstep_control_bytes_total{direction="out"}`),
		overrun:    set.NewCounter("monsoonstep_control_overrun_total"),
		polls:      set.NewCounter("monsoonstep_platform_reads_total"),
		pollErrors: set.NewCounter("monsoonstep_platform_read_errors_total"),
		badRecords: set.NewCounter("monsoonstep_bad_records_total"),

		evacuationChanges: set.NewCounter("monsoonstep_evacuation_changes_total"),
	}
}

// refused counts a gossip message that was rejected with an error of a kind.
func (m nodeMetrics) refused(kind errs.Kind) {
	m.set.GetOrCreateCounter(`monsoonstep_control_refused_total{kind="` + kind.String() + `"}`).Inc()
}
