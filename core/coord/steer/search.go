package steer

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// lookupTimeout is how long the owners of a flow have to reply before the agents are searched.
	lookupTimeout = 40 * time.Millisecond
	// batchTimeout is how long the agents of one batch have to reply before the next batch is asked as well.
	batchTimeout = 150 * time.Millisecond
	// batchGrowthFactor is the ratio of the sizes of two successive batches.
	batchGrowthFactor = 2
	// maxEarlyQueries is the maximum number of targets of other services that are queried together with those of the flow's services.
	// So many queries and replies have about as many bytes as one probe.
	maxEarlyQueries = 64
	// maxKeptPackets is how many packets of one flow are kept until its search ends.
	maxKeptPackets = 4
	// discoverySettleTime is how long a balancer must have discovered no new agent before its list of agents counts as
	// complete: an agent that starts is known to all nodes within about 100 ms.
	discoverySettleTime = 200 * time.Millisecond
	// startupSettleTime is the same since the balancer's own start: instances that start together do so within 300 ms.
	startupSettleTime = 400 * time.Millisecond
	// searchRetryInterval is the time until a search continues for which there were no tokens for probes, or which can't be
	// concluded yet although no known agent holds the flow.
	searchRetryInterval = 100 * time.Millisecond
	// searchTimeout limits a search; the client's next retransmission starts another one.
	searchTimeout = 5 * time.Second
)

// search is the state of the search for the holder of a flow. It starts with lookups at the flow's owners. If these don't
// know the flow, the agents are asked: with a query that names many flows if the agent knows all flows of its target,
// and otherwise with a probe, which carries the packet for the agent to try at its target.
type search struct {
	// segment is the packet that started the search; it is the first one in kept.
	segment state.Segment
	// kept are the packets that are sent to the holder once it is found.
	kept []state.Segment
	// owners are the owners that were asked and have not replied yet.
	owners []netip.AddrPort
	// pending are the targets that were queried or probed and have not replied.
	pending []*target
	// probed are the targets that were sent the first packet with a probe; if the holder is among them, it has that
	// packet.
	probed []*target
	// unresolved are the targets whose agents can't tell without a packet whether they hold the flow.
	unresolved []*target
	// retries is how often agents that did not reply were asked again, and askAgainAt is when they are asked next.
	retries    int
	askAgainAt time.Time
	// targetsVersion is the version of the balancer's targets when the agents to ask were last determined.
	targetsVersion uint64
	// logged is true once the search was logged as unresolved.
	logged bool
	// notFound are the targets that do not hold the flow.
	notFound []*target
	// skipped are the targets whose agents were asked and are unresponsive, if the flow's requests are idempotent.
	skipped []*target
	// agentPhase is true once agents rather than owners are asked.
	agentPhase bool
	// unresolvedReason is why the search was not concluded when no asked target held the flow.
	unresolvedReason relay.Reason
	// batchSize is how many agents are probed next.
	batchSize int
	// since is when the search started.
	since time.Time
	// deadline is when handleSearchTimeout is called next.
	deadline time.Time
}

// keep keeps a copy of a packet until the search ends.
func (s *search) keep(seg state.Segment) {
	if len(s.kept) < maxKeptPackets {
		seg.Packet = bytes.Clone(seg.Packet)
		s.kept = append(s.kept, seg)
	}
}

// startSearch starts the search for the holder of a flow. The targets in notFound are known not to hold it; if there
// are any, the owners are not asked.
func (b *Balancer) startSearch(now time.Time, seg state.Segment, notFound []*target) {
	s := &search{since: now, notFound: notFound}
	s.keep(seg)
	s.segment = s.kept[0]
	b.addSearch(s)
	b.actions.OnDecision(relay.Decision{Event: relay.EventSearch, Flow: seg.Flow, Config: b.config.Version, Count: len(notFound)})
	if len(notFound) == 0 {
		b.lookUpAtOwners(now, s)
	}
	if len(s.owners) == 0 {
		b.searchAgents(now, s)
	}
}

// lookUpAtOwners sends a lookup to each owner of the flow other than this balancer.
func (b *Balancer) lookUpAtOwners(now time.Time, s *search) {
	s.deadline = now.Add(lookupTimeout)
	for _, owner := range b.owners.Of(s.segment.Flow) {
		if owner == b.settings.Self {
			continue
		}
		s.owners = append(s.owners, owner)
		b.actions.Send(owner, relay.Message{Kind: relay.KindLookup, Flow: s.segment.Flow})
	}
}

// searchAgents starts to search the agents whose targets may hold the flow. A new flow is placed instead: no owner
// knows it.
func (b *Balancer) searchAgents(now time.Time, s *search) {
	s.owners = nil
	if s.segment.Opens {
		b.searches.remove(s.segment.Flow)
		b.placeSearched(now, s)
		return
	}
	s.agentPhase = true
	s.batchSize = candidateCount
	b.searchNextBatch(now, s)
}

// searchNextBatch asks the next agents, in the order of their rank for the flow. If none is left and all have replied,
// it concludes that the flow was not found.
func (b *Balancer) searchNextBatch(now time.Time, s *search) {
	s.deadline = now.Add(batchTimeout)
	s.targetsVersion = b.targets.version
	remaining := b.remainingTargets(now, s)
	if len(remaining) == 0 {
		if len(s.pending) == 0 {
			b.concludeNotFound(now, s)
		}
		return
	}
	remaining = slices.DeleteFunc(remaining, func(t *target) bool {
		queried := b.enqueueQuery(s, t)
		if queried {
			t.asked(now)
		}
		return queried
	})
	b.probeAgents(now, s, remaining)
}

// enqueueQuery adds the flow to the next query to an agent, and reports whether it did: an agent that does not know all
// flows of its target, or could not resolve this one, has to be probed instead.
func (b *Balancer) enqueueQuery(s *search, t *target) bool {
	if !t.load.KnowsAllFlows || slices.Contains(s.unresolved, t) {
		return false
	}
	s.pending = append(s.pending, t)
	if len(t.queryFlows) == 0 {
		b.searches.targetsToQuery = append(b.searches.targetsToQuery, t)
	}
	t.queryFlows = append(t.queryFlows, s.segment.Flow)
	if len(t.queryFlows) == relay.MaxFlows {
		b.sendQuery(t)
	}
	return true
}

// probeAgents probes agents that have to try the packet at their targets: only one batch at a time, since the search
// ends with the first target that holds the flow.
func (b *Balancer) probeAgents(now time.Time, s *search, remaining []*target) {
	if len(remaining) == 0 {
		return
	}
	wanted := min(s.batchSize, len(remaining))
	allowed := b.searches.probeLimiter.take(now, wanted, len(s.segment.Packet))
	if allowed == 0 {
		s.deadline = now.Add(searchRetryInterval)
		return
	}
	remaining = remaining[:allowed]
	if allowed == wanted {
		s.batchSize *= batchGrowthFactor
	}
	for _, t := range remaining {
		t.asked(now)
		s.pending = append(s.pending, t)
		s.probed = append(s.probed, t)
		b.forward(relay.KindProbe, t, s.segment)
	}
}

// FlushQueries sends the queries that have accumulated. It must be called when no further event is
// pending: after an outage a balancer searches for hundreds of flows at once, and one query has room for many.
func (b *Balancer) FlushQueries() {
	for _, t := range b.searches.targetsToQuery {
		b.sendQuery(t)
	}
	b.searches.targetsToQuery = b.searches.targetsToQuery[:0]
}

// sendQuery sends the accumulated flows of one agent as a query.
func (b *Balancer) sendQuery(t *target) {
	if len(t.queryFlows) == 0 {
		return
	}
	b.actions.Send(t.address, relay.Message{
		Kind: relay.KindQuery, Service: t.service.ID(), Config: b.config.Version, Flows: t.queryFlows,
	})
	t.queryFlows = nil
}

// remainingTargets returns the targets that may hold the flow and have not been asked, in the order in which they are
// considered for it: it is most likely at the target where it would be placed today. The targets of services to which the
// address may have been routed before this balancer knew of it follow only after all others were asked, but for those that
// can be queried at once, if these are few.
func (b *Balancer) remainingTargets(now time.Time, s *search) []*target {
	known, unknown := b.possibleHolders(now, s.segment.Flow.Virtual)
	remaining := b.unaskedTargets(now, s, known)
	if len(remaining) > 0 && len(unknown) > maxEarlyQueries {
		return remaining
	}
	if len(remaining) > 0 {
		unknown = slices.DeleteFunc(unknown, func(t *target) bool { return !t.load.KnowsAllFlows })
	}
	return append(remaining, b.unaskedTargets(now, s, unknown)...)
}

// unaskedTargets returns those of some targets that have not been asked in a search, in the order in which they are considered for its
// flow.
func (b *Balancer) unaskedTargets(now time.Time, s *search, targets []*target) []*target {
	var unasked []*target
	groups := b.targets.candidateGroups(s.segment.Flow, targets)
	for _, t := range slices.Concat(groups...) {
		if !slices.Contains(s.notFound, t) && !slices.Contains(s.pending, t) && !b.presumedDead(now, t) && !slices.Contains(s.skipped, t) {
			unasked = append(unasked, t)
		}
	}
	return unasked
}

// placeSearched places a new flow that no owner knows.
func (b *Balancer) placeSearched(now time.Time, s *search) {
	if b.config.Version == 0 {
		b.enqueue(now, s.segment, &placement{queuedAt: s.since}, relay.ReasonNotReady)
		return
	}
	route, ok := b.config.Routes[s.segment.Flow.Virtual]
	if !ok {
		b.resetUnrouted(s.segment)
		return
	}
	b.place(now, route, s.segment, &placement{since: now, tried: s.notFound})
}

// concludeNotFound ends a search in which no asked target held the flow: it resets the flow, at once or as soon as this
// balancer can be sure that it knows all agents.
func (b *Balancer) concludeNotFound(now time.Time, s *search) {
	if unresolvedReason := b.unresolvedReason(now, s.segment.Flow.Virtual); unresolvedReason != relay.ReasonNone {
		s.deadline = now.Add(searchRetryInterval)
		s.unresolvedReason = unresolvedReason
		return
	}
	b.searches.remove(s.segment.Flow)
	b.reset(s.segment, relay.Decision{Age: now.Sub(s.since), Count: len(s.notFound), Unasked: b.countUnasked(s)})
}

// countUnasked returns how many running agents were not asked in a search that ends.
func (b *Balancer) countUnasked(s *search) int {
	count := 0
	for _, t := range b.targets.byAddress {
		if t.running() {
			count++
		}
	}
	for _, t := range s.notFound {
		if t.running() {
			count--
		}
	}
	return count
}

// unresolvedReason returns why the flow may have a holder although no known agent has it; ReasonNone if there is none.
func (b *Balancer) unresolvedReason(now time.Time, virtual state.Endpoint) relay.Reason {
	switch {
	case b.config.Version == 0:
		return relay.ReasonNotReady
	case !b.membershipComplete || !b.knowsAgents(virtual):
		return relay.ReasonIncompleteMembership
	case now.Sub(b.started) <= startupSettleTime || now.Sub(b.targets.lastNewAgentAt) <= discoverySettleTime:
		return relay.ReasonSettling
	default:
		return relay.ReasonNone
	}
}

// knowsAgents reports whether any agent is known whose target may serve an address. If there is none, it is this
// balancer's list of agents that was lost, and not the flow.
func (b *Balancer) knowsAgents(virtual state.Endpoint) bool {
	for _, service := range b.routeHistory.services[virtual] {
		if len(b.targets.byService[service]) > 0 {
			return true
		}
	}
	return false
}

// concludeFound ends a search and sends the kept packets to the holder, without the first one if a probe has delivered
// it.
func (b *Balancer) concludeFound(now time.Time, s *search, t *target, evidence relay.Evidence, delivered bool) {
	b.searches.remove(s.segment.Flow)
	b.actions.OnDecision(relay.Decision{
		Event: relay.EventFound, Flow: s.segment.Flow, Peer: t.address, Config: b.config.Version, Age: now.Sub(s.since),
		Evidence: evidence,
	})
	for i, seg := range s.kept {
		if i == 0 && delivered {
			continue
		}
		if seg.Opens {
			b.offer(t, seg, false)
			continue
		}
		b.forward(relay.KindData, t, seg)
	}
}
