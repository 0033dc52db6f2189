package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// receiveQueueLength is the capacity of the queue of each source. Datagrams that find it full are dropped, as a full socket
	// buffer would drop them.
	receiveQueueLength = 512
	// maxNodesBatch is the maximum number of datagrams from other nodes that a balancer processes before it turns to other events.
	maxNodesBatch = 32
	// callQueueLength is the capacity of the queue of calls from other goroutines.
	callQueueLength = 64
	// maxDatagramBytes is the size of a receive buffer in bytes. It fits the largest packet or a full gossip message, with headers.
	maxDatagramBytes = 2048
	// tickInterval is the time between two ticks of the event loop.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two ticks beyond which the process counts as having been paused.
	pauseThreshold = 500 * time.Millisecond
)

// node is the part that balancers and agents share: sockets, queues, the event loop and the membership. Only the event loop uses the
// field fleet and the state of the balancer or agent.
type node struct {
	settings    Settings
	codec       Codec
	group       *group.Group
	log         logs.Logger
	metrics     *metrics.Set
	decisionLog *decisionLog
	fleet       *fleet
	discovery   *discovery
	// evacuation is nil if the settings don't ask for evacuation.
	evacuation *evacuation
	internal   *net.UDPConn
	// queues hold the datagrams of each source until the event loop processes them.
	queues [sourceCount]chan datagram
	// prioritiseNodes is true if datagrams from other nodes are processed before packets of clients. Otherwise a process that falls
	// behind would count other nodes as unresponsive although their messages have arrived.
	prioritiseNodes bool
	// freeBuffers holds receive buffers for reuse.
	freeBuffers chan []byte
	// calls holds the functions that other goroutines want to run in the event loop.
	calls chan func(now time.Time)
	// dropped counts the datagrams of each source that were dropped because its queue was full.
	dropped [sourceCount]*metrics.Counter
	// droppedFromNodes counts the dropped datagrams from other nodes since the last tick.
	droppedFromNodes atomic.Uint32
	// unreadable counts datagrams and packets that could not be decoded.
	unreadable *metrics.Counter
	traffic    *traffic
	// unsent counts datagrams that could not be sent.
	unsent *metrics.Counter
	// scratch is reused to encode datagrams; only the event loop uses it.
	scratch []byte
	// heardPeer is closed once a gossip message of another node has been handled.
	heardPeer chan struct{}
	// stopped is set once the process has been asked to stop.
	stopped  atomic.Bool
	lastTick time.Time

	// The balancer or agent sets the following callbacks. They run in the event loop.

	// onRelay handles a message from another node. The segment is that of its packet, if it carries one.
	onRelay func(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment)
	// onPacket handles a packet from a client or from the target.
	onPacket func(now time.Time, from source, seg state.Segment)
	onTick   func(now time.Time)
	// onPause is called after the process was paused, with the length of the pause.
	onPause func(gap time.Duration)
	// onNodeHeard is called for each datagram from another node.
	onNodeHeard func(now time.Time)
	// onMessagesDropped is called when datagrams from other nodes have been dropped.
	onMessagesDropped func(now time.Time)
	// onMembers is called when members have changed.
	onMembers func(now time.Time, members []state.Member)
	// onIdle is called when all queues are empty.
	onIdle func()
}

// newNode opens the internal socket. It starts no goroutine; start does.
func newNode(g *group.Group, s Settings, codec Codec, directory Directory, log logs.Logger, set *metrics.Set,
	self state.Announcement,
) (*node, error) {
	conn, err := listen(s.Listen, "internal")
	if err != nil {
		return nil, err
	}
	n := &node{
		settings:    s,
		codec:       codec,
		group:       g,
		log:         log,
		metrics:     set,
		internal:    conn,
		freeBuffers: make(chan []byte, receiveQueueLength),
		calls:       make(chan func(time.Time), callQueueLength),
		heardPeer:   make(chan struct{}),
		traffic:     newTraffic(set),
		unreadable:  set.NewCounter("monsoonstep_datagrams_unreadable_total"),
		unsent:      set.NewCounter("monsoonstep_datagrams_unsent_total"),
	}
	for s := range sourceCount {
		n.queues[s] = make(chan datagram, receiveQueueLength)
		n.dropped[s] = set.NewCounter(`monsoonstep_datagrams_dropped_total{from="` + s.String() + `"}`)
	}
	n.decisionLog = newDecisionLog(log.Part("flows"), set)
	n.fleet = newFleet(s, self, log.Part("fleet"))
	n.discovery = newDiscovery(n, directory)
	n.evacuation = newEvacuation(s, n.fleet, log.Part("evacuation"), set)
	return n, nil
}

// start starts the goroutines that both roles have.
func (n *node) start() {
	n.startReceiver("internal receiver", n.internal, fromNodes)
	n.group.Go("state", n.eventLoop)
	n.group.Go("joiner", n.discovery.discover)
}

// eventLoop runs everything that uses the state of the process, so that the state needs no locks.
func (n *node) eventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.lastTick = time.Now()
	n.tick(n.lastTick) // joins the fleet without waiting for the ticker
	for {
		if n.prioritiseNodes {
			n.handleNodes()
		}
		select {
		case d := <-n.queues[fromNodes]:
			n.process(d)
		case d := <-n.queues[fromClients]:
			n.process(d)
		case d := <-n.queues[fromTarget]:
			n.process(d)
		case call := <-n.calls:
			call(time.Now())
		case <-ticker.C:
			n.tick(time.Now())
			n.notifyIfIdle()
		case <-ctx.Done():
			return nil
		}
	}
}

// handleNodes processes queued datagrams from other nodes, up to maxNodesBatch.
func (n *node) handleNodes() {
	for range maxNodesBatch {
		select {
		case d := <-n.queues[fromNodes]:
			n.process(d)
		default:
			return
		}
	}
}

// process handles a queued datagram and recycles its buffer.
func (n *node) process(d datagram) {
	n.handleDatagram(time.Now(), d)
	n.recycle(d.buffer)
	n.notifyIfIdle()
}

// notifyIfIdle calls onIdle if all queues are empty.
func (n *node) notifyIfIdle() {
	for _, queue := range n.queues {
		if len(queue) > 0 {
			return
		}
	}
	n.onIdle()
}

// tick detects pauses and dropped messages, and advances the membership and the balancer or agent.
func (n *node) tick(now time.Time) {
	if gap := now.Sub(n.lastTick); gap > pauseThreshold {
		n.log.Part("process").Warn("process was paused; nothing was processed meanwhile", "gap", gap)
		n.onPause(gap - tickInterval)
	}
	n.lastTick = now
	if droppedFromNodes := n.droppedFromNodes.Swap(0); droppedFromNodes > 0 {
		n.log.Part("process").Warn("datagrams from other nodes were dropped because their queue was full", "count", droppedFromNodes)
		n.onMessagesDropped(now)
	}
	n.sendGossip(n.fleet.tick(now))
	n.updateMembers(now)
	n.evacuation.tick(now)
	n.onTick(now)
}

// updateMembers passes the members on if they have changed.
func (n *node) updateMembers(now time.Time) {
	if members, changed := n.fleet.changed(); changed {
		n.evacuation.applyAnnounced(now)
		n.discovery.setFleet(now, relay.Addresses(balancers(members)), n.fleet.machine.IsSeparated(), n.fleet.storeEra())
		n.onMembers(now, members)
	}
}

// runInLoop runs f in the event loop and waits until it has returned or the context ends. An error of kind OutcomeUnknown means that
// f may still run.
func (n *node) runInLoop(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case n.calls <- wrapped:
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Overloaded, "event loop did not accept the call in time")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "event loop did not complete the call in time")
	}
}

// runInLoopOrLog runs f in the event loop, and logs a warning if it has not run before the context ended.
func (n *node) runInLoopOrLog(ctx context.Context, f func(time.Time)) {
	if err := n.runInLoop(ctx, f); err != nil {
		n.log.Part("process").Warn("call into the event loop failed; it may not have run", "error", errs.Text(err))
	}
}
