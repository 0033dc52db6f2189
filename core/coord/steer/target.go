package steer

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// Timeouts and limits by which a balancer judges the state of a target.
const (
	// reportTimeoutIntervals is the number of report intervals without a load report after which a target gets no new
	// flows.
	reportTimeoutIntervals = 3.5
	// minFirstReportTimeout is the least time for which an agent that announced a serving target gets new flows without
	// having sent a load report.
	minFirstReportTimeout = time.Second
	// minDeadAgentTimeout and deadAgentIntervals are the time and the number of report intervals for which an agent that
	// the membership calls dead must both have sent nothing before its flows are reset.
	minDeadAgentTimeout = 1500 * time.Millisecond
	deadAgentIntervals  = 1.5
	// minUnresponsiveTimeout and unresponsiveIntervals are the time and the number of report intervals that must both
	// have passed without a message before an agent's flows with idempotent requests are reset: a process that was
	// killed has restarted by then.
	minUnresponsiveTimeout = time.Second
	unresponsiveIntervals  = 5
	// minUnansweredAsks is how many queries and probes an agent must have left without a reply for minUnresponsiveTimeout to count
	// as unresponsive before its reports are overdue, since datagrams are occasionally lost.
	minUnansweredAsks = 3
	// minResponsiveNumerator / minResponsiveDenominator is the fraction of the agents that must be responsive before
	// one is treated as unresponsive: if fewer are, the fault may be at this balancer.
	minResponsiveNumerator   = 1
	minResponsiveDenominator = 2
	// responsiveSettleTime is how long most agents must have been responsive before one counts as unresponsive. When the link of a
	// balancer was cut or full, the messages that were held up arrive one after another.
	responsiveSettleTime = time.Second
	// PlannedRestartWindow is how long the flows of an agent that left on purpose are kept: a planned restart brings it
	// back beside the same target within seconds.
	PlannedRestartWindow = 8 * time.Second
	// noReplyBackoff is how long a target that did not answer an opening packet gets no new flows.
	noReplyBackoff = time.Second
	// fullBackoff is how long a target that refused a flow as full gets no new flows, or no late ones if the refused
	// flow was late: about the time in which it completes a few requests.
	fullBackoff = 50 * time.Millisecond
)

// target is an agent and its target, as this balancer knows them.
type target struct {
	address    netip.AddrPort
	id         state.InstanceID
	service    state.ServiceName
	dataCentre state.DataCentre
	region     state.Region
	// hash is the hash of the agent's address, by which targets are ranked for a flow.
	hash   uint64
	health state.Health
	// member is true once the agent has been in the membership.
	member bool
	// changedAt is when the agent's state in the membership last changed.
	changedAt time.Time
	// startedAt is when the agent's present process was discovered.
	startedAt time.Time
	phase     state.Phase
	load      relay.Load
	// loadAt is when load was received, with a report or a confirmation; zero if there was none since the agent started.
	loadAt time.Time
	// lastReportAt is when the last load report was received; zero if there was none since the agent started.
	lastReportAt time.Time
	// lastHeardAt is when the agent's last message of any kind was received; zero if there was none since it started.
	lastHeardAt time.Time
	// askedAt is when the first of the queries and probes was sent to which the agent has not replied, lastAskedAt when the last one
	// was, and unansweredAsks how many there were, those within batchTimeout counted once. Any message of the agent clears the count.
	askedAt        time.Time
	lastAskedAt    time.Time
	unansweredAsks int
	// unansweredOffers is how many new flows were offered to the target since that report and neither confirmed nor refused.
	unansweredOffers int
	// avoidUntil is until when the target gets no new flows because it did not answer an opening packet.
	avoidUntil time.Time
	// queryFlows are the flows to name in the next query to the agent.
	queryFlows []state.FlowID
	// timedOut is true from when the agent's timeout was logged until its next load report.
	timedOut bool
	// fullUntil is until when the target gets no new flows because it was full; the next load report clears it.
	fullUntil time.Time
	// ejected is true while the target gets no new flows because it fails requests.
	ejected bool
	// refusesLateUntil is until when the target gets no late flows because it refused one; the next load report clears
	// it.
	refusesLateUntil time.Time
	// evacuations are those that the balancer knows.
	evacuations *evacuations
}

// presumedDead reports whether the target's flows can be reset: its agent died, without having left on purpose, and has
// sent nothing for a while; or it left, and either its target was down or it has not come back within
// PlannedRestartWindow.
func (t *target) presumedDead(now time.Time) bool {
	switch t.health {
	case state.HealthDead:
		return now.Sub(t.lastHeardAt) > max(minDeadAgentTimeout, t.reportIntervals(deadAgentIntervals))
	case state.HealthLeft:
		return t.load.Reason == relay.ReasonTargetDown || t.phase == state.PhaseEmpty || now.Sub(t.changedAt) > PlannedRestartWindow
	default:
		return false
	}
}

// reportIntervals returns the length of a number of the agent's report intervals.
func (t *target) reportIntervals(n float64) time.Duration {
	return time.Duration(n * float64(t.load.ReportInterval))
}

// heard records that the agent has sent a message.
func (t *target) heard(now time.Time) {
	t.lastHeardAt = now
	t.unansweredAsks = 0
}

// asked records that the agent was sent a query or a probe, to which it has to reply.
func (t *target) asked(now time.Time) {
	switch {
	case t.unansweredAsks == 0:
		t.askedAt = now
	case now.Sub(t.lastAskedAt) < batchTimeout:
		return
	}
	t.lastAskedAt = now
	t.unansweredAsks++
}

// unresponsive reports whether the agent has stopped sending messages, or does not reply, without having announced that it
// stops: its instance is paused, cut off or dead, which the membership detects later.
func (t *target) unresponsive(now time.Time) bool {
	if t.health == state.HealthLeft || t.load.Reason == relay.ReasonStopping {
		return false
	}
	if t.unansweredAsks >= minUnansweredAsks && now.Sub(t.askedAt) > minUnresponsiveTimeout {
		return true
	}
	since := t.lastHeardAt
	if since.IsZero() {
		since = t.startedAt
	}
	return now.Sub(since) > max(minUnresponsiveTimeout, t.reportIntervals(unresponsiveIntervals))
}

// offerAnswered records that the target has confirmed or refused a new flow.
func (t *target) offerAnswered() { t.unansweredOffers = max(0, t.unansweredOffers-1) }

// accepting reports whether the target can be given a new flow now.
func (t *target) accepting(now time.Time) bool {
	return t.serving(now) && !t.ejected && !now.Before(t.avoidUntil) && !now.Before(t.fullUntil) && (t.lastReportAt.IsZero() || t.load.Headroom > t.unansweredOffers)
}

// acceptsFlow reports whether the target can be given a flow now that some targets are excluded from.
func (t *target) acceptsFlow(now time.Time, excluded []*target, late bool) bool {
	return t.accepting(now) && !slices.Contains(excluded, t) && !(late && now.Before(t.refusesLateUntil))
}

// holdsNoFlow reports whether the agent has said that it has no target: in its last load report or, if it has sent none, in the
// membership.
func (t *target) holdsNoFlow() bool {
	if t.lastReportAt.IsZero() && t.load.Reason == relay.ReasonNone {
		return t.phase == state.PhaseEmpty
	}
	return t.load.Reason == relay.ReasonTargetDown
}

// running reports whether the agent is running according to the membership.
func (t *target) running() bool {
	return t.member && (t.health == state.HealthAlive || t.health == state.HealthSuspect)
}

// serving reports whether the target accepts new flows in general, even if it is full at this moment.
func (t *target) serving(now time.Time) bool {
	if !t.running() || t.evacuations.forbid(t.dataCentre) {
		return false
	}
	if t.lastReportAt.IsZero() {
		return t.phase == state.PhaseServing && now.Sub(t.changedAt) < max(minFirstReportTimeout, t.reportIntervals(reportTimeoutIntervals))
	}
	return t.load.Accepting && now.Sub(t.lastReportAt) < t.reportIntervals(reportTimeoutIntervals)
}

// isStarting reports whether the agent runs and started so recently that its target may not have reported to it yet.
func (t *target) isStarting(now time.Time) bool {
	notServing := t.phase == state.PhaseStarting || t.phase == state.PhaseEmpty
	return t.running() && notServing && !t.evacuated() && now.Sub(t.startedAt) < startupWindow
}

// handleLoad applies a load report.
func (b *Balancer) handleLoad(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets.byAddress[from]
	if t == nil || t.service.ID() != m.Service {
		return
	}
	if t.timedOut {
		t.timedOut = false
		b.actions.OnDecision(relay.Decision{Event: relay.EventAgentRecovered, Peer: t.address, Age: relay.AgeOf(now, t.lastReportAt)})
	}
	b.setLoad(now, t, m.Load)
	t.lastReportAt = now
	t.unansweredOffers = 0
	t.fullUntil = time.Time{}
	t.refusesLateUntil = time.Time{}
	if m.Load.Headroom > 0 && b.queue.Len() > 0 {
		b.placeQueuedAt(now, t)
	}
}

// setLoad sets the load of a target.
func (b *Balancer) setLoad(now time.Time, t *target, load relay.Load) {
	failingChanged := t.load.Failing != load.Failing
	t.load = load
	t.loadAt = now
	if failingChanged {
		b.updateEjections(now)
	}
}

// checkAgentTimeouts logs the agents that have become unresponsive since the last check.
func (b *Balancer) checkAgentTimeouts(now time.Time) {
	for _, t := range b.targets.byAddress {
		if !t.timedOut && t.running() && t.unresponsive(now) {
			t.timedOut = true
			b.actions.OnDecision(relay.Decision{Event: relay.EventAgentTimedOut, Peer: t.address, Age: relay.AgeOf(now, t.lastReportAt)})
		}
	}
}

// possibleHolders returns the targets that may hold a flow to an address: those of services to which the address is known to have been
// routed, and those of services to which it may have been routed without this balancer knowing. Before the first configuration these
// are the targets of all services. Targets that are down hold no flows.
func (b *Balancer) possibleHolders(now time.Time, virtual state.Endpoint) (known, unknown []*target) {
	incomplete := b.config.Version == 0 || b.routeHistory.isIncomplete(now)
	for service, targets := range b.targets.byService {
		wasRouted := b.routeHistory.wasRouted(virtual, service)
		if !wasRouted && !incomplete {
			continue
		}
		for _, t := range targets {
			switch {
			case t.holdsNoFlow():
			case wasRouted:
				known = append(known, t)
			default:
				unknown = append(unknown, t)
			}
		}
	}
	return known, unknown
}

// ProcessPaused compensates for a pause of this process, during which it could receive no load reports: it moves the
// time of each agent's last report forward by the length of the pause.
func (b *Balancer) ProcessPaused(gap time.Duration) {
	for _, t := range b.targets.byAddress {
		if !t.lastReportAt.IsZero() {
			t.lastReportAt = t.lastReportAt.Add(gap)
		}
		if !t.lastHeardAt.IsZero() {
			t.lastHeardAt = t.lastHeardAt.Add(gap)
		}
		t.askedAt = t.askedAt.Add(gap)
		t.lastAskedAt = t.lastAskedAt.Add(gap)
	}
	if !b.nodeHeardAt.IsZero() {
		b.nodeHeardAt = b.nodeHeardAt.Add(gap)
	}
	b.pauses.Paused()
}

// mostAgentsResponsive reports whether enough running agents have been responsive for long enough to conclude that an unresponsive
// one is itself at fault, and not this balancer. It is false if this balancer has missed messages recently.
func (b *Balancer) mostAgentsResponsive(now time.Time) bool {
	b.updateResponsiveness(now)
	return !b.missedMessages(now) && now.Sub(b.unresponsiveAt) >= responsiveSettleTime
}

// updateResponsiveness records whether most agents are unresponsive at present.
func (b *Balancer) updateResponsiveness(now time.Time) {
	if !b.targets.halfResponsive(now) {
		b.unresponsiveAt = now
	}
}
