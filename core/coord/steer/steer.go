// Package steer is the balancer's part in carrying opaque flows: it chooses a target for each new flow, and
// finds the agent that holds a flow whose packets begin to reach this balancer.
//
// Any balancer may get any packet. What a balancer knows of a flow is a cache: agents are the truth, and
// tell each flow's place to a fixed number of balancers, its owners, that the others ask.
//
// A balancer is deterministic: events and the time go in, and actions go out through function fields.
package steer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// Actions are what a balancer does to the world. None may be nil.
type Actions struct {
	// Send sends a message to another node.
	Send func(to netip.AddrPort, m relay.Message)
	// Reset sends a client a reset of its flow with a sequence number that it accepts.
	Reset func(flow state.FlowID, sequence uint32)
	// OnDecision records a decision.
	OnDecision func(relay.Decision)
}

// Settings are the fixed facts of a balancer.
type Settings struct {
	Self       netip.AddrPort
	DataCentre state.DataCentre
	// FlowTTL is how long a flow's place is kept after it was learnt.
	FlowTTL time.Duration
}

// Balancer is one balancer's knowledge. It is not safe for use by several goroutines.
type Balancer struct {
	settings Settings
	actions  Actions
	config   state.Config
	// servicesByAddress has, for each address that has a route, every service that a configuration seen so far puts behind it: flows
	// stay where they are when a route changes.
	servicesByAddress map[state.Endpoint][]state.ServiceName
	// targets holds the agents by address; one that was replaced at its address keeps its row.
	targets map[netip.AddrPort]*target
	// targetsByService holds the same targets by service.
	targetsByService map[state.ServiceName][]*target
	// flows holds the place of each flow that this balancer carries or owns.
	flows map[state.FlowID]*placement
	// searches holds the flows whose holder is being looked for.
	searches map[state.FlowID]*search
	// queue holds new flows for which a target is expected within moments.
	queue  map[state.FlowID]*queuedFlow
	owners relay.Owners
	// probeLimiter bounds the search for flows.
	probeLimiter tokenBucket
	started      time.Time
	// membershipComplete is true while the membership knows as many members as others do.
	membershipComplete bool
	// lastNewAgentAt is when an agent was last heard of for the first time.
	lastNewAgentAt   time.Time
	nextSweep        time.Time
	nextTimeoutCheck time.Time
	// messagesDroppedAt is when messages of other nodes were last dropped here.
	messagesDroppedAt time.Time
	// targetsToQuery are the targets for which questions have gathered.
	targetsToQuery []*target
}

// placement is where a flow is thought to be.
type placement struct {
	target *target
	since  time.Time
	// confirmed is true once the agent said that its target holds the flow.
	confirmed bool
	// queuedAt is when the flow began to wait for a target; zero if it did not.
	queuedAt time.Time
	// unanswered is true if a target was offered the flow and did not answer: it may take it yet.
	unanswered bool
	// refusedAsFull is true if a target that did not take the flow was refusedAsFull.
	refusedAsFull bool
	// tried are the targets that did not take the flow.
	tried []*target
}

// New returns a balancer that starts now.
func New(now time.Time, settings Settings, actions Actions) *Balancer {
	return &Balancer{
		settings:          settings,
		actions:           actions,
		servicesByAddress: make(map[state.Endpoint][]state.ServiceName),
		targets:           make(map[netip.AddrPort]*target),

		targetsByService: make(map[state.ServiceName][]*target),
		flows:            make(map[state.FlowID]*placement),
		searches:         make(map[state.FlowID]*search),
		queue:            make(map[state.FlowID]*queuedFlow),
		probeLimiter:     tokenBucket{tokens: probeBurst, last: now},
		started:          now,
	}
}

// Configure puts a configuration in force if it is newer than the present one, and reports whether it was.
func (b *Balancer) Configure(c state.Config) bool {
	if c.Version <= b.config.Version {
		return false
	}
	b.config = c
	maps.DeleteFunc(b.servicesByAddress, func(endpoint state.Endpoint, _ []state.ServiceName) bool {
		_, routed := c.Routes[endpoint]
		return !routed
	})
	for endpoint, route := range c.Routes {
		for _, weighted := range route.Services {
			if !slices.Contains(b.servicesByAddress[endpoint], weighted.Service) {
				b.servicesByAddress[endpoint] = append(b.servicesByAddress[endpoint], weighted.Service)
			}
		}
	}
	return true
}

// ActiveVersion returns the version in force.
func (b *Balancer) ActiveVersion() state.ConfigVersion { return b.config.Version }

// SetBalancers replaces the list of balancers, this one included.
func (b *Balancer) SetBalancers(list []netip.AddrPort) { b.owners = relay.NewOwners(list) }

// SetMembershipComplete tells whether the membership knows as many members as others do. While it does not, nothing is given up.
func (b *Balancer) SetMembershipComplete(membershipComplete bool) {
	b.membershipComplete = membershipComplete
}

// HandlePacket handles a packet of a client. Open flows are carried also before the first configuration: it decides only
// where new flows go.
func (b *Balancer) HandlePacket(now time.Time, seg state.Segment) {
	route, ok := b.config.Routes[seg.Flow.Virtual]
	if !ok && b.config.Version != 0 {
		b.resetUnrouted(seg)
		return
	}
	if s, searching := b.searches[seg.Flow]; searching {
		s.keepPacket(seg.Packet)
		return
	}
	if _, isQueued := b.queue[seg.Flow]; isQueued {
		if seg.Opens {
			return
		}
		// The client has heard from a target that was offered the flow before.
		delete(b.queue, seg.Flow)
	}
	if p := b.flows[seg.Flow]; p != nil {
		b.handleKnownFlow(now, route, seg, p)
		return
	}
	switch {
	case seg.Opens && b.config.Version == 0:
		b.enqueue(now, seg, &placement{}, relay.ReasonNotReady)
	case seg.Opens && seg.Acknowledged == 0:
		b.place(now, route, seg, &placement{since: now})
	default:
		b.startSearch(now, seg, nil)
	}
}

// handleKnownFlow handles a packet of a flow whose place is handleKnownFlow.
func (b *Balancer) handleKnownFlow(now time.Time, route state.Route, seg state.Segment, p *placement) {
	switch {
	case p.target.presumedDead(now) && !b.messagesDroppedRecently(now):
		b.dropFlow(now, seg, p)
	case route.Idempotent && !seg.Opens && p.target.unresponsive(now) && b.mostAgentsResponsive(now):
		b.dropFlow(now, seg, p)
	case seg.Opens:
		b.handleRetransmission(now, route, seg, p)
	default:
		b.forward(relay.KindData, p.target, seg)
	}
}

// resetUnrouted resets a flow to an address without a route.
func (b *Balancer) resetUnrouted(seg state.Segment) {
	delete(b.flows, seg.Flow)
	delete(b.searches, seg.Flow)
	delete(b.queue, seg.Flow)
	if seg.Resets {
		return
	}
	b.actions.OnDecision(relay.Decision{Event: relay.EventNoRoute, Flow: seg.Flow, Config: b.config.Version})
	b.actions.Reset(seg.Flow, seg.Acknowledged)
}

// dropFlow resets a flow whose target is gone.
func (b *Balancer) dropFlow(now time.Time, seg state.Segment, p *placement) {
	delete(b.flows, seg.Flow)
	b.reset(seg, relay.Decision{Peer: p.target.address, Age: relay.AgeOf(now, p.target.lastReportAt)})
}

// reset tells a client that its flow is gone.
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
		Packet:           seg.Packet,
	})
}

// isLate reports whether the client of a new flow has waited for longer than the latency objective: since the time at
// which the flow began to wait here, zero if it did not, and before.
func isLate(now time.Time, objective time.Duration, seg state.Segment, since time.Time) bool {
	return objective > 0 && relay.AgeOf(now, since)+seg.ConnectAge > objective
}

// Tick lets time pass. It is called every TickPeriod.
func (b *Balancer) Tick(now time.Time) {
	for _, s := range b.searches {
		if !now.Before(s.deadline) {
			b.handleSearchTimeout(now, s)
		}
	}
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
	for id, p := range b.flows {
		if now.Sub(p.since) > b.settings.FlowTTL {
			delete(b.flows, id)
		}
	}
	maps.DeleteFunc(b.targets, func(_ netip.AddrPort, t *target) bool {
		return !t.running() && now.Sub(t.changedAt) > b.settings.FlowTTL
	})
	b.indexTargets()
}

// TickPeriod is the longest time between two ticks.
const TickPeriod = 50 * time.Millisecond

// timeoutCheckInterval is the time between two looks for agents that have fallen silent.
const timeoutCheckInterval = 500 * time.Millisecond

// sweepInterval is the time between two sweeps of old places.
const sweepInterval = 2 * time.Second
