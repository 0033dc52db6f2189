package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
)

// Tick runs the work that depends on time: it monitors the target, expires flows and sends load reports. It must be called at
// least every TickPeriod.
func (g *Gate) Tick(now time.Time) {
	g.monitorTarget(now)
	g.meanOutstanding += (float64(g.outstanding) - g.meanOutstanding) *
		min(1, float64(now.Sub(g.lastTick))/float64(meanOutstandingWindow))
	g.lastTick = now
	g.pauses.Tick(now)
	g.expireFlows(now)
	g.reportWarmupProgress(now)
	if !now.Before(g.nextReport) {
		g.sendReports(now)
	}
}

// TickPeriod is the longest time between two ticks.
const TickPeriod = 50 * time.Millisecond

// expireFlows applies the timeouts of flows: it removes expired flows, ends requests that are overdue, and counts flows as open
// whose packet the target has not returned in time.
func (g *Gate) expireFlows(now time.Time) {
	for id, f := range g.flows {
		idle := now.Sub(f.lastPacket)
		switch {
		case f.phase == probing && now.Sub(f.createdAt) > probeTimeout:
			f.assumed = true
			g.markOpen(now, f, id)
		case f.phase == offered && idle > openTimeout:
			g.removeFlow(id, f)
		case f.phase == closed && idle > closedFlowTTL:
			g.removeFlow(id, f)
		case now.Sub(f.createdAt) > g.settings.FlowTTL && idle > closedFlowTTL:
			g.removeFlow(id, f)
		case f.outstanding && now.Sub(f.outstandingSince) > f.requestTimeout():
			if f.requestReceived {
				g.recordFailure(now)
			}
			f.requestReceived = false
			g.uncountRequest(now, f)
		}
	}
}

// requestTimeout returns how long a request of the flow counts as outstanding without an answer.
func (f *flow) requestTimeout() time.Duration {
	if f.requestReceived {
		return requestTimeout
	}
	return firstRequestTimeout
}

// sendReports sends a load report to every balancer.
func (g *Gate) sendReports(now time.Time) {
	g.nextReport = now.Add(g.reportInterval())
	g.lastReport = now
	m := g.loadReport(now)
	g.reportedFull = m.Load.Headroom == 0
	g.refusedLate = false
	for _, b := range g.owners.All() {
		g.actions.Send(b, m)
	}
}

// reportInterval returns the time between two periodic load reports to a balancer.
func (g *Gate) reportInterval() time.Duration { return relay.ReportInterval(len(g.owners.All())) }

// headroomReportInterval returns the minimum time between a report and a later one that is sent because headroom became available.
func (g *Gate) headroomReportInterval() time.Duration {
	return max(minHeadroomReportInterval, time.Duration(len(g.owners.All()))*time.Second/maxHeadroomReportsPerSecond)
}

// loadReport returns a load report of the target.
func (g *Gate) loadReport(now time.Time) relay.Message {
	return relay.Message{Kind: relay.KindLoad, Service: g.settings.Service.ID(), HasLoad: true, Load: g.load(now)}
}

// load returns the target's load.
func (g *Gate) load(now time.Time) relay.Load {
	reason := g.refusalReason()
	return relay.Load{
		Accepting:       reason == relay.ReasonNone,
		Reason:          reason,
		Outstanding:     g.outstanding,
		MeanOutstanding: g.meanOutstanding,
		Headroom:        g.headroom(now),
		Failing:         g.failures.ejected(now),
		Flows:           g.openFlows,
		Slots:           g.target.slots,
		ServiceTime:     g.serviceTime.estimate(now),
		ServiceSamples:  min(g.serviceTime.samples, relay.MaxServiceSamples),
		WarmupLeft:      g.warmup.Left(now),
		KnowsAllFlows:   g.knowsAllFlows(now),
		ReportInterval:  g.reportInterval(),
	}
}

// ProcessPaused moves the times of the target's last heartbeat and packet forward by the length of a pause of this process. Either
// the whole instance was suspended, the target included, or the target's heartbeats are still waiting to be read.
func (g *Gate) ProcessPaused(gap time.Duration) {
	g.target.lastHeartbeat = g.target.lastHeartbeat.Add(gap)
	g.target.lastOutbound = g.target.lastOutbound.Add(gap)
	g.pauses.Paused()
}
