// Package gate makes an agent's decisions about opaque flows. It sees every packet to and from its target, so it alone knows
// which flows the target has open, whether the target accepts new flows, and how many requests are outstanding. Balancers
// query it, and its replies are authoritative.
//
// A gate is deterministic: its methods receive events and the current time, and it acts through the functions in Actions.
package gate

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/warmup"
	"monsoonstep/core/state"
)

// Actions are the functions through which a gate acts. None may be nil.
type Actions struct {
	// Send sends a message to another node.
	Send func(to netip.AddrPort, m relay.Message)
	// Deliver passes a packet to the target.
	Deliver func(packet []byte)
	// Reply sends a packet from the target to a client.
	Reply func(client state.Endpoint, packet []byte)
	// Reset sends a client a reset of its flow, with a sequence number that the client accepts.
	Reset func(flow state.FlowID, sequence uint32)
	// CheckTarget starts a check whether the target's address still accepts connections; the result goes to HandleCheck.
	CheckTarget func()
	// OnDecision is called with each decision, for logs and metrics.
	OnDecision func(relay.Decision)
	// OnAnswer is called with the time from a request to the first packet of the target's answer.
	OnAnswer func(took time.Duration)
}

// Settings configure a gate.
type Settings struct {
	// Self is the agent's own address.
	Self netip.AddrPort
	// Service is the service of the agent's target.
	Service state.ServiceName
	// HeartbeatPeriod is the time between two heartbeats of the target.
	HeartbeatPeriod time.Duration
	// FlowTTL is how long a flow is kept after it opened.
	FlowTTL time.Duration
	// Warmup determines how many new flows the target gets during its warm-up.
	Warmup warmup.Settings
}

// Timeouts and limits of a gate.
const (
	// probeTimeout is how long a target may take to return a packet of a flow that it does not hold. A target
	// returns such packets without queueing them.
	probeTimeout = 60 * time.Millisecond
	// closedFlowTTL is how long a closed flow is kept, so that retransmissions of its last packets reach the target.
	closedFlowTTL = 5 * time.Second
	// openTimeout is how long an opening packet may remain unanswered, the time for two copies of it included.
	openTimeout = 2 * time.Second
	// requestTimeout is how long a request without an answer counts as outstanding. It exceeds the clients' deadlines.
	requestTimeout = 10 * time.Second
	// checkAfterPeriods is how many heartbeat periods may pass without a heartbeat before the target is checked.
	checkAfterPeriods = 1.5
	// downAfterPeriods is how many heartbeat periods may pass without a heartbeat before a target counts as down whose check
	// timed out.
	downAfterPeriods = 2.5
	// minHeadroomReportInterval is the minimum time between two reports that a full target has headroom again, in a small fleet.
	// In a larger one maxHeadroomReportsPerSecond limits the messages to all balancers.
	minHeadroomReportInterval   = 10 * time.Millisecond
	maxHeadroomReportsPerSecond = 300
	// firstRequestTimeout is how long a new flow counts as an outstanding request before its first request has arrived.
	firstRequestTimeout = 100 * time.Millisecond
	// minOutstandingPerSlot and maxOutstandingPerSlot bound how many requests per slot may be outstanding at a target before it
	// gets no new flows. Further ones are queued at a balancer instead, which can still place them at another target. The minimum
	// keeps all slots in use until a balancer has received the report that there is headroom.
	minOutstandingPerSlot = 1.5
	maxOutstandingPerSlot = 3
	// objectiveFraction is the fraction of the latency objective within which a new request is expected to be answered, so that
	// most are answered within the whole objective.
	objectiveFraction = 0.6
	// maxFirstAcknowledged is how far, in sequence numbers, the client's first acknowledgement may be ahead of the target's opening packet: a
	// target has at most 16 packets of 1,200 bytes in flight.
	maxFirstAcknowledged = 1 + 16*1200
	// meanOutstandingWindow is the time constant of the moving average of outstanding requests.
	meanOutstandingWindow = 2 * time.Second
)

// Gate holds the state of an agent's target and its flows. It is not safe for concurrent use.
type Gate struct {
	settings Settings
	actions  Actions
	target   target
	// startedAt is when the agent's process started.
	startedAt time.Time
	// flows holds every flow that was offered to the target or that it may hold, and recently closed flows.
	flows map[state.FlowID]*flow
	// balancers holds the process at the address of each balancer in the last list given to SetBalancers.
	balancers map[netip.AddrPort]state.InstanceID
	// owners determines the owners of a flow among these balancers.
	owners relay.Owners
	// outstanding is the number of flows with an outstanding request, which are those with their outstanding flag set.
	outstanding int
	// failures judges the target by the outcomes of its requests.
	failures failureDetector
	// warmup limits the new flows during the target's warm-up.
	warmup *warmup.Limiter
	// warmupLimited is true if the new flows were limited at the last tick, warmupFull if no more were allowed at the last tick or
	// after the last new flow.
	warmupLimited bool
	warmupFull    bool
	// openFlows is the number of flows in phase open.
	openFlows int
	// meanOutstanding is the moving average of outstanding over meanOutstandingWindow.
	meanOutstanding float64
	lastTick        time.Time
	pauses          relay.PauseDetector
	// serviceTime estimates the target's service time.
	serviceTime serviceTimer
	// objective is the latency objective of the most recently offered flow; zero if unknown.
	objective time.Duration
	// mayMissFlowsUntil is until when a gate that started beside a running target may not know all of the target's flows. After
	// FlowTTL an unknown flow must have been idle so long that any node may drop it.
	mayMissFlowsUntil time.Time
	// nextCheck is the earliest time of the next check of the target.
	nextCheck  time.Time
	nextReport time.Time
	lastReport time.Time
	// reportedFull is true if the last load report, or a refusal since then, said that the target has no headroom.
	reportedFull bool
	// refusedLate is true if a late flow was refused since the last report because no slot was free.
	refusedLate bool
	// stopping is set once the agent itself is shutting down.
	stopping bool
	// evacuated is true while the data centre of this agent is evacuated.
	evacuated bool
}

// phase is the stage of a flow's life cycle at the target.
type phase uint8

const (
	// offered: the opening packet was delivered and has not been answered yet.
	offered phase = iota
	// probing: a packet was delivered, but it is not known whether the target holds the flow.
	probing
	// open: the target holds the flow.
	open
	// closed: both sides have finished the flow, or one has reset it.
	closed
)

// flow is the gate's record of one flow.
type flow struct {
	phase phase
	// balancer is the balancer that last forwarded a packet of the flow to this agent.
	balancer netip.AddrPort
	// createdAt is when the gate first saw the flow.
	createdAt time.Time
	// lastPacket is when the last packet of the flow passed, in either direction.
	lastPacket time.Time
	// resetSequence is the sequence number that the client last acknowledged or, while that is unknown, the one that the target
	// last sent. A reset must carry a number near it, or the client ignores it.
	resetSequence uint32
	// established is set once the client has acknowledged a packet of the target, or the target has sent data: both ends take
	// part, so the flow is more than an offer that another target may have accepted.
	established bool
	// assumed is set while the flow counts as open only because the target has not returned a packet of it within probeTimeout, or has
	// accepted an opening packet that may have waited while the process was paused.
	assumed bool
	// outstanding is set from the opening packet, and from each request's first packet, until the first packet of an answer.
	outstanding      bool
	outstandingSince time.Time
	// requestReceived is set once the first request has arrived.
	requestReceived bool
	// hadFreeSlot is true if a slot was free for the outstanding request when it arrived.
	hadFreeSlot bool
	// finClient and finTarget are set once the client or the target has finished its direction.
	finClient bool
	finTarget bool
	// returnPacket is set if the packet that created a flow in phase probing must go back to its balancer should the target not
	// hold the flow. A probe's packet need not, since the balancer sent copies to other agents.
	returnPacket bool
}

// isAcknowledgedBy reports whether the client's packet acknowledges packets of this target. A flow that the target has accepted may have
// opened at another one, whose sequence numbers are unrelated; the client's packets then acknowledge these.
func (f *flow) isAcknowledgedBy(seg state.Segment) bool {
	switch {
	case f.phase == offered:
		return false
	case f.phase == open && !f.assumed && !f.established:
		return seg.Acknowledged-f.resetSequence <= maxFirstAcknowledged
	default:
		return true
	}
}

// evidence returns what it rests on that an open flow is open at the target.
func (f *flow) evidence() relay.Evidence {
	if f.assumed {
		return relay.EvidenceAssumed
	}
	return relay.EvidenceConfirmed
}

// New returns a gate for an agent that starts now.
func New(now time.Time, settings Settings, actions Actions) *Gate {
	return &Gate{
		target:            target{lastHeartbeat: now},
		startedAt:         now,
		settings:          settings,
		actions:           actions,
		flows:             make(map[state.FlowID]*flow),
		mayMissFlowsUntil: now.Add(settings.FlowTTL),
		lastTick:          now,
		pauses:            relay.NewPauseDetector(now),
		warmup:            warmup.New(now, settings.Warmup),
	}
}

// SetBalancers replaces the list of balancers, which has each address once. It sends a load report to each balancer that
// is new or was restarted, and the locations of the flows that it owns to each of these and to each new owner.
func (g *Gate) SetBalancers(now time.Time, list []relay.Balancer) {
	previousOwners := g.owners
	g.owners = relay.NewOwners(relay.Addresses(list))
	processes := make(map[netip.AddrPort]state.InstanceID, len(list))
	started := make(map[netip.AddrPort]bool)
	for _, b := range list {
		processes[b.Address] = b.Process
		if g.balancers[b.Address] != b.Process {
			started[b.Address] = true
			g.actions.Send(b.Address, g.loadReport(now))
		}
	}
	g.balancers = processes
	for id, f := range g.flows {
		if f.phase != open {
			continue
		}
		previous := previousOwners.Of(id)
		for _, owner := range g.owners.Of(id) {
			if started[owner] || !slices.Contains(previous, owner) {
				g.sendLocation(owner, id, f)
			}
		}
	}
}

// Stop makes the gate refuse new flows; open flows continue.
func (g *Gate) Stop(now time.Time) {
	g.stopping = true
	g.sendReports(now)
}

// Outstanding returns the number of flows with an outstanding request.
func (g *Gate) Outstanding() int { return g.outstanding }

// OpenFlows returns the number of open flows.
func (g *Gate) OpenFlows() int { return g.openFlows }
