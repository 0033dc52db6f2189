package relay

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// Event is the kind of a decision about a flow or target, for logs and counters.
type Event uint8

// The events.
const (
	// EventPlaced: a balancer chose a target for a new flow.
	EventPlaced Event = iota
	// EventRefused: a balancer reset a new flow that no target accepts.
	EventRefused
	// EventNoRoute: a balancer reset a flow whose virtual address has no route.
	EventNoRoute
	// EventReset: a node reset a flow that no target holds, or whose target or agent is down or unresponsive.
	EventReset
	// EventSearch: a balancer started a search for the holder of a flow.
	EventSearch
	// EventFound: a balancer's search found the agent that holds a flow.
	EventFound
	// EventUnresolved: a balancer dropped the packet of a flow without a reset, because an agent may hold the flow although
	// the search did not find it, or may still accept it.
	EventUnresolved
	// EventAccepted: an agent's target accepted a new flow.
	EventAccepted
	// EventRefusedByAgent: an agent refused a new flow and returned its opening packet.
	EventRefusedByAgent
	// EventNotFound: an agent determined that its target does not hold a flow.
	EventNotFound
	// EventDiscovered: an agent discovered a flow that its target already had open.
	EventDiscovered
	// EventClosed: a flow was closed at its target.
	EventClosed
	// EventTargetReady: an agent's target started to accept new flows.
	EventTargetReady
	// EventTargetDraining: an agent's target started draining.
	EventTargetDraining
	// EventTargetDown: an agent's target has terminated, refuses connections, or is unresponsive.
	EventTargetDown
	// EventAgentTimedOut: a balancer received no load report from an agent within the limit.
	EventAgentTimedOut
	// EventAgentRecovered: a balancer received a load report from an agent that had timed out.
	EventAgentRecovered
	// EventQueued: a balancer queued a new flow that can't be placed yet.
	EventQueued
	// EventTargetFailing: an agent ejected its target, which fails requests, or a balancer ejected one that answers implausibly fast.
	EventTargetFailing
	// EventSearchDropped: a balancer dropped its oldest search because there were too many.
	EventSearchDropped
	// EventUnknownHolder: a balancer ignored the location of a flow that it searches for, since it does not know the agent there.
	EventUnknownHolder
	// EventRelocated: a balancer replaced the location of a flow, which was wrong.
	EventRelocated
	// EventCount is the number of events.
	EventCount
)

// String returns the event's name in logs and metrics. The names stay the same when a constant is renamed.
func (e Event) String() string {
	names := [EventCount]string{
		"placed", "refused", "noRoute", "reset", "search", "found", "doubted", "accepted", "turnedAway", "notHeld",
		"adopted", "ended", "targetReady", "targetDraining", "targetGone", "agentSilent", "agentHeard", "waits",
		"targetFailing", "searchDropped", "unknownHolder", "relocated",
	}
	if e >= EventCount {
		return "unknown"
	}
	return names[e]
}

// Decision is one decision with the inputs that it was based on.
type Decision struct {
	Event Event
	Flow  state.FlowID
	// Peer is the node or target that the decision is about, if any.
	Peer   netip.AddrPort
	Reason Reason
	// Priority is the priority of the flow's route, for EventRefused; 0 is the highest.
	Priority int
	// Config is the version of the configuration that was in force.
	Config state.ConfigVersion
	// Age is the age of the information behind the decision, such as the time since a load report or heartbeat was received.
	Age time.Duration
	// Count is a number whose meaning depends on the event: targets considered, targets that don't hold the flow, agents that have
	// not replied, flows in the queue, or open flows.
	Count int
	// Evidence is what the location rests on that the decision is about, for EventDiscovered, EventFound,
	// EventRelocated, an EventAccepted that is assumed, and an EventReset without a search.
	Evidence Evidence
	// Unasked is how many running agents a search left out, since their targets were taken not to hold the flow, for an EventReset.
	Unasked int
}

// AgeOf returns the age of information that was received at a time, or zero if none was received yet.
func AgeOf(now, receivedAt time.Time) time.Duration {
	if receivedAt.IsZero() {
		return 0
	}
	return now.Sub(receivedAt)
}
