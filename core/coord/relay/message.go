// Package relay defines the messages with which balancers and agents forward the packets of opaque flows and exchange the
// locations of flows and the load of targets.
package relay

import (
	"net/netip"
	"time"

	"monsoonstep/core/state"
)

// Kind is the type of a message.
type Kind uint8

// The message kinds.
const (
	// KindOpen carries an opening packet from a balancer to the agent that it chose.
	KindOpen Kind = iota + 1
	// KindData carries a packet from a balancer to the agent that holds the flow, as far as the balancer knows.
	KindData
	// KindProbe carries a packet from a balancer to an agent that may hold the flow; the agent replies with KindLocation or
	// KindNotFound.
	KindProbe
	// KindQuery asks an agent which of some flows its target holds. It carries no packets. The agent replies with a KindLocation
	// for each flow that its target holds, and with a KindQueryReply for the others.
	KindQuery
	// KindQueryReply lists the flows of a query that the agent's target does not hold, and those for which the agent can't tell
	// without a packet.
	KindQueryReply
	// KindRefused returns an opening packet to its balancer: the agent or its target did not accept the flow.
	KindRefused
	// KindNotFound reports to a balancer that the agent's target does not hold the flow. It carries the packet unless that came
	// with a probe.
	KindNotFound
	// KindLocation reports to a balancer which agent holds the flow. It is sent by that agent or by an owner of the flow.
	KindLocation
	// KindLookup asks an owner of the flow which agent holds the flow.
	KindLookup
	// KindLookupMiss is an owner's reply to a lookup if it has no location of the flow that an agent has confirmed.
	KindLookupMiss
	// KindLoad is an agent's load report to a balancer.
	KindLoad
	// KindCount is one more than the highest kind.
	KindCount
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	names := [KindCount]string{
		"none", "open", "data", "probe", "query", "queryReply", "refused", "notFound", "location", "lookup", "lookupMiss", "load",
	}
	if k >= KindCount {
		return "unknown"
	}
	return names[k]
}

// CarriesPacket reports whether a message of the kind always has a packet.
func (k Kind) CarriesPacket() bool {
	return k == KindOpen || k == KindData || k == KindProbe || k == KindRefused
}

// Reason is why a target accepts no new flows, why a new flow was refused or queued, or why a search for a flow can't be concluded.
type Reason uint8

// The reasons.
const (
	// ReasonNone means that there is nothing to give a reason for.
	ReasonNone Reason = iota
	// ReasonDraining means that the target is draining.
	ReasonDraining
	// ReasonNotReady means that the agent has received no heartbeat from its target yet, or that the balancer has no configuration
	// yet or no target that is serving.
	ReasonNotReady
	// ReasonTargetDown means that the target has terminated, never started, or is unresponsive: it is taken to hold no flows.
	ReasonTargetDown
	// ReasonFull means that the target has no headroom, or returned the opening packet.
	ReasonFull
	// ReasonWrongService means that the agent serves another service.
	ReasonWrongService
	// ReasonStopping means that the agent itself is shutting down.
	ReasonStopping
	// ReasonIncompleteMembership means that other nodes know more agents than this balancer.
	ReasonIncompleteMembership
	// ReasonSettling means that this balancer or an agent started too recently for a conclusion.
	ReasonSettling
	// ReasonNoReply means that agents that may hold the flow, or may still accept it, did not reply.
	ReasonNoReply
	// ReasonEvacuated means that the data centre of the target, or of every target, is evacuated.
	ReasonEvacuated
	// ReasonWarmingUp means that a target in its warm-up has received as many new flows in the last second as it may.
	ReasonWarmingUp
	// ReasonNoHome means that no target of the service is in a region to which the route restricts its flows.
	ReasonNoHome
	reasonCount
)

// String returns the reason's name in logs. The names stay the same when a constant is renamed.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "draining", "notReady", "gone", "full", "misdirected", "stopping",
		"incomplete", "unsettled", "unanswered", "evacuated", "warmingUp", "noHome",
	}
	return names[min(r, reasonCount-1)]
}

// Load is a load report: what an agent measures of its target from the packets that it forwards, and what the target reports.
type Load struct {
	// Accepting is true while the target accepts new flows.
	Accepting bool
	// Reason is why Accepting is false.
	Reason Reason
	// Outstanding is the number of flows with an outstanding request.
	Outstanding int
	// MeanOutstanding is the moving average of Outstanding over some seconds.
	MeanOutstanding float64
	// Headroom is how many more requests may be sent to the target before new flows would wait too long; zero if it is full.
	Headroom int
	// Flows is the number of flows that the target has open.
	Flows int
	// Slots is how many requests the target runs at once.
	Slots int
	// ServiceTime is the moving average of the time of an answer that did not wait for a slot; zero if unknown.
	ServiceTime time.Duration
	// ServiceSamples is how many samples ServiceTime was estimated from, at most MaxServiceSamples.
	ServiceSamples int
	// WarmupLeft is how much longer the target's warm-up, in which it is slow, will last.
	WarmupLeft time.Duration
	// KnowsAllFlows is true if the agent knows every flow that the target holds.
	KnowsAllFlows bool
	// Failing is true while the target fails requests, although it accepts new flows.
	Failing bool
	// ReportInterval is the time until the next report. A balancer that receives none for several intervals stops sending new
	// flows.
	ReportInterval time.Duration
}

// MaxServiceSamples limits Load.ServiceSamples, since older samples have no weight.
const MaxServiceSamples = 100

// MaxFlows is the maximum number of flows in one message, so that it fits into a datagram of 1,200 bytes.
const MaxFlows = 80

// Evidence returns the evidence of a KindLocation.
func (m Message) Evidence() Evidence {
	if m.Assumed {
		return EvidenceAssumed
	}
	return EvidenceConfirmed
}

// Message is one datagram between two nodes.
type Message struct {
	Kind Kind
	Flow state.FlowID
	// Service is the service that, according to the sender, the agent serves.
	Service state.ServiceID
	// Config is the version of the configuration on which the sender based its decision.
	Config state.ConfigVersion
	// Holder is the address of the agent that holds the flow, in a KindLocation.
	Holder netip.AddrPort
	// Assumed is true in a KindLocation that rests on EvidenceAssumed. All others rest on EvidenceConfirmed.
	Assumed bool
	// LatencyObjective is the latency within which a request of the flow should be answered, in a KindOpen.
	LatencyObjective time.Duration
	// Late is true in a KindOpen whose client has already waited for longer than the latency objective.
	Late   bool
	Reason Reason
	// WarmupRate is how many new flows a second a target of the service may be sent during its warm-up, in a KindOpen; zero if the
	// configuration sets no limit.
	WarmupRate float64
	// HasLoad is true in a KindLoad, and in the KindLocation with which an agent confirms a new flow to the flow's balancer.
	HasLoad bool
	// Load is set if HasLoad is true.
	Load Load
	// Flows are the queried flows in a KindQuery, and those that the target does not hold in a KindQueryReply; at most MaxFlows.
	Flows []state.FlowID
	// Unresolved are the queried flows that the target may hold, in a KindQueryReply; at most MaxFlows.
	Unresolved []state.FlowID
	// Packet is the packet of the flow. It is valid only during the call to which the message is passed.
	Packet []byte
}
