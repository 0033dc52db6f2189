// Package gate is the agent's part in carrying opaque flows. It sees every packet of its target both ways, so it
// alone knows which flows the target holds, whether it takes new ones, and how busy it is. Balancers
// ask; what the gate says is final.
//
// A gate is deterministic: events and the time go in, and actions go out through function fields.
package gate

import (
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// Actions are what a gate does to the world. None may be nil.
type Actions struct {
	// Send sends a message to another node.
	Send func(to netip.AddrPort, m relay.Message)
	// Deliver hands a packet to the target.
	Deliver func(packet []byte)
	// Reply sends a packet of the target to a client.
	Reply func(client state.Endpoint, packet []byte)
	// Reset sends a client a reset of its flow with a sequence number that it accepts.
	Reset func(flow state.FlowID, sequence uint32)
	// CheckTarget finds out whether the target's address still accepts connections, and calls Checked.
	CheckTarget func()
	// OnDecision records a decision.
	OnDecision func(relay.Decision)
	// OnResponse records how long the target took for the first packet of an answer.
	OnResponse func(took time.Duration)
}

// Settings are the fixed facts of a gate.
type Settings struct {
	Self    netip.AddrPort
	Service state.ServiceName
	// HeartbeatPeriod is how often the target says that it lives.
	HeartbeatPeriod time.Duration
	// FlowTTL is how long a flow is kept after it opened.
	FlowTTL time.Duration
}

// Timeouts of a gate.
const (
	// probeWait is how long a target has to return a packet of a flow that it does not hold. A target
	// returns such packets without queueing them.
	probeWait = 60 * time.Millisecond
	// closedAge is how long a flow that ended is remembered for repeated last packets.
	closedAge = 5 * time.Second
	// openWait is how long an opening packet may stay unanswered, two copies included.
	openWait = 2 * time.Second
	// busyLimit is how long a request counts as running without an answer; above the deadlines of callers.
	busyLimit = 10 * time.Second
	// missedHeartbeats is how many heartbeats a target may miss before it is checked.
	missedHeartbeats = 1.5
	// silentHeartbeats is how many it may miss without answering a check before it counts as gone.
	silentHeartbeats = 2.5
	// reportPeriod is the time between load reports to a balancer in a small fleet.
	reportPeriod = 200 * time.Millisecond
	// roomReportGap is the least time between two reports when room comes free at a full target in a small fleet, and
	// roomReportsPerSecond bounds them in a larger one.
	roomReportGap        = 10 * time.Millisecond
	roomReportsPerSecond = 300
	// reportsPerSecond bounds the load reports of one gate: above it the period is stretched.
	reportsPerSecond = 60
	// firstRequestWait is how long a new flow counts as a request before its first one has come.
	firstRequestWait = 100 * time.Millisecond
	// queueLeast and queueMost bound how many requests may be at a target before it gets no new flows, in multiples of
	// its slots. Those that wait beyond that are better off at a balancer, which can still place them elsewhere. The
	// least keeps all slots in use until a balancer hears that there is room.
	queueLeast = 1.5
	queueMost  = 3
	// queueShare is the share of the latency objective in which a new request should be answered, so that most are
	// answered within all of it.
	queueShare = 0.6
	// smoothing is the weight of one sample in the mean time of an answer.
	smoothing = 0.1
	// meanWindow is the time over which the mean number of requests at the target is taken.
	meanWindow = 2 * time.Second
)

// Gate is one agent's knowledge. It is not safe for use by several goroutines.
type Gate struct {
	settings Settings
	do       Actions
	target   target
	started  time.Time
	// flows holds every flow that the target is known to hold, or was offered.
	flows map[state.FlowID]*flow
	// owners knows the balancers that are thought to be running.
	owners relay.Owners
	// busy is the number of flows with busy set.
	busy int
	// held is the number of flows that are open at the target.
	held int
	// meanBusy is the mean of busy over about meanWindow.
	meanBusy    float64
	lastTick    time.Time
	serviceTime time.Duration
	// objective is the latency objective of the flows that were opened last; zero if unknown.
	objective time.Duration
	// unsureUntil is when a gate that started beside a running target knows all of its flows: flows that
	// were silent for so long may be dropped by anyone.
	unsureUntil time.Time
	// nextCheck is the earliest time of the next check of the target.
	nextCheck  time.Time
	nextReport time.Time
	lastReport time.Time
	// toldFull is true if the balancers were last told that there is no room.
	toldFull bool
	// toldBusy is true if a late flow was turned away because no slot was free, since the last report.
	toldBusy bool
	// stopping is set once the agent itself ends.
	stopping bool
}

// phase is how far a flow is in its life at the target.
type phase uint8

const (
	// offered: the opening packet was delivered and is not answered yet.
	offered phase = iota
	// probing: a packet of a flow that may not be the target's was delivered.
	probing
	// open: the target holds the flow.
	open
	// closed: both sides finished, or one reset the flow.
	closed
)

type flow struct {
	phase phase
	// balancer is the one that last carried a packet of the flow here.
	balancer netip.AddrPort
	since    time.Time
	last     time.Time
	// acknowledged is what the client last acknowledged, or what the target last sent if that is not known; a reset must
	// carry a number near it.
	acknowledged uint32
	// answered is set once the client has answered the target, or the target has sent data: the flow is open, and not
	// only offered.
	answered bool
	// assumed is set while the flow counts as open only because the target has not returned a packet of it.
	assumed bool
	// busy is set from the opening, and from each request's first packet, to the first packet of an answer.
	busy      bool
	busySince time.Time
	// asked is set once the first request has come.
	asked bool
	// sample is true if the time of the present answer tells how fast the target is.
	sample     bool
	finClient  bool
	finTarget  bool
	withPacket bool
}

// New returns a gate of an agent that starts now.
func New(now time.Time, settings Settings, do Actions) *Gate {
	return &Gate{
		target:      target{heard: now},
		started:     now,
		settings:    settings,
		do:          do,
		flows:       make(map[state.FlowID]*flow),
		unsureUntil: now.Add(settings.FlowTTL),
		lastTick:    now,
	}
}

// SetBalancers replaces the list of balancers. New ones are told of the target, and new owners of their flows.
func (g *Gate) SetBalancers(now time.Time, list []netip.AddrPort) {
	before := g.owners
	g.owners = relay.NewOwners(list)
	for _, b := range list {
		if !slices.Contains(before.All(), b) {
			g.do.Send(b, g.load(now))
		}
	}
	for id, f := range g.flows {
		if f.phase != open {
			continue
		}
		old := before.Of(id)
		for _, owner := range g.owners.Of(id) {
			if !slices.Contains(old, owner) {
				g.sendHeld(owner, id)
			}
		}
	}
}

// Stop makes the gate refuse new flows; those that are open go on.
func (g *Gate) Stop(now time.Time) {
	g.stopping = true
	g.report(now)
}

// Outstanding returns how many flows wait for an answer of the target.
func (g *Gate) Outstanding() int { return g.busy }

// OpenFlows returns how many flows are open.
func (g *Gate) OpenFlows() int { return g.held }
