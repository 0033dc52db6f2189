package steer

import (
	"net/netip"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// SetMembers applies the current membership.
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
	for address, t := range b.targets.byAddress {
		if _, ok := newest[address]; !ok && t.running() {
			t.health = state.HealthDead
			t.changedAt = now
		}
	}
	b.targets.index()
}

// supersedes reports whether m rather than old is the current one of two processes at one address: a running process
// comes before one that is not, then the one that started later by its own clock.
func supersedes(m, old state.Member) bool {
	if m.Present() != old.Present() {
		return m.Present()
	}
	return m.ID.Started() > old.ID.Started()
}

// AddDepartures adds agents that left as planned before this balancer knew them. They may return beside targets that hold flows, so their
// flows are kept like those of agents that leave while the balancer knows them.
func (b *Balancer) AddDepartures(now time.Time, departures []state.Departure) {
	for _, d := range departures {
		if b.targets.byAddress[d.Member.Flow] != nil {
			continue
		}
		b.updateTarget(now, d.Member)
		b.targets.byAddress[d.Member.Flow].changedAt = now.Add(-d.Age)
	}
	if len(departures) > 0 {
		b.targets.index()
	}
}

// setMember applies the membership's state of one agent. One that is not present and was not known is left out; see AddDepartures for
// those that may return.
func (b *Balancer) setMember(now time.Time, m state.Member) {
	if b.targets.byAddress[m.Flow] != nil || m.Present() {
		b.updateTarget(now, m)
	}
}

// updateTarget updates the entry of an agent, and adds it if there is none.
func (b *Balancer) updateTarget(now time.Time, m state.Member) {
	t := b.targets.byAddress[m.Flow]
	if t == nil || t.service != m.Service {
		t = b.replaceTarget(now, t, m)
	}
	if t.id != m.ID {
		t.id = m.ID
		t.lastReportAt = time.Time{}
		t.heard(time.Time{})
		t.loadAt = time.Time{}
		t.load = relay.Load{Slots: m.Slots, ReportInterval: b.reportInterval()}
		t.changedAt = now
		t.startedAt = now
		t.unansweredOffers = 0
		t.avoidUntil = time.Time{}
		t.fullUntil = time.Time{}
		t.refusesLateUntil = time.Time{}
		t.timedOut = false
	}
	if t.health != m.Health || t.phase != m.Phase {
		t.changedAt = now
	}
	t.member = true
	t.health = m.Health
	t.phase = m.Phase
	t.dataCentre = m.DataCentre
	t.region = m.Region
}

// replaceTarget adds an entry for an agent at a new address, or for one of another service at a known address; the
// flows of the former agent there are then lost.
func (b *Balancer) replaceTarget(now time.Time, former *target, m state.Member) *target {
	if former != nil {
		former.health = state.HealthDead
		former.lastReportAt = time.Time{}
		former.lastHeardAt = time.Time{}
	}
	t := &target{address: m.Flow, service: m.Service, hash: relay.NodeHash(m.Flow), changedAt: now, evacuations: &b.evacuations}
	b.targets.byAddress[m.Flow] = t
	b.targets.lastNewAgentAt = now
	return t
}
