package steer

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// ownerWait is how long the owners of a flow have to answer before all agents are asked.
	ownerWait = 40 * time.Millisecond
	// agentWait is how long the agents of one batch have to answer before the next ones are asked too.
	agentWait = 150 * time.Millisecond
	// batchGrowth is by how much each batch is larger than the one before.
	batchGrowth = 2
	// asksPerSecond bounds the packets that one balancer sends to look for flows: they share its link with the flows
	// that have been found. asksBurst is what it may send at once.
	asksPerSecond = 4000
	asksBurst     = 400
	// askRepeats is how often agents that do not answer are asked again: datagrams are lost now and then.
	askRepeats = 1
	// maxHeld is how many packets of one flow wait for the end of a search.
	maxHeld = 4
	// settleTime is how long a balancer must have heard of no new agent before it takes its list of agents for complete;
	// an agent that starts is known everywhere within about 100 ms.
	settleTime = 200 * time.Millisecond
	// settleStart is the same since its own start: machines that start together do so within 300 ms.
	settleStart = 400 * time.Millisecond
	// doubtWait is the time between two looks whether a flow that all known agents denied can be given up.
	doubtWait = 100 * time.Millisecond
	// searchLimit bounds a search; the client's next copy starts another one.
	searchLimit = 5 * time.Second
)

// search is the question who holds a flow.
type search struct {
	// segment is the packet that began the search; its Packet is the first of held.
	segment state.Segment
	held    [][]byte
	// owners are those that have not answered yet.
	owners []netip.AddrPort
	// asked are the targets that were asked and have not answered.
	asked []*target
	// carried are the targets that were asked with the packet; the holder among them has it.
	carried []*target
	// unsure are the targets whose agents can't tell without a packet.
	unsure []*target
	// repeats is how often agents that did not answer were asked again.
	repeats int
	// denied are the targets that do not hold the flow.
	denied []*target
	// skipped are the targets whose agents were asked and are silent, if the flow's requests may be repeated.
	skipped []*target
	// agents is true once agents are asked, and no longer owners.
	agents bool
	// doubt is why the search was not concluded when all that were asked had denied the flow.
	doubt relay.Reason
	// batch is how many agents are asked next.
	batch    int
	since    time.Time
	deadline time.Time
}

// hold keeps a copy of a packet until the search ends.
func (s *search) hold(packet []byte) {
	if len(s.held) < maxHeld {
		s.held = append(s.held, append([]byte(nil), packet...))
	}
}

// startSearch begins to look for the holder of a flow; denied targets are known not to hold it.
func (b *Balancer) startSearch(now time.Time, seg state.Segment, denied []*target) {
	s := &search{segment: seg, since: now, denied: denied}
	s.hold(seg.Packet)
	s.segment.Packet = s.held[0]
	b.searches[seg.Flow] = s
	b.do.OnDecision(relay.Decision{Event: relay.EventSearch, Flow: seg.Flow, Config: b.config.Version, Count: len(denied)})
	if len(denied) == 0 {
		b.askOwners(now, s)
	}
	if len(s.owners) == 0 {
		b.askAgents(now, s)
	}
}

func (b *Balancer) askOwners(now time.Time, s *search) {
	s.deadline = now.Add(ownerWait)
	for _, owner := range b.owners.Of(s.segment.Flow) {
		if owner == b.settings.Self {
			continue
		}
		s.owners = append(s.owners, owner)
		b.do.Send(owner, relay.Message{Kind: relay.KindLookup, Flow: s.segment.Flow})
	}
}

// askAgents begins to ask the agents whose target may hold the flow, with the packet.
func (b *Balancer) askAgents(now time.Time, s *search) {
	s.owners = nil
	if s.segment.Opens {
		b.endSearch(s.segment.Flow)
		b.placeSearched(now, s)
		return
	}
	s.agents = true
	s.batch = choices
	b.askNext(now, s)
}

// askNext asks the next batch of agents, the likeliest first. Without any left it concludes if all have answered.
func (b *Balancer) askNext(now time.Time, s *search) {
	s.deadline = now.Add(agentWait)
	rest := b.unasked(now, s)
	if len(rest) == 0 {
		if len(s.asked) == 0 {
			b.conclude(now, s)
		}
		return
	}
	rest = slices.DeleteFunc(rest, func(t *target) bool { return b.askByName(s, t) })
	b.askWithPacket(now, s, rest)
}

// askByName asks an agent that knows all flows of its target, with the next message to it. It reports whether it did.
func (b *Balancer) askByName(s *search, t *target) bool {
	if !t.load.KnowsAllFlows || slices.Contains(s.unsure, t) {
		return false
	}
	s.asked = append(s.asked, t)
	if len(t.questions) == 0 {
		b.asking = append(b.asking, t)
	}
	t.questions = append(t.questions, s.segment.Flow)
	if len(t.questions) == relay.MaxFlows {
		b.ask(t)
	}
	return true
}

// askWithPacket asks agents that have to try the packet at their targets: a few at a time, since the search ends with
// the first that holds the flow.
func (b *Balancer) askWithPacket(now time.Time, s *search, rest []*target) {
	rest = rest[:min(s.batch, len(rest))]
	if !b.asks.take(now, len(rest)) {
		s.deadline = now.Add(doubtWait)
		return
	}
	s.batch *= batchGrowth
	for _, t := range rest {
		s.asked = append(s.asked, t)
		s.carried = append(s.carried, t)
		b.forward(relay.KindProbe, t, s.segment)
	}
}

// FlushQueries is called when no further event waits. It sends the questions that have gathered: after an outage a balancer looks
// for hundreds of flows at once.
func (b *Balancer) FlushQueries() {
	for _, t := range b.asking {
		b.ask(t)
	}
	b.asking = b.asking[:0]
}

// ask sends the questions for an agent.
func (b *Balancer) ask(t *target) {
	if len(t.questions) == 0 {
		return
	}
	b.do.Send(t.address, relay.Message{
		Kind: relay.KindQuery, Service: t.service.ID(), Config: b.config.Version, Flows: t.questions,
	})
	t.questions = nil
}

// unasked returns the targets that may hold the flow and were not asked, in the order in which a balancer prefers them
// for it: a flow is most likely where it would be placed again.
func (b *Balancer) unasked(now time.Time, s *search) []*target {
	var rest []*target
	for _, t := range ranked(s.segment.Flow, b.holders(s.segment.Flow.Virtual)) {
		if !slices.Contains(s.denied, t) && !slices.Contains(s.asked, t) && !t.lost(now) && !slices.Contains(s.skipped, t) {
			rest = append(rest, t)
		}
	}
	return rest
}

// placeSearched offers a new flow whose place no owner knows.
func (b *Balancer) placeSearched(now time.Time, s *search) {
	if b.config.Version == 0 {
		b.wait(now, s.segment, &place{waited: s.since}, relay.ReasonNotReady)
		return
	}
	route, ok := b.config.Routes[s.segment.Flow.Virtual]
	if !ok {
		b.refuseRoute(s.segment)
		return
	}
	b.place(now, route, s.segment, &place{since: now, tried: s.denied})
}

func (b *Balancer) endSearch(flow state.FlowID) { delete(b.searches, flow) }

// conclude ends a search in which all that were asked denied the flow. The client is told at once, or as soon as this
// balancer can be sure that there is no agent that it has not heard of.
func (b *Balancer) conclude(now time.Time, s *search) {
	if doubt := b.doubt(now, s.segment.Flow.Virtual); doubt != relay.ReasonNone {
		s.deadline = now.Add(doubtWait)
		s.doubt = doubt
		return
	}
	b.endSearch(s.segment.Flow)
	b.reset(s.segment, relay.Decision{Age: now.Sub(s.since), Count: len(s.denied)})
}

// doubt returns why denials by all known agents do not prove that nobody holds a flow.
func (b *Balancer) doubt(now time.Time, virtual state.Endpoint) relay.Reason {
	switch {
	case b.config.Version == 0:
		return relay.ReasonNotReady
	case !b.complete || !b.knowsAgents(virtual):
		return relay.ReasonIncompleteMembership
	case now.Sub(b.started) <= settleStart || now.Sub(b.lastArrival) <= settleTime:
		return relay.ReasonSettling
	default:
		return relay.ReasonNone
	}
}

// knowsAgents reports whether any agent is known whose target may serve an address. A balancer that knows none has lost
// them, rather than they their flows.
func (b *Balancer) knowsAgents(virtual state.Endpoint) bool {
	for _, service := range b.served[virtual] {
		if len(b.byService[service]) > 0 {
			return true
		}
	}
	return false
}

// expireSearch goes on when answers stay out.
func (b *Balancer) expireSearch(now time.Time, s *search) {
	if !s.agents {
		b.askAgents(now, s)
		return
	}
	ignoreSilent := b.config.Routes[s.segment.Flow.Virtual].Idempotent && b.hearsMost(now)
	s.asked = slices.DeleteFunc(s.asked, func(t *target) bool {
		if ignoreSilent && t.silent(now) {
			s.skipped = append(s.skipped, t)
			return true
		}
		return t.lost(now)
	})
	unanswered := len(s.asked) > 0 && len(b.unasked(now, s)) == 0
	if now.Sub(s.since) > searchLimit || unanswered && s.repeats == askRepeats {
		b.giveUp(now, s)
		return
	}
	if unanswered {
		s.repeats++
		s.asked = nil
	}
	b.askNext(now, s)
}

// giveUp ends a search without a finding; the client's next copy starts another one.
func (b *Balancer) giveUp(now time.Time, s *search) {
	b.endSearch(s.segment.Flow)
	d := relay.Decision{
		Event: relay.EventUnresolved, Flow: s.segment.Flow, Reason: s.doubt, Config: b.config.Version,
		Age: now.Sub(s.since), Count: len(s.asked),
	}
	if len(s.asked) > 0 {
		d.Reason = relay.ReasonNoReply
		d.Peer = s.asked[0].address
	}
	b.do.OnDecision(d)
}

// found ends a search: the packets that waited go to the holder. One that came with an ask was delivered.
func (b *Balancer) found(now time.Time, s *search, t *target, delivered bool) {
	b.endSearch(s.segment.Flow)
	b.do.OnDecision(relay.Decision{
		Event: relay.EventFound, Flow: s.segment.Flow, Peer: t.address, Config: b.config.Version, Age: now.Sub(s.since),
	})
	for i, packet := range s.held {
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
