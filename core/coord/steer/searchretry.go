package steer

import (
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
)

// askAgainIntervals are the times between two queries or probes of a search to agents that did not reply; the last one repeats. The
// first is short because datagrams are occasionally lost.
var askAgainIntervals = []time.Duration{batchTimeout, 300 * time.Millisecond, 600 * time.Millisecond}

// addSearch adds a search. One that ends for it ends without a reset: its flow may have a holder.
func (b *Balancer) addSearch(s *search) {
	for _, dropped := range b.searches.add(s) {
		b.actions.OnDecision(relay.Decision{
			Event: relay.EventSearchDropped, Flow: dropped.segment.Flow, Config: b.config.Version, Age: s.since.Sub(dropped.since),
		})
	}
}

// handleSearchTimeout continues or ends a search whose deadline has passed: from the owners to the agents, to the next
// batch, or to another attempt at the agents that have not replied.
func (b *Balancer) handleSearchTimeout(now time.Time, s *search) {
	switch {
	case !s.agentPhase:
		b.searchAgents(now, s)
	case now.Sub(s.since) > searchTimeout:
		b.abandonSearch(now, s)
	case b.removeSilentAgents(now, s) || s.targetsVersion != b.targets.version || len(s.pending) == 0:
		b.continueSearch(now, s)
	case s.askAgainAt.IsZero() || !now.Before(s.askAgainAt):
		b.continueSearch(now, s)
	default:
		s.deadline = now.Add(batchTimeout)
	}
}

// removeSilentAgents removes the pending agents from which no reply is needed any more: those that are presumed dead and, if the flow's
// requests are idempotent, those that are unresponsive. It reports whether there were any.
func (b *Balancer) removeSilentAgents(now time.Time, s *search) bool {
	skipUnresponsive := b.config.Routes[s.segment.Flow.Virtual].Idempotent && b.mostAgentsResponsive(now)
	before := len(s.pending)
	s.pending = slices.DeleteFunc(s.pending, func(t *target) bool {
		if skipUnresponsive && t.unresponsive(now) {
			s.skipped = append(s.skipped, t)
			return true
		}
		return b.presumedDead(now, t)
	})
	return len(s.pending) < before
}

// continueSearch asks the next agents or, if all were asked, those that have not replied once more.
func (b *Balancer) continueSearch(now time.Time, s *search) {
	allAsked := len(s.pending) > 0 && len(b.remainingTargets(now, s)) == 0
	if allAsked && now.Before(s.askAgainAt) {
		s.deadline = now.Add(batchTimeout)
		s.targetsVersion = b.targets.version
		return
	}
	if allAsked {
		if s.retries > 0 {
			b.logUnresolved(now, s)
		}
		s.retries++
		s.askAgainAt = now.Add(askAgainIntervals[min(s.retries, len(askAgainIntervals)-1)])
		s.pending = nil
	}
	b.searchNextBatch(now, s)
}

// abandonSearch ends an unresolved search without a reset; the client's next retransmission starts another one.
func (b *Balancer) abandonSearch(now time.Time, s *search) {
	b.searches.remove(s.segment.Flow)
	b.logUnresolved(now, s)
}

// logUnresolved logs once why a search is not concluded.
func (b *Balancer) logUnresolved(now time.Time, s *search) {
	if s.logged {
		return
	}
	s.logged = true
	d := relay.Decision{
		Event: relay.EventUnresolved, Flow: s.segment.Flow, Reason: s.unresolvedReason, Config: b.config.Version,
		Age: now.Sub(s.since), Count: len(s.pending),
	}
	if len(s.pending) > 0 {
		d.Reason = relay.ReasonNoReply
		d.Peer = s.pending[0].address
	}
	b.actions.OnDecision(d)
}
