package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
)

// fullReason returns why a new flow is refused that the target has no headroom for.
func (g *Gate) fullReason(now time.Time) relay.Reason {
	if g.warmup.Allowed(now) == 0 {
		return relay.ReasonWarmingUp
	}
	return relay.ReasonFull
}

// countNewFlow counts a flow that is offered to the target towards the limit for its warm-up.
func (g *Gate) countNewFlow(now time.Time) {
	g.warmup.Accept(now)
	g.warmupFull = g.warmup.Allowed(now) == 0
}

// startWarmupWindow prepares the limit for a new start of the target. Flows that were accepted before the start do not count. If the
// gate has not seen the target start, an earlier process of the agent may have accepted flows until this one started.
func (g *Gate) startWarmupWindow(now time.Time, h Heartbeat) {
	g.warmup.TargetStarted(now.Add(-max(0, h.Uptime)))
	if !g.sawStart(now, h, false) {
		g.warmup.AssumeFull(g.startedAt)
	}
}

// ReturnedToService records the end of an evacuation of the target's data centre. The target may have become cold meanwhile without
// a heartbeat that says so, and counts as in its warm-up until the next one.
func (g *Gate) ReturnedToService(time.Time) { g.warmup.AssumeWarmup() }

// reportWarmupProgress sends the balancers a load report once the limit for the warm-up no longer applies, or allows new flows again
// after the target was reported as full.
func (g *Gate) reportWarmupProgress(now time.Time) {
	wasLimited := g.warmupLimited
	g.warmupLimited = g.warmup.Limited(now)
	switch {
	case wasLimited && !g.warmupLimited:
		g.warmupFull = false
		g.sendReports(now)
	case g.warmup.Allowed(now) == 0:
		g.warmupFull = true
	case g.warmupFull && now.Sub(g.lastReport) >= g.headroomReportInterval():
		g.warmupFull = false
		if g.reportedFull && g.headroom(now) > 0 {
			g.sendReports(now)
		}
	}
}
