package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/hops"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// receiveQueueLength is how many datagrams of a source wait for the owner of the state; more are dropped, as a full socket would.
	receiveQueueLength = 512
	// maxNodesBatch is how many datagrams of other nodes a balancer handles before it looks at anything else.
	maxNodesBatch = 32
	// callQueueLength is how many calls of other duties wait.
	callQueueLength = 64
	// maxDatagramBytes is the size of a receive buffer in bytes: the largest packet, a full gossip message and headers.
	maxDatagramBytes = 2048
	// tickInterval is the time between two ticks of the state.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is a gap between ticks after which the process counts as having been paused.
	pauseThreshold = 500 * time.Millisecond
)

// source tells which socket a datagram came from.
type source uint8

const (
	fromNodes source = iota
	fromClients
	fromTarget
	sourceCount
)

// String returns the source's name in metrics.
func (s source) String() string { return [...]string{"nodes", "clients", "target"}[s] }

// datagram is one received datagram.
type datagram struct {
	source source
	from   netip.AddrPort
	buffer []byte
	length int
}

// node is what balancers and agents have in common.
type node struct {
	settings    Settings
	codec       Codec
	group       *group.Group
	log         logs.Logger
	metrics     *metrics.Set
	decisionLog *decisionLog
	fleet       *fleet
	discovery   *discovery
	internal    *net.UDPConn
	// queues has the datagrams of each source that wait.
	queues [sourceCount]chan datagram
	// prioritiseNodes is true if what other nodes tell goes before the packets of clients: a process that falls behind must not
	// take others for silent.
	prioritiseNodes bool
	freeBuffers     chan []byte
	calls           chan func(now time.Time)
	// dropped counts the datagrams of each source that found the ring full.
	dropped [sourceCount]*metrics.Counter
	// droppedFromNodes counts those of other nodes since the last tick.
	droppedFromNodes atomic.Uint32
	// unreadable counts datagrams and packets that could not be decoded.
	unreadable *metrics.Counter
	unsent     *metrics.Counter
	// scratch is reused to encode datagrams; only the owner of the state uses it.
	scratch  []byte
	stopped  atomic.Bool
	lastTick time.Time

	// The following are set by the balancer or the agent. They run on the owner of the state.
	onRelay  func(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment)
	onPacket func(now time.Time, from source, seg state.Segment)
	onTick   func(now time.Time)
	onPause  func(gap time.Duration)
	// onMessagesDropped is called when datagrams of other nodes were dropped.
	onMessagesDropped func(now time.Time)
	onMembers         func(now time.Time, members []state.Member)
	// onIdle is called when no further datagram waits.
	onIdle func()
}

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
	return n, nil
}

func listen(address netip.AddrPort, name string) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "%s address %s can't be listened on", name, address)
	}
	return conn, nil
}

// start starts the duties.
func (n *node) start() {
	n.startReceiver("internal receiver", n.internal, fromNodes)
	n.group.Go("state", n.eventLoop)
	n.group.Go("joiner", n.discovery.discover)
}

// startReceiver starts the duty that reads a socket.
func (n *node) startReceiver(name string, conn *net.UDPConn, from source) {
	n.group.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		for {
			buffer := n.buffer()
			length, sender, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				if errors.Is(err, net.ErrClosed) {
					return errs.Wrap(err, errs.Internal, "%s", name)
				}
				// A port without a listener on the other side shows as an error of the next read.
				continue
			}
			n.enqueue(datagram{source: from, from: sender, buffer: buffer, length: length})
		}
	})
}

func (n *node) enqueue(d datagram) {
	select {
	case n.queues[d.source] <- d:
	default:
		n.dropped[d.source].Inc()
		if d.source == fromNodes {
			n.droppedFromNodes.Add(1)
		}
		n.recycle(d.buffer)
	}
}

func (n *node) buffer() []byte {
	select {
	case b := <-n.freeBuffers:
		return b
	default:
		return make([]byte, maxDatagramBytes)
	}
}

func (n *node) recycle(b []byte) {
	select {
	case n.freeBuffers <- b:
	default:
	}
}

// eventLoop is the duty that owns the state.
func (n *node) eventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	n.lastTick = time.Now()
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

// handleNodes handles datagrams of other nodes that wait, up to a batch of them.
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

func (n *node) process(d datagram) {
	n.handleDatagram(time.Now(), d)
	n.recycle(d.buffer)
	n.notifyIfIdle()
}

// notifyIfIdle tells that no further datagram waits.
func (n *node) notifyIfIdle() {
	for _, ring := range n.queues {
		if len(ring) > 0 {
			return
		}
	}
	n.onIdle()
}

func (n *node) tick(now time.Time) {
	if gap := now.Sub(n.lastTick); gap > pauseThreshold {
		n.log.Part("process").Warn("the process was paused", "gap", gap)
		n.onPause(gap - tickInterval)
	}
	n.lastTick = now
	if missed := n.droppedFromNodes.Swap(0); missed > 0 {
		n.log.Part("process").Warn("datagrams of other nodes were dropped: the process falls behind", "count", missed)
		n.onMessagesDropped(now)
	}
	n.sendGossip(n.fleet.tick(now))
	n.updateMembers(now)
	n.onTick(now)
}

func (n *node) updateMembers(now time.Time) {
	if members, changed := n.fleet.changed(); changed {
		n.discovery.setBalancers(now, balancers(members), n.fleet.alone)
		n.onMembers(now, members)
	}
}

// handleDatagram handles one datagram.
func (n *node) handleDatagram(now time.Time, d datagram) {
	packet := d.buffer[:d.length]
	if d.source != fromNodes {
		decode := n.codec.Decode
		if d.source == fromTarget {
			decode = n.codec.DecodeOutbound
		}
		seg, err := decode(packet)
		if err != nil {
			n.unreadable.Inc()
			return
		}
		n.onPacket(now, d.source, seg)
		return
	}
	sort, ok := hops.TypeOf(packet)
	if !ok {
		n.unreadable.Inc()
		return
	}
	if sort == hops.TypeGossip {
		n.handleGossip(now, d.from, packet)
		return
	}
	n.handleRelay(now, d.from, packet)
}

func (n *node) handleGossip(now time.Time, from netip.AddrPort, packet []byte) {
	m, err := hops.DecodeGossip(packet)
	if err != nil {
		n.unreadable.Inc()
		return
	}
	n.sendGossip(n.fleet.receive(now, from, m))
	n.updateMembers(now)
	if m.To != "" && m.To != n.fleet.machine.Self().ID {
		n.sendGossip(n.fleet.introduce(now, from))
	}
}

func (n *node) handleRelay(now time.Time, from netip.AddrPort, packet []byte) {
	m, err := hops.DecodeRelay(packet)
	if err != nil {
		n.unreadable.Inc()
		return
	}
	var seg state.Segment
	if len(m.Packet) > 0 {
		if seg, err = n.codec.Decode(m.Packet); err != nil {
			n.unreadable.Inc()
			return
		}
	}
	n.sendGossip(n.fleet.introduce(now, from))
	n.onRelay(now, from, m, seg)
}

// send sends a message to another node. It runs on the owner of the state.
func (n *node) send(to netip.AddrPort, m relay.Message) {
	n.scratch = hops.AppendRelay(n.scratch[:0], m)
	n.write(n.internal, to, n.scratch)
}

func (n *node) sendGossip(sends []gossip.Send) {
	for _, s := range sends {
		n.scratch = hops.AppendGossip(n.scratch[:0], s.Message)
		n.write(n.internal, s.To, n.scratch)
	}
}

// write sends a datagram. One that can't be sent is lost like any other, and counted.
func (n *node) write(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil && !errors.Is(err, os.ErrClosed) {
		n.unsent.Inc()
	}
}

// runInLoop runs f on the owner of the state and waits for it, or for the end of the context.
func (n *node) runInLoop(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case n.calls <- wrapped:
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Overloaded, "the process is busy")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.OutcomeUnknown, "the process is busy")
	}
}

// runInLoopOrLog runs f on the owner of the state and logs if it did not run.
func (n *node) runInLoopOrLog(ctx context.Context, f func(time.Time)) {
	if err := n.runInLoop(ctx, f); err != nil {
		n.log.Part("process").Warn("a step was left out", "error", errs.Text(err))
	}
}
