package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
)

// Tick lets time pass. It is called every TickPeriod.
func (g *Gate) Tick(now time.Time) {
	g.watchTarget(now)
	g.meanBusy += (float64(g.busy) - g.meanBusy) * min(1, float64(now.Sub(g.lastTick))/float64(meanWindow))
	g.lastTick = now
	g.sweep(now)
	if !now.Before(g.nextReport) {
		g.report(now)
	}
}

// TickPeriod is the longest time between two ticks.
const TickPeriod = 50 * time.Millisecond

// sweep ends what has waited for too long.
func (g *Gate) sweep(now time.Time) {
	for id, f := range g.flows {
		quiet := now.Sub(f.last)
		switch {
		case f.phase == probing && now.Sub(f.since) > probeWait:
			f.assumed = true
			g.hold(now, f, id)
		case f.phase == offered && quiet > openWait:
			g.forget(id, f)
		case f.phase == closed && quiet > closedAge:
			g.forget(id, f)
		case now.Sub(f.since) > g.settings.FlowTTL && quiet > closedAge:
			g.forget(id, f)
		case f.busy && now.Sub(f.busySince) > f.busyLimit():
			f.sample = false
			f.asked = false
			g.endRequest(now, f)
		}
	}
}

// busyLimit is how long the flow counts as busy without an answer.
func (f *flow) busyLimit() time.Duration {
	if f.asked {
		return busyLimit
	}
	return firstRequestWait
}

// report tells every balancer how busy the target is.
func (g *Gate) report(now time.Time) {
	g.nextReport = now.Add(g.reportPeriod())
	g.lastReport = now
	m := g.load(now)
	g.toldFull = m.Load.Headroom == 0
	g.toldBusy = false
	for _, b := range g.owners.All() {
		g.do.Send(b, m)
	}
}

func (g *Gate) reportPeriod() time.Duration {
	return g.stretched(reportPeriod, reportsPerSecond)
}

// roomGap is the least time between a report and one that tells of new room.
func (g *Gate) roomGap() time.Duration {
	return g.stretched(roomReportGap, roomReportsPerSecond)
}

// stretched returns a time between two messages to all balancers, made longer if they would be more than a number a second.
func (g *Gate) stretched(least time.Duration, perSecond int) time.Duration {
	return max(least, time.Duration(len(g.owners.All()))*time.Second/time.Duration(perSecond))
}

func (g *Gate) load(now time.Time) relay.Message {
	reason := g.refusal()
	return relay.Message{
		Kind:    relay.KindLoad,
		Service: g.settings.Service.ID(),
		Load: relay.Load{
			Accepting:       reason == relay.ReasonNone,
			Reason:          reason,
			Outstanding:     g.busy,
			MeanOutstanding: g.meanBusy,
			Headroom:        g.room(),
			OpenFlows:       g.held,
			Slots:           g.target.slots,
			ServiceTime:     g.serviceTime,
			WarmupLeft:      max(0, g.target.warmUntil.Sub(now)),
			KnowsAllFlows:   g.complete(now),
			ReportInterval:  g.reportPeriod(),
		},
	}
}

// ProcessPaused moves what was heard of the target forward by a pause of this process: the target's machine paused too, or its
// heartbeats still wait to be read.
func (g *Gate) ProcessPaused(gap time.Duration) {
	g.target.heard = g.target.heard.Add(gap)
	g.target.lastOut = g.target.lastOut.Add(gap)
}
