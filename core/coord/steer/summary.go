package steer

import (
	"net/netip"
	"time"

	"monsoonstep/core/coord/queue"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// AcceptingTargets returns how many targets can be given a new flow now.
func (b *Balancer) AcceptingTargets(now time.Time) int {
	count := 0
	for _, t := range b.targets.byAddress {
		if t.accepting(now) {
			count++
		}
	}
	return count
}

// TargetStatus is the state of one target for operators.
type TargetStatus struct {
	Address   netip.AddrPort
	Agent     state.InstanceID
	Service   state.ServiceName
	Health    state.Health
	Accepting bool
	Load      relay.Load
	// ReportAge is the time since the last load report, zero if there was none; UnansweredOffers is how many new flows were
	// offered to the target since then and neither confirmed nor refused.
	ReportAge        time.Duration
	UnansweredOffers int
}

// Summary is the state of a balancer for operators.
type Summary struct {
	ActiveVersion state.ConfigVersion
	// Flows is the number of flows with a placement, Searches that of flows being searched for, Queued that of queued
	// flows.
	Flows    int
	Searches int
	Queued   int
	Targets  []TargetStatus
	// Queues is what is queued for each service that has queued flows.
	Queues map[state.ServiceName]queue.Counts
}

// Summary returns the balancer's present state.
func (b *Balancer) Summary(now time.Time) Summary {
	return Summary{
		Queues:        b.queue.Counts(now),
		ActiveVersion: b.config.Version, Flows: len(b.flows), Searches: len(b.searches.byFlow), Queued: b.queue.Len(), Targets: b.statuses(now),
	}
}

// statuses returns the state of all targets.
func (b *Balancer) statuses(now time.Time) []TargetStatus {
	statuses := make([]TargetStatus, 0, len(b.targets.byAddress))
	for _, t := range b.targets.byAddress {
		statuses = append(statuses, TargetStatus{
			Address: t.address, Agent: t.id, Service: t.service, Health: t.health, Accepting: t.accepting(now),
			Load: t.load, ReportAge: relay.AgeOf(now, t.lastReportAt), UnansweredOffers: t.unansweredOffers,
		})
	}
	return statuses
}
