package steer

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// lookupTimeout is how long the owners of a flow have to answer before all agents are asked.
	lookupTimeout = 40 * time.Millisecond
	// batchTimeout is how long the agents of one batch have to answer before the next ones are asked too.
	batchTimeout = 150 * time.Millisecond
	// batchGrowthFactor is by how much each batch is larger than the one before.
	batchGrowthFactor = 2
	// probesPerSecond bounds the packets that one balancer sends to look for flows: they share its link with the flows
	// that have been found. asksBurst is what it may send at once.
	probesPerSecond = 4000
	probeBurst      = 400
	// maxSearchRetries is how often agents that do not answer are asked again: datagrams are lost now and then.
	maxSearchRetries = 1
	// maxKeptPackets is how many packets of one flow wait for the end of a search.
	maxKeptPackets = 4
	// discoverySettleTime is how long a balancer must have heard of no new agent before it takes its list of agents for complete;
	// an agent that starts is known everywhere within about 100 ms.
	discoverySettleTime = 200 * time.Millisecond
	// startupSettleTime is the same since its own start: machines that start together do so within 300 ms.
	startupSettleTime = 400 * time.Millisecond
	// searchRetryInterval is the time between two looks whether a flow that all known agents denied can be given up.
	searchRetryInterval = 100 * time.Millisecond
	// searchTimeout bounds a search; the client's next copy starts another one.
	searchTimeout = 5 * time.Second
)

// search is the question who holds a flow.
type search struct {
	// segment is the packet that began the search; its Packet is the first of held.
	segment state.Segment
	packets [][]byte
	// owners are those that have not answered yet.
	owners []netip.AddrPort
	// pending are the targets that were pending and have not answered.
	pending []*target
	// probed are the targets that were asked with the packet; the holder among them has it.
	probed []*target
	// unresolved are the targets whose agents can't tell without a packet.
	unresolved []*target
	// retries is how often agents that did not answer were asked again.
	retries int
	// notFound are the targets that do not hold the flow.
	notFound []*target
	// skipped are the targets whose agents were asked and are silent, if the flow's requests may be repeated.
	skipped []*target
	// agentPhase is true once agentPhase are asked, and no longer owners.
	agentPhase bool
	// unresolvedReason is why the search was not concluded when all that were asked had denied the flow.
	unresolvedReason relay.Reason
	// batchSize is how many agents are asked next.
	batchSize int
	since     time.Time
	deadline  time.Time
}

// keepPacket keeps a copy of a packet until the search ends.
func (s *search) keepPacket(packet []byte) {
	if len(s.packets) < maxKeptPackets {
		s.packets = append(s.packets, append([]byte(nil), packet...))
	}
}

// startSearch begins to look for the holder of a flow; denied targets are known not to hold it.
func (b *Balancer) startSearch(now time.Time, seg state.Segment, notFound []*target) {
	s := &search{segment: seg, since: now, notFound: notFound}
	s.keepPacket(seg.Packet)
	s.segment.Packet = s.packets[0]
	b.searches[seg.Flow] = s
	b.actions.OnDecision(relay.Decision{Event: relay.EventSearch, Flow: seg.Flow, Config: b.config.Version, Count: len(notFound)})
	if len(notFound) == 0 {
		b.lookUpAtOwners(now, s)
	}
	if len(s.owners) == 0 {
		b.searchAgents(now, s)
	}
}

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

// searchAgents begins to ask the agents whose target may hold the flow, with the packet.
func (b *Balancer) searchAgents(now time.Time, s *search) {
	s.owners = nil
	if s.segment.Opens {
		b.removeSearch(s.segment.Flow)
		b.placeSearched(now, s)
		return
	}
	s.agentPhase = true
	s.batchSize = candidateCount
	b.searchNextBatch(now, s)
}

// searchNextBatch asks the next batch of agents, the likeliest first. Without any left it concludes if all have answered.
func (b *Balancer) searchNextBatch(now time.Time, s *search) {
	s.deadline = now.Add(batchTimeout)
	remaining := b.remainingTargets(now, s)
	if len(remaining) == 0 {
		if len(s.pending) == 0 {
			b.concludeNotFound(now, s)
		}
		return
	}
	remaining = slices.DeleteFunc(remaining, func(t *target) bool { return b.enqueueQuery(s, t) })
	b.probeAgents(now, s, remaining)
}

// enqueueQuery asks an agent that knows all flows of its target, with the next message to it. It reports whether it did.
func (b *Balancer) enqueueQuery(s *search, t *target) bool {
	if !t.load.KnowsAllFlows || slices.Contains(s.unresolved, t) {
		return false
	}
	s.pending = append(s.pending, t)
	if len(t.queryFlows) == 0 {
		b.targetsToQuery = append(b.targetsToQuery, t)
	}
	t.queryFlows = append(t.queryFlows, s.segment.Flow)
	if len(t.queryFlows) == relay.MaxFlows {
		b.sendQuery(t)
	}
	return true
}

// probeAgents asks agents that have to try the packet at their targets: a few at a time, since the search ends with
// the first that holds the flow.
func (b *Balancer) probeAgents(now time.Time, s *search, remaining []*target) {
	remaining = remaining[:min(s.batchSize, len(remaining))]
	if !b.probeLimiter.take(now, len(remaining)) {
		s.deadline = now.Add(searchRetryInterval)
		return
	}
	s.batchSize *= batchGrowthFactor
	for _, t := range remaining {
		s.pending = append(s.pending, t)
		s.probed = append(s.probed, t)
		b.forward(relay.KindProbe, t, s.segment)
	}
}

// FlushQueries is called when no further event waits. It sends the questions that have gathered: after an outage a balancer looks
// for hundreds of flows at once.
func (b *Balancer) FlushQueries() {
	for _, t := range b.targetsToQuery {
		b.sendQuery(t)
	}
	b.targetsToQuery = b.targetsToQuery[:0]
}

// sendQuery sends the questions for an agent.
func (b *Balancer) sendQuery(t *target) {
	if len(t.queryFlows) == 0 {
		return
	}
	b.actions.Send(t.address, relay.Message{
		Kind: relay.KindQuery, Service: t.service.ID(), Config: b.config.Version, Flows: t.queryFlows,
	})
	t.queryFlows = nil
}

// remainingTargets returns the targets that may hold the flow and were not asked, in the order in which a balancer prefers them
// for it: a flow is most likely where it would be placed again.
func (b *Balancer) remainingTargets(now time.Time, s *search) []*target {
	var remaining []*target
	for _, t := range sortByRank(s.segment.Flow, b.possibleHolders(s.segment.Flow.Virtual)) {
		if !slices.Contains(s.notFound, t) && !slices.Contains(s.pending, t) && !t.presumedDead(now) && !slices.Contains(s.skipped, t) {
			remaining = append(remaining, t)
		}
	}
	return remaining
}

// placeSearched offers a new flow whose place no owner knows.
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

func (b *Balancer) removeSearch(flow state.FlowID) { delete(b.searches, flow) }

// concludeNotFound ends a search in which all that were asked denied the flow. The client is told at once, or as soon as this
// balancer can be sure that there is no agent that it has not heard of.
func (b *Balancer) concludeNotFound(now time.Time, s *search) {
	if unresolvedReason := b.unresolvedReason(now, s.segment.Flow.Virtual); unresolvedReason != relay.ReasonNone {
		s.deadline = now.Add(searchRetryInterval)
		s.unresolvedReason = unresolvedReason
		return
	}
	b.removeSearch(s.segment.Flow)
	b.reset(s.segment, relay.Decision{Age: now.Sub(s.since), Count: len(s.notFound)})
}

// unresolvedReason returns why denials by all known agents do not prove that nobody holds a flow.
func (b *Balancer) unresolvedReason(now time.Time, virtual state.Endpoint) relay.Reason {
	switch {
	case b.config.Version == 0:
		return relay.ReasonNotReady
	case !b.membershipComplete || !b.knowsAgents(virtual):
		return relay.ReasonIncompleteMembership
	case now.Sub(b.started) <= startupSettleTime || now.Sub(b.lastNewAgentAt) <= discoverySettleTime:
		return relay.ReasonSettling
	default:
		return relay.ReasonNone
	}
}

// knowsAgents reports whether any agent is known whose target may serve an address. A balancer that knows none has lost
// them, rather than they their flows.
func (b *Balancer) knowsAgents(virtual state.Endpoint) bool {
	for _, service := range b.servicesByAddress[virtual] {
		if len(b.targetsByService[service]) > 0 {
			return true
		}
	}
	return false
}

// handleSearchTimeout goes on when answers stay out.
func (b *Balancer) handleSearchTimeout(now time.Time, s *search) {
	if !s.agentPhase {
		b.searchAgents(now, s)
		return
	}
	skipUnresponsive := b.config.Routes[s.segment.Flow.Virtual].Idempotent && b.mostAgentsResponsive(now)
	s.pending = slices.DeleteFunc(s.pending, func(t *target) bool {
		if skipUnresponsive && t.unresponsive(now) {
			s.skipped = append(s.skipped, t)
			return true
		}
		return t.presumedDead(now)
	})
	unanswered := len(s.pending) > 0 && len(b.remainingTargets(now, s)) == 0
	if now.Sub(s.since) > searchTimeout || unanswered && s.retries == maxSearchRetries {
		b.abandonSearch(now, s)
		return
	}
	if unanswered {
		s.retries++
		s.pending = nil
	}
	b.searchNextBatch(now, s)
}

// abandonSearch ends a search without a finding; the client's next copy starts another one.
func (b *Balancer) abandonSearch(now time.Time, s *search) {
	b.removeSearch(s.segment.Flow)
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

// concludeFound ends a search: the packets that waited go to the holder. One that came with an ask was delivered.
func (b *Balancer) concludeFound(now time.Time, s *search, t *target, delivered bool) {
	b.removeSearch(s.segment.Flow)
	b.actions.OnDecision(relay.Decision{
		Event: relay.EventFound, Flow: s.segment.Flow, Peer: t.address, Config: b.config.Version, Age: now.Sub(s.since),
	})
	for i, packet := range s.packets {
		if i == 0 && delivered {
			continue
		}
		seg := s.segment
		seg.Packet = packet
		if seg.Opens {
			b.offer(t, seg, false)
			continue
		}
		b.forward(relay.KindData, t, seg)
	}
}
