package relay

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// Event names a decision about a flow, for logs and counters.
type Event uint8

// The events.
const (
	// EventPlaced: a balancer chose a target for a new flow.
	EventPlaced Event = iota
	// EventRefused: a balancer reset a new flow that no target takes.
	EventRefused
	// EventNoRoute: a balancer reset a flow whose virtual address has no route.
	EventNoRoute
	// EventReset: a node reset a flow that no target holds.
	EventReset
	// EventSearch: a balancer began to look for the holder of a flow.
	EventSearch
	// EventFound: a balancer learnt which agent holds a flow.
	EventFound
	// EventUnresolved: a balancer did not find a flow, and can't be sure that nobody holds it.
	EventUnresolved
	// EventAccepted: an agent's target took a new flow.
	EventAccepted
	// EventRefusedByAgent: an agent gave an opening packet back.
	EventRefusedByAgent
	// EventNotFound: an agent found that its target does not hold a flow.
	EventNotFound
	// EventDiscovered: an agent learnt of a flow that its target held already.
	EventDiscovered
	// EventClosed: a flow ended at its target.
	EventClosed
	// EventTargetReady: an agent began to offer its target.
	EventTargetReady
	// EventTargetDraining: an agent's target is leaving.
	EventTargetDraining
	// EventTargetDown: an agent's target has ended or fallen silent.
	EventTargetDown
	// EventAgentTimedOut: a balancer heard no load report of an agent for too long.
	EventAgentTimedOut
	// EventAgentRecovered: a balancer heard from an agent again that had been silent.
	EventAgentRecovered
	// EventQueued: a balancer keeps a new flow that can't be placed yet.
	EventQueued
	// EventCount is the number of events.
	EventCount
)

// String returns the event's name in logs and metrics.
func (e Event) String() string {
	names := [EventCount]string{
		"placed", "refused", "noRoute", "reset", "search", "found", "doubted", "accepted", "turnedAway", "notHeld",
		"adopted", "ended", "targetReady", "targetDraining", "targetGone", "agentSilent", "agentHeard", "waits",
	}
	if e >= EventCount {
		return "unknown"
	}
	return names[e]
}

// Decision is one decision with the inputs that led to it.
type Decision struct {
	Event Event
	Flow  state.FlowID
	// Peer is the node or target that the decision is about, if any.
	Peer   netip.AddrPort
	Reason Reason
	// Config is the version of the configuration that was in force.
	Config state.ConfigVersion
	// Age is how old the knowledge was that decided: a load report, a heartbeat.
	Age time.Duration
	// Count is a number that belongs to the event: targets weighed, answers, flows.
	Count int
}

// AgeOf returns how old knowledge from a time is; zero if there is none.
func AgeOf(now, learnt time.Time) time.Duration {
	if learnt.IsZero() {
		return 0
	}
	return now.Sub(learnt)
}
