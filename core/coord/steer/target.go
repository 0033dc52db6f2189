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
	// silentPeriods is how many load reports may be missing before a target gets no new flows.
	silentPeriods = 3.5
	// newcomerTrust is how long an agent that announced a serving target is used before its first report.
	newcomerTrust = time.Second
	// lostAfter is how long an agent that the membership calls dead must be silent before its flows are
	// given up.
	lostAfter = 1500 * time.Millisecond
	// silenceLimit and silenceReports are for how long, and for how many reports at least, an agent must be silent before
	// flows whose requests may be repeated are given up: a process that was killed is back by then.
	silenceLimit   = time.Second
	silenceReports = 5
	// missedTime is for how long a balancer that dropped messages of other nodes does not judge by silence: longer than any
	// silence that counts.
	missedTime = 2 * time.Second
	// heardShare of heardOf of the agents must be heard for the silence of one to be its own, and not this balancer's.
	heardShare = 1
	heardOf    = 2
	// plannedAbsence is how long the flows of an agent that left on purpose are kept: it is started again
	// beside the same target within seconds.
	plannedAbsence = 8 * time.Second
	// quietPenalty is how long a target is passed over that left an opening packet unanswered.
	quietPenalty = time.Second
	// fullPenalty is how long a full target is passed over, for all flows or for those that are late: about the time in which it ends a few requests.
	fullPenalty = 50 * time.Millisecond
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
	// heardAt is when the last load report came; zero if none has since the agent started.
	heardAt time.Time
	// sent is how many new flows went there since that report.
	sent int
	// avoidUntil is set when the target left an opening packet unanswered.
	avoidUntil time.Time
	// questions are the flows that its agent is asked for next.
	questions []state.FlowID
	// fellSilent is set once its silence has been noted.
	fellSilent bool
	// fullUntil is set when the target was full; the next report ends it.
	fullUntil time.Time
	// lateUntil is set when the target did not take a flow that was late; the next report ends it.
	lateUntil time.Time
}

// lost reports whether the flows of the target can be given up: its agent is dead, without having left on
// purpose, and nothing is heard of it; or it left after its target did.
func (t *target) lost(now time.Time) bool {
	switch t.health {
	case state.HealthDead:
		return now.Sub(t.heardAt) > lostAfter
	case state.HealthLeft:
		return t.load.Reason == relay.ReasonTargetDown || t.phase == state.PhaseEmpty || now.Sub(t.changedAt) > plannedAbsence
	default:
		return false
	}
}

// silent reports whether the agent has stopped reporting, without having said that it stops: its machine is paused, cut
// off or dead, which the membership finds out later.
func (t *target) silent(now time.Time) bool {
	if t.health == state.HealthLeft || t.load.Reason == relay.ReasonStopping {
		return false
	}
	since := t.heardAt
	if since.IsZero() {
		since = t.startedAt
	}
	limit := max(silenceLimit, time.Duration(silenceReports*float64(t.load.ReportInterval)))
	return now.Sub(since) > limit
}

// takes reports whether the target may be given new flows.
func (t *target) takes(now time.Time) bool {
	return t.serves(now) && !now.Before(t.avoidUntil) && !now.Before(t.fullUntil) && (t.heardAt.IsZero() || t.load.Headroom > t.sent)
}

// runs reports whether the membership takes the agent for running.
func (t *target) runs() bool {
	return t.member && (t.health == state.HealthAlive || t.health == state.HealthSuspect)
}

// serves reports whether the target takes flows, if not at this moment.
func (t *target) serves(now time.Time) bool {
	if !t.runs() {
		return false
	}
	if t.heardAt.IsZero() {
		return t.phase == state.PhaseServing && now.Sub(t.changedAt) < newcomerTrust
	}
	limit := time.Duration(silentPeriods * float64(t.load.ReportInterval))
	return t.load.Accepting && now.Sub(t.heardAt) < limit
}

// isStarting reports whether the agent runs, and started so recently that it may not have heard from its target.
func (t *target) isStarting(now time.Time) bool {
	waits := t.phase == state.PhaseStarting || t.phase == state.PhaseEmpty
	return t.runs() && waits && now.Sub(t.startedAt) < startTime
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
		if _, ok := newest[address]; !ok && t.runs() {
			t.health = state.HealthDead
			t.changedAt = now
		}
	}
	b.indexTargets()
}

// indexTargets sorts the targets by service.
func (b *Balancer) indexTargets() {
	clear(b.byService)
	for _, t := range b.targets {
		b.byService[t.service] = append(b.byService[t.service], t)
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
		t.heardAt = time.Time{}
		t.load = relay.Load{Slots: m.Slots}
		t.changedAt = now
		t.startedAt = now
		t.avoidUntil = time.Time{}
		t.fellSilent = false
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
		former.heardAt = time.Time{}
	}
	t := &target{address: m.Flow, service: m.Service, hash: relay.NodeHash(m.Flow), changedAt: now}
	b.targets[m.Flow] = t
	b.lastArrival = now
	return t
}

// heard takes in a load report.
func (b *Balancer) heard(now time.Time, from netip.AddrPort, m relay.Message) {
	t := b.targets[from]
	if t == nil || t.service.ID() != m.Service {
		return
	}
	if t.fellSilent {
		t.fellSilent = false
		b.do.OnDecision(relay.Decision{Event: relay.EventAgentRecovered, Peer: t.address, Age: relay.AgeOf(now, t.heardAt)})
	}
	t.load = m.Load
	t.heardAt = now
	t.sent = 0
	t.fullUntil = time.Time{}
	t.lateUntil = time.Time{}
	if m.Load.Headroom > 0 && len(b.waiting) > 0 {
		b.serveAt(now, t)
	}
}

// noteSilence notes the agents that have fallen silent since the last look.
func (b *Balancer) noteSilence(now time.Time) {
	for _, t := range b.targets {
		if !t.fellSilent && t.runs() && t.silent(now) {
			t.fellSilent = true
			b.do.OnDecision(relay.Decision{Event: relay.EventAgentTimedOut, Peer: t.address, Age: relay.AgeOf(now, t.heardAt)})
		}
	}
}

// AcceptingTargets returns how many targets may be given new flows.
func (b *Balancer) AcceptingTargets(now time.Time) int {
	count := 0
	for _, t := range b.targets {
		if t.takes(now) {
			count++
		}
	}
	return count
}

// holders returns the targets that may hold a flow to an address: all of them before the first configuration. Those
// whose target is gone hold none.
func (b *Balancer) holders(virtual state.Endpoint) []*target {
	var found []*target
	for service, targets := range b.byService {
		if b.config.Version != 0 && !slices.Contains(b.served[virtual], service) {
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
		if !t.heardAt.IsZero() {
			t.heardAt = t.heardAt.Add(gap)
		}
	}
}

// MessagesDropped notes that messages of other nodes were dropped here: whoever seems silent may have been heard.
func (b *Balancer) MessagesDropped(now time.Time) { b.missedAt = now }

// missedLately reports whether silence proves nothing, because this balancer has fallen behind.
func (b *Balancer) missedLately(now time.Time) bool {
	return !b.missedAt.IsZero() && now.Sub(b.missedAt) < missedTime
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
		ActiveVersion: b.config.Version, Flows: len(b.flows), Searches: len(b.searches), Queued: len(b.waiting), Targets: b.rows(now),
	}
}

// rows returns what is known of all targets.
func (b *Balancer) rows(now time.Time) []TargetStatus {
	rows := make([]TargetStatus, 0, len(b.targets))
	for _, t := range b.targets {
		rows = append(rows, TargetStatus{
			Address: t.address, Agent: t.id, Service: t.service, Health: t.health, Accepting: t.takes(now),
			Load: t.load, ReportAge: relay.AgeOf(now, t.heardAt), SentSinceReport: t.sent,
		})
	}
	return rows
}

// hearsMost reports whether most agents are heard, so that the silence of one is not this balancer's own.
func (b *Balancer) hearsMost(now time.Time) bool {
	if b.missedLately(now) {
		return false
	}
	heard, all := 0, 0
	for _, t := range b.targets {
		if !t.runs() {
			continue
		}
		all++
		if !t.heardAt.IsZero() && !t.silent(now) {
			heard++
		}
	}
	return heard*heardOf >= all*heardShare
}
