package steer

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// located reports whether an agent has said that its target holds the flow.
func (p *placement) located() bool { return p.evidence >= relay.EvidenceAssumed }

// isUnanswered reports whether the target that the flow was offered to has had enough time to answer and did not.
func (p *placement) isUnanswered(now time.Time) bool {
	return !p.located() && now.Sub(p.since) >= confirmTimeout
}

// replaces reports whether a statement that a target holds a flow replaces the flow's placement. A flow does not move, so of two statements
// about different targets one is wrong: the one with weaker evidence, whichever came first. With the same evidence the first one stays, as
// long as its agent runs; should it be wrong, that agent will report that its target does not hold the flow.
func (b *Balancer) replaces(now time.Time, p *placement, t *target, evidence relay.Evidence) bool {
	switch {
	case p.target == t || !p.located() || evidence > p.evidence:
		return true
	case evidence < p.evidence:
		return b.presumedDead(now, p.target)
	default:
		return !p.target.running()
	}
}

// locate records that a target holds a flow.
func (b *Balancer) locate(now time.Time, flow state.FlowID, t *target, evidence relay.Evidence) {
	p := b.flows[flow]
	if p == nil {
		b.flows[flow] = &placement{target: t, since: now, evidence: evidence}
		return
	}
	if p.located() && p.target != t {
		b.actions.OnDecision(relay.Decision{
			Event: relay.EventRelocated, Flow: flow, Peer: t.address, Config: b.config.Version, Age: now.Sub(p.since), Evidence: evidence,
		})
	}
	if p.target != t || evidence > p.evidence {
		p.evidence = evidence
	}
	p.target = t
}

// isGone reports whether a target's flows count as lost: its agent is presumed dead, or it is unresponsive and the requests of the route are
// idempotent, so that the client can send them elsewhere after a reset.
func (b *Balancer) isGone(now time.Time, route state.Route, t *target) bool {
	return b.presumedDead(now, t) || route.Idempotent && t.unresponsive(now) && b.mostAgentsResponsive(now)
}

// handleGone handles a packet of a flow whose target is gone. The flow is reset if the target is known to have held it. If that was only
// assumed, or the target did not answer the opening packet, the flow may be open elsewhere and is searched for.
func (b *Balancer) handleGone(now time.Time, seg state.Segment, p *placement) {
	if p.evidence == relay.EvidenceConfirmed {
		b.dropFlow(now, seg, p)
		return
	}
	b.searchAgain(now, seg)
}

// searchAgain deletes a flow's placement, which may be wrong, and searches for the holder.
func (b *Balancer) searchAgain(now time.Time, seg state.Segment) {
	delete(b.flows, seg.Flow)
	b.startSearch(now, seg, nil)
}
