package steer

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// Times by which a balancer judges what it knows of a target.
const (
	// reportTimeoutIntervals is how many load reports may be missing before a target gets no new flows.
	reportTimeoutIntervals = 3.5
	// firstReportTimeout is how long an agent that announced a serving target is used before its first report.
	firstReportTimeout = time.Second
	// deadAgentTimeout is how long an agent that the membership calls dead must be silent before its flows are
	// given up.
	deadAgentTimeout = 1500 * time.Millisecond
	// minUnresponsiveTimeout and silenceReports are for how long, and for how many reports at least, an agent must be silent before
	// flows whose requests may be repeated are given up: a process that was killed is back by then.
	minUnresponsiveTimeout = time.Second
	unresponsiveIntervals  = 5
	// droppedMessagesWindow is for how long a balancer that dropped messages of other nodes does not judge by silence: longer than any
	// silence that counts.
	droppedMessagesWindow = 2 * time.Second
	// minResponsiveNumerator of heardOf of the agents must be heard for the silence of one to be its own, and not this balancer's.
	minResponsiveNumerator   = 1
	minResponsiveDenominator = 2
	// plannedRestartWindow is how long the flows of an agent that left on purpose are kept: it is started again
	// beside the same target within seconds.
	plannedRestartWindow = 8 * time.Second
	// noReplyBackoff is how long a target is passed over that left an opening packet unanswered.
	noReplyBackoff = time.Second
	// fullBackoff is how long a full target is passed over, for all flows or for those that are late: about the time in which it ends a few requests.
	fullBackoff = 50 * time.Millisecond
)

// target is an agent and its target, as this balancer knows them.
type target struct {
	address    netip.AddrPort
	id         state.InstanceID
	service    state.ServiceName
	dataCentre state.DataCentre
	hash       uint64
	health     state.Health
	// member is true once the membership named the agent.
	member bool
	// changedAt is when the membership last said something new of the agent.
	changedAt time.Time
	// startedAt is when the present process of the agent was first heard of.
	startedAt time.Time
	phase     state.Phase
	load      relay.Load
	// lastReportAt is when the last load report came; zero if none has since the agent started.
	lastReportAt time.Time
	// sentSinceReport is how many new flows went there since that report.
	sentSinceReport int
	// avoidUntil is set when the target left an opening packet unanswered.
	avoidUntil time.Time
	// queryFlows are the flows that its agent is asked for next.
	queryFlows []state.FlowID
	// timedOut is set once its silence has been noted.
	timedOut bool
	// fullUntil is set when the target was full; the next report ends it.
	fullUntil time.Time
	// refusesLateUntil is set when the target did not take a flow that was late; the next report ends it.
	refusesLateUntil time.Time
}

// presumedDead reports whether the flows of the target can be given up: its agent is dead, without having left on
// purpose, and nothing is heard of it; or it left after its target did.
func (t *target) presumedDead(now time.Time) bool {
	switch t.health {
	case state.HealthDead:
		return now.Sub(t.lastReportAt) > deadAgentTimeout
	case state.HealthLeft:
		return t.load.Reason == relay.ReasonTargetDown || t.phase == state.PhaseEmpty || now.Sub(t.changedAt) > plannedRestartWindow
	default:
		return false
	}
}

// unresponsive reports whether the agent has stopped reporting, without having said that it stops: its machine is paused, cut
// off or dead, which the membership finds out later.
func (t *target) unresponsive(now time.Time) bool {
	if t.health == state.HealthLeft || t.load.Reason == relay.ReasonStopping {
		return false
	}
	since := t.lastReportAt
	if since.IsZero() {
		since = t.startedAt
	}
	limit := max(minUnresponsiveTimeout, time.Duration(unresponsiveIntervals*float64(t.load.ReportInterval)))
	return now.Sub(since) > limit
}

// accepting reports whether the target may be given new flows.
func (t *target) accepting(now time.Time) bool {
	return t.serving(now) && !now.Before(t.avoidUntil) && !now.Before(t.fullUntil) && (t.lastReportAt.IsZero() || t.load.Headroom > t.sentSinceReport)
}

// running reports whether the membership takes the agent for running.
func (t *target) running() bool {
	return t.member && (t.health == state.HealthAlive || t.health == state.HealthSuspect)
}

// serving reports whether the target takes flows, if not at this moment.
func (t *target) serving(now time.Time) bool {
	if !t.running() {
		return false
	}
	if t.lastReportAt.IsZero() {
		return t.phase == state.PhaseServing && now.Sub(t.changedAt) < firstReportTimeout
	}
	limit := time.Duration(reportTimeoutIntervals * float64(t.load.ReportInterval))
	return t.load.Accepting && now.Sub(t.lastReportAt) < limit
}

// isStarting reports whether the agent runs, and started so recently that it may not have heard from its target.
func (t *target) isStarting(now time.Time) bool {
	notServing := t.phase == state.PhaseStarting || t.phase == state.PhaseEmpty
	return t.running() && notServing && now.Sub(t.startedAt) < startupWindow
}

// SetMembers takes in the membership.
func (b *Balancer) SetMembers(now time.Time, members []state.Member) {
	newest := make(map[netip.AddrPort]state.Member)
	for _, m := range members {
		if m.Role != state.RoleAgent || !m.Flow.IsValid() {
			continue
		}
		if old, ok := newest[m.Flow]; !ok || supersedes(m, old) {
			newest[m.Flow] = m
		}
	}
	for _, m := range newest {
		b.setMember(now, m)
	}
	for address, t := range b.targets {
		if _, ok := newest[address]; !ok && t.running() {
			t.health = state.HealthDead
			t.changedAt = now
		}
	}
	b.indexTargets()
}

// indexTargets sorts the targets by service.
func (b *Balancer) indexTargets() {
	clear(b.targetsByService)
	for _, t := range b.targets {
		b.targetsByService[t.service] = append(b.targetsByService[t.service], t)
	}
}

// supersedes reports whether m is the later process of two at one address: one that runs goes before one that
// does not, then the one that started later by its own clock.
func supersedes(m, old state.Member) bool {
	if m.Present() != old.Present() {
		return m.Present()
	}
	return m.ID.Started() > old.ID.Started()
}

func (b *Balancer) setMember(now time.Time, m state.Member) {
	t := b.targets[m.Flow]
	if t == nil && !m.Present() {
		return
	}
	if t == nil || t.service != m.Service {
		t = b.replaceTarget(now, t, m)
	}
	if t.id != m.ID {
		t.id = m.ID
		t.lastReportAt = time.Time{}
		t.load = relay.Load{Slots: m.Slots}
		t.changedAt = now
		t.startedAt = now
		t.avoidUntil = time.Time{}
		t.timedOut = false
	}
	if t.health != m.Health || t.phase != m.Phase {
		t.changedAt = now
	}
	t.member = true
	t.health = m.Health
	t.phase = m.Phase
	t.dataCentre = m.DataCentre
}

// replaceTarget makes a row for an agent at a new address, or for one of another service at a known one;
// flows of the former are then lost.
func (b *Balancer) replaceTarget(now time.Time, former *target, m state.Member) *target {
	if former != nil {
		former.health = state.HealthDead
		former.lastReportAt = time.Time{}
	}
	t := &target{address: m.Flow, service: m.Service, hash: relay.NodeHash(m.Flow), changedAt: now}
	b.targets[m.Flow] = t
	b.lastNewAgentAt = now
	return t
}

// handleLoad takes in a load report.
func (b *Balancer) handleLoad(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets[from]
	if t == nil || t.service.ID() != m.Service {
		return
	}
	if t.timedOut {
		t.timedOut = false
		b.actions.OnDecision(relay.Decision{Event: relay.EventAgentRecovered, Peer: t.address, Age: relay.AgeOf(now, t.lastReportAt)})
	}
	t.load = m.Load
	t.lastReportAt = now
	t.sentSinceReport = 0
	t.fullUntil = time.Time{}
	t.refusesLateUntil = time.Time{}
	if m.Load.Headroom > 0 && len(b.queue) > 0 {
		b.placeQueuedAt(now, t)
	}
}

// checkAgentTimeouts notes the agents that have fallen silent since the last look.
func (b *Balancer) checkAgentTimeouts(now time.Time) {
	for _, t := range b.targets {
		if !t.timedOut && t.running() && t.unresponsive(now) {
			t.timedOut = true
			b.actions.OnDecision(relay.Decision{Event: relay.EventAgentTimedOut, Peer: t.address, Age: relay.AgeOf(now, t.lastReportAt)})
		}
	}
}

// AcceptingTargets returns how many targets may be given new flows.
func (b *Balancer) AcceptingTargets(now time.Time) int {
	count := 0
	for _, t := range b.targets {
		if t.accepting(now) {
			count++
		}
	}
	return count
}

// possibleHolders returns the targets that may hold a flow to an address: all of them before the first configuration. Those
// whose target is gone hold none.
func (b *Balancer) possibleHolders(virtual state.Endpoint) []*target {
	var found []*target
	for service, targets := range b.targetsByService {
		if b.config.Version != 0 && !slices.Contains(b.servicesByAddress[virtual], service) {
			continue
		}
		for _, t := range targets {
			if t.load.Reason != relay.ReasonTargetDown {
				found = append(found, t)
			}
		}
	}
	return found
}

// ProcessPaused moves what was heard forward by a pause of this process, in which nothing could be heard.
func (b *Balancer) ProcessPaused(gap time.Duration) {
	for _, t := range b.targets {
		if !t.lastReportAt.IsZero() {
			t.lastReportAt = t.lastReportAt.Add(gap)
		}
	}
}

// MessagesDropped notes that messages of other nodes were dropped here: whoever seems silent may have been heard.
func (b *Balancer) MessagesDropped(now time.Time) { b.messagesDroppedAt = now }

// messagesDroppedRecently reports whether silence proves nothing, because this balancer has fallen behind.
func (b *Balancer) messagesDroppedRecently(now time.Time) bool {
	return !b.messagesDroppedAt.IsZero() && now.Sub(b.messagesDroppedAt) < droppedMessagesWindow
}

// TargetStatus is what a balancer knows of one target, for people.
type TargetStatus struct {
	Address         netip.AddrPort
	Agent           state.InstanceID
	Service         state.ServiceName
	Health          state.Health
	Accepting       bool
	Load            relay.Load
	ReportAge       time.Duration
	SentSinceReport int
}

// Summary is what a balancer knows, for people.
type Summary struct {
	ActiveVersion state.ConfigVersion
	// Flows is how many places are known, Searches how many flows are looked for, Waiting how many new flows wait.
	Flows    int
	Searches int
	Queued   int
	Targets  []TargetStatus
}

// Summary returns what the balancer knows.
func (b *Balancer) Summary(now time.Time) Summary {
	return Summary{
		ActiveVersion: b.config.Version, Flows: len(b.flows), Searches: len(b.searches), Queued: len(b.queue), Targets: b.statuses(now),
	}
}

// targetStatuses returns what is known of all targets.
func (b *Balancer) statuses(now time.Time) []TargetStatus {
	statuses := make([]TargetStatus, 0, len(b.targets))
	for _, t := range b.targets {
		statuses = append(statuses, TargetStatus{
			Address: t.address, Agent: t.id, Service: t.service, Health: t.health, Accepting: t.accepting(now),
			Load: t.load, ReportAge: relay.AgeOf(now, t.lastReportAt), SentSinceReport: t.sentSinceReport,
		})
	}
	return statuses
}

// mostAgentsResponsive reports whether most agents are heard, so that the silence of one is not this balancer's own.
func (b *Balancer) mostAgentsResponsive(now time.Time) bool {
	if b.messagesDroppedRecently(now) {
		return false
	}
	responsive, total := 0, 0
	for _, t := range b.targets {
		if !t.running() {
			continue
		}
		total++
		if !t.lastReportAt.IsZero() && !t.unresponsive(now) {
			responsive++
		}
	}
	return responsive*minResponsiveDenominator >= total*minResponsiveNumerator
}
