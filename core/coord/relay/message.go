// Package relay holds the messages by which balancers and agents carry the packets of opaque flows, and
// tell each other where flows are and how busy targets are.
package relay

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	// KindOpen carries an opening packet from a balancer to the agent that it chose.
	KindOpen Kind = iota + 1
	// KindData carries a packet to the agent that is thought to hold the flow.
	KindData
	// KindProbe carries a packet to an agent that may hold the flow; the agent answers held or notHeld.
	KindProbe
	// KindQuery asks an agent which of some flows its target holds. It carries no packets; the agent answers held for each that
	// is, and answers for the others.
	KindQuery
	// KindQueryReply tells which flows of an ask the agent's target does not hold, and of which it can't be sure without a packet.
	KindQueryReply
	// KindRefused gives an opening packet back to its balancer: the target did not take the flow.
	KindRefused
	// KindNotFound tells a balancer that the agent's target does not hold the flow. It carries the packet
	// unless that came with an ask.
	KindNotFound
	// KindLocation tells a balancer which agent holds the flow.
	KindLocation
	// KindLookup asks an owner of the flow which agent holds it.
	KindLookup
	// KindLookupMiss answers a where: the owner does not know.
	KindLookupMiss
	// KindLoad tells a balancer how busy an agent's target is.
	KindLoad
	// KindCount is one more than the highest kind.
	KindCount
)

// CarriesPacket reports whether a message of the kind always has a packet.
func (k Kind) CarriesPacket() bool {
	return k == KindOpen || k == KindData || k == KindProbe || k == KindRefused
}

// Reason is why an opening packet was refused.
type Reason uint8

// The reasons.
const (
	// ReasonNone is no refusal.
	ReasonNone Reason = iota
	// ReasonDraining means that the target is leaving.
	ReasonDraining
	// ReasonNotReady means that the agent has not heard from its target yet.
	ReasonNotReady
	// ReasonTargetDown means that the target has ended or never appeared: it holds no flows.
	ReasonTargetDown
	// ReasonFull means that the target did not take the flow.
	ReasonFull
	// ReasonWrongService means that the agent serves another service.
	ReasonWrongService
	// ReasonStopping means that the agent itself is ending.
	ReasonStopping
	// ReasonIncompleteMembership means that others know of more agents than this balancer.
	ReasonIncompleteMembership
	// ReasonSettling means that this balancer, or an agent, has just started.
	ReasonSettling
	// ReasonNoReply means that agents that may hold the flow did not answer.
	ReasonNoReply
	reasonCount
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "draining", "notReady", "gone", "full", "misdirected", "stopping",
		"incomplete", "unsettled", "unanswered",
	}
	return names[min(r, reasonCount-1)]
}

// Load is what an agent measures of its target from the packets that pass.
type Load struct {
	// Accepting is true while the target may be given new flows.
	Accepting bool
	// Reason tells why Takes is false.
	Reason Reason
	// Outstanding is how many flows wait for an answer of the target.
	Outstanding int
	// MeanOutstanding is the mean of Busy over some seconds.
	MeanOutstanding float64
	// Headroom is how many more requests the target may be given before new flows would wait too long; zero if it is full.
	Headroom int
	// OpenFlows is how many flows the target holds.
	OpenFlows int
	// Slots is how many requests the target runs at once.
	Slots int
	// ServiceTime is the mean time of an answer that did not wait for a slot; zero if unknown.
	ServiceTime time.Duration
	// WarmupLeft is how much longer the target stays slow after its start.
	WarmupLeft time.Duration
	// KnowsAllFlows is true if the agent knows every flow that the target holds.
	KnowsAllFlows bool
	// ReportInterval is the time until the next report; a balancer that hears nothing for several periods stops
	// sending new flows.
	ReportInterval time.Duration
}

// MaxFlows is how many flows one message names, so that it fits into a datagram of 1,200 bytes.
const MaxFlows = 80

// Message is one datagram between two nodes.
type Message struct {
	Kind Kind
	Flow state.FlowID
	// Service is the service that the sender takes the agent to serve.
	Service state.ServiceID
	// Config is the version of the configuration that decided.
	Config state.ConfigVersion
	// Holder is the address of the agent that holds the flow, in a held.
	Holder netip.AddrPort
	// LatencyObjective is the latency within which an answer is worth most, in an open.
	LatencyObjective time.Duration
	// Late is true in an open whose client has waited for longer than that already.
	Late   bool
	Reason Reason
	Load   Load
	// Flows are the flows that are asked for, or that are not held; at most MaxFlows.
	Flows []state.FlowID
	// Unresolved are the flows that were asked for and may be held; at most MaxFlows.
	Unresolved []state.FlowID
	// Packet is the packet of the flow; it is valid only during the call that passes it.
	Packet []byte
}
