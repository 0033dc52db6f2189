// Package steer decides how a balancer forwards the packets of opaque flows: it chooses a target for each new flow, and
// finds the holder of an open flow whose packets newly arrive at this balancer, which is the agent whose target has the
// flow open.
//
// Any balancer may receive any packet. A balancer's knowledge of flows is a cache: the agents are authoritative. They
// report the location of each flow to a fixed number of balancers, its owners, at which the others look it up.
//
// Its parts are the targets with their load and the choice between them (targetset.go, choose.go, cost.go), the placing of new
// flows (place.go, queue.go) and the searches (searches.go, search.go). Balancer joins them.
//
// A balancer is deterministic: events and the current time are passed in, and its effects are calls of the functions in
// Actions.
package steer

import (
	"maps"
	"net/netip"
	"time"

	"monsoonstep/core/coord/queue"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// Actions are the effects of a balancer's decisions. None may be nil.
type Actions struct {
	// Send sends a message to another node.
	Send func(to netip.AddrPort, m relay.Message)
	// Reset sends a client a reset of its flow, with a sequence number that the client accepts.
	Reset func(flow state.FlowID, sequence uint32)
	// OnDecision logs and counts a decision.
	OnDecision func(relay.Decision)
}

// Settings are the settings that stay the same while a balancer runs.
type Settings struct {
	// Self is the address at which other nodes reach this balancer.
	Self       netip.AddrPort
	DataCentre state.DataCentre
	// FlowTTL is how long a flow's location is kept after it was learnt.
	FlowTTL time.Duration
	// Evacuation is true if new flows wait for the first orders to evacuate data centres; see SetEvacuations.
	Evacuation bool
}

// Balancer holds the state of one balancer. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	actions  Actions
	config   state.Config
	// routeHistory tells which services may have flows of an address open.
	routeHistory routeHistory
	// targets holds the targets, their load, and the choice between them.
	targets *targetSet
	// flows holds the placement of each flow that this balancer forwards or owns.
	flows map[state.FlowID]*placement
	// searches holds the flows whose holder is being searched for.
	searches searches
	// queue holds the new flows for which a target is expected to be available shortly.
	queue *queue.Queue
	// owners finds the balancers that keep a flow's location.
	owners  relay.Owners
	started time.Time
	// membershipComplete is true while this node knows at least as many agents as most of its peers report.
	membershipComplete bool
	nextSweep          time.Time
	nextTimeoutCheck   time.Time
	// unresponsiveAt is when most agents were last unresponsive; zero if they never were.
	unresponsiveAt time.Time
	// messagesDroppedAt is when this balancer last dropped messages from other nodes, or was isolated.
	messagesDroppedAt time.Time
	// nodeHeardAt is when the last message of any other node was received; zero if there was none.
	nodeHeardAt time.Time
	// evacuations says to which data centres no new flow may be sent.
	evacuations evacuations
	pauses      relay.PauseDetector
}

// placement is the target that a flow is assigned to, or at which it is known to be open.
type placement struct {
	target *target
	// since is when the flow was assigned to the target, or its location learnt.
	since time.Time
	// evidence is what it rests on that the target holds the flow.
	evidence relay.Evidence
	// queuedAt is when the flow was queued; zero if it was not.
	queuedAt time.Time
	// unanswered is true if a target was offered the flow and did not answer: it may still accept it.
	unanswered bool
	// refusedAsFull is true if a target refused the flow because it was full.
	refusedAsFull bool
	// tried are the targets that the flow is not offered to again: they refused it, did not answer or do not hold it.
	tried []*target
}

// New returns a balancer that starts at the given time.
func New(now time.Time, settings Settings, actions Actions) *Balancer {
	b := &Balancer{
		settings:     settings,
		actions:      actions,
		routeHistory: newRouteHistory(settings.FlowTTL),
		targets:      newTargetSet(settings.DataCentre),
		flows:        make(map[state.FlowID]*placement),
		searches:     newSearches(now),
		started:      now,
		evacuations:  evacuations{pending: settings.Evacuation},
		pauses:       relay.NewPauseDetector(now),
	}
	b.queue = queue.New(func(service state.ServiceName) time.Duration { return b.targets.serviceTimes[service] })
	return b
}

// Configure applies a configuration if it is newer than the present one, and reports whether it was.
func (b *Balancer) Configure(now time.Time, c state.Config) bool {
	if c.Version <= b.config.Version {
		return false
	}
	if c.Follows == 0 || c.Follows != b.config.Version {
		b.routeHistory.missed(now)
	}
	b.config = c
	b.queue.Configure(c)
	b.routeHistory.add(c.Routes)
	return true
}

// ActiveVersion returns the version of the configuration in force; zero if there is none yet.
func (b *Balancer) ActiveVersion() state.ConfigVersion { return b.config.Version }

// SetBalancers replaces the list of balancers, this one included. Their number determines how often agents report.
func (b *Balancer) SetBalancers(list []netip.AddrPort) {
	b.owners = relay.NewOwners(list)
	for _, t := range b.targets.byAddress {
		if t.lastReportAt.IsZero() {
			t.load.ReportInterval = b.reportInterval()
		}
	}
}

// reportInterval is the time between two load reports of an agent to this balancer, as far as it knows the fleet.
func (b *Balancer) reportInterval() time.Duration { return relay.ReportInterval(len(b.owners.All())) }

// SetMembershipComplete sets whether this node knows at least as many agents as most of its peers report. While it knows
// fewer, a flow that no known agent holds is not reset: an unknown agent may hold it.
func (b *Balancer) SetMembershipComplete(membershipComplete bool) {
	b.membershipComplete = membershipComplete
}

// HandlePacket handles a packet of a client. Open flows are forwarded even before the first configuration, since that
// decides only where new flows go. A copy of an opening packet, or one that may have waited while this process was paused, is looked up at the
// owners first: the flow may have opened through another balancer.
func (b *Balancer) HandlePacket(now time.Time, seg state.Segment) {
	route, ok := b.config.Routes[seg.Flow.Virtual]
	if !ok && b.config.Version != 0 {
		b.resetUnrouted(seg)
		return
	}
	if s, searching := b.searches.byFlow[seg.Flow]; searching {
		s.keep(seg)
		return
	}
	if b.queue.Contains(seg.Flow) {
		if seg.Opens {
			return
		}
		// The packet is not an opening one, so the client has an answer from a target that was offered the flow
		// earlier.
		b.queue.Remove(seg.Flow)
	}
	if p := b.flows[seg.Flow]; p != nil {
		b.handleKnownFlow(now, route, seg, p)
		return
	}
	switch {
	case seg.Opens && (b.config.Version == 0 || b.evacuations.pending):
		b.enqueue(now, seg, &placement{}, relay.ReasonNotReady)
	case seg.Opens && seg.Acknowledged == 0 && !b.pauses.MayBeLate(now):
		b.place(now, route, seg, &placement{since: now})
	default:
		b.startSearch(now, seg, nil)
	}
}

// handleKnownFlow handles a packet of a flow that has a placement. Opening packets don't depend on the agent being responsive: they are
// offered to another target if it does not answer. The other packets of a flow show that some target has accepted it. If the one that it was
// offered to here has not answered, it may be another one that got a copy of the opening packet through another balancer.
func (b *Balancer) handleKnownFlow(now time.Time, route state.Route, seg state.Segment, p *placement) {
	switch {
	case seg.Opens && (!p.located() || !b.presumedDead(now, p.target)):
		b.handleRetransmission(now, route, seg, p)
	case p.isUnanswered(now) && !seg.Resets:
		b.searchAgain(now, seg)
	case b.isGone(now, route, p.target):
		b.handleGone(now, seg, p)
	default:
		b.forward(relay.KindData, p.target, seg)
	}
}

// resetUnrouted resets a flow whose virtual address has no route.
func (b *Balancer) resetUnrouted(seg state.Segment) {
	delete(b.flows, seg.Flow)
	b.searches.remove(seg.Flow)
	b.queue.Remove(seg.Flow)
	if seg.Resets {
		return
	}
	b.actions.OnDecision(relay.Decision{Event: relay.EventNoRoute, Flow: seg.Flow, Config: b.config.Version})
	b.actions.Reset(seg.Flow, seg.Acknowledged)
}

// dropFlow resets a flow whose agent is presumed dead or unresponsive, and deletes its placement.
func (b *Balancer) dropFlow(now time.Time, seg state.Segment, p *placement) {
	delete(b.flows, seg.Flow)
	b.reset(seg, relay.Decision{Peer: p.target.address, Evidence: p.evidence, Age: relay.AgeOf(now, p.target.lastReportAt)})
}

// reset resets a client's flow that no target holds any more. It does not answer a packet that is itself a reset.
func (b *Balancer) reset(seg state.Segment, d relay.Decision) {
	if seg.Resets {
		return
	}
	d.Event = relay.EventReset
	d.Flow = seg.Flow
	d.Config = b.config.Version
	b.actions.OnDecision(d)
	b.actions.Reset(seg.Flow, seg.Acknowledged)
}

// forward sends a packet to a target's agent, as data of an open flow or as a probe.
func (b *Balancer) forward(kind relay.Kind, t *target, seg state.Segment) {
	b.actions.Send(t.address, relay.Message{
		Kind:    kind,
		Flow:    seg.Flow,
		Service: t.service.ID(),
		Config:  b.config.Version,
		Packet:  seg.Packet,
	})
}

// offer sends an opening packet to a target's agent.
func (b *Balancer) offer(t *target, seg state.Segment, late bool) {
	b.actions.Send(t.address, relay.Message{
		Kind:             relay.KindOpen,
		Flow:             seg.Flow,
		Service:          t.service.ID(),
		Config:           b.config.Version,
		LatencyObjective: b.config.Routes[seg.Flow.Virtual].LatencyObjective,
		Late:             late,
		WarmupRate:       b.config.Services[t.service].WarmupRate,
		Packet:           seg.Packet,
	})
}

// Tick handles timeouts and other periodic work. It must be called at least every TickPeriod.
func (b *Balancer) Tick(now time.Time) {
	b.pauses.Tick(now)
	b.updateResponsiveness(now)
	for _, s := range b.searches.byFlow {
		if !now.Before(s.deadline) {
			b.handleSearchTimeout(now, s)
		}
	}
	b.targets.updateServiceTimes()
	b.updateEjections(now)
	b.placeQueued(now)
	b.FlushQueries()
	if !now.Before(b.nextTimeoutCheck) {
		b.nextTimeoutCheck = now.Add(timeoutCheckInterval)
		b.checkAgentTimeouts(now)
	}
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(sweepInterval)
	b.searches.compact()
	for id, p := range b.flows {
		if now.Sub(p.since) > b.settings.FlowTTL {
			delete(b.flows, id)
		}
	}
	maps.DeleteFunc(b.targets.byAddress, func(_ netip.AddrPort, t *target) bool {
		return !t.running() && now.Sub(t.changedAt) > b.settings.FlowTTL
	})
	b.targets.index()
}

// TickPeriod is the longest time between two calls of Tick.
const TickPeriod = 50 * time.Millisecond

// timeoutCheckInterval is the time between two checks for unresponsive agents.
const timeoutCheckInterval = 500 * time.Millisecond

// sweepInterval is the time between two sweeps that remove expired placements and targets.
const sweepInterval = 2 * time.Second
