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
	// ringSize is how many datagrams of a source wait for the owner of the state; more are dropped, as a full socket would.
	ringSize = 512
	// nodesBatch is how many datagrams of other nodes a balancer handles before it looks at anything else.
	nodesBatch = 32
	// callsSize is how many calls of other duties wait.
	callsSize = 64
	// datagramSize is the size of a receive buffer in bytes: the largest packet, a full gossip message and headers.
	datagramSize = 2048
	// tickPeriod is the time between two ticks of the state.
	tickPeriod = 50 * time.Millisecond
	// stallTime is a gap between ticks after which the process counts as having been paused.
	stallTime = 500 * time.Millisecond
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
	settings Settings
	codec    Codec
	group    *group.Group
	log      logs.Logger
	metrics  *metrics.Set
	notes    *notes
	fleet    *fleet
	joiner   *joiner
	internal *net.UDPConn
	// rings has the datagrams of each source that wait.
	rings [sourceCount]chan datagram
	// nodesFirst is true if what other nodes tell goes before the packets of clients: a process that falls behind must not
	// take others for silent.
	nodesFirst bool
	free       chan []byte
	calls      chan func(now time.Time)
	// dropped counts the datagrams of each source that found the ring full.
	dropped [sourceCount]*metrics.Counter
	// missed counts those of other nodes since the last tick.
	missed atomic.Uint32
	// unreadable counts datagrams and packets that could not be decoded.
	unreadable *metrics.Counter
	unsent     *metrics.Counter
	// scratch is reused to encode datagrams; only the owner of the state uses it.
	scratch []byte
	stopped atomic.Bool
	lastRun time.Time

	// The following are set by the balancer or the agent. They run on the owner of the state.
	onRelay  func(now time.Time, from netip.AddrPort, m relay.Message, seg state.Segment)
	onPacket func(now time.Time, from source, seg state.Segment)
	onTick   func(now time.Time)
	onPause  func(gap time.Duration)
	// onMissed is called when datagrams of other nodes were dropped.
	onMissed  func(now time.Time)
	onMembers func(now time.Time, members []state.Member)
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
		settings:   s,
		codec:      codec,
		group:      g,
		log:        log,
		metrics:    set,
		internal:   conn,
		free:       make(chan []byte, ringSize),
		calls:      make(chan func(time.Time), callsSize),
		unreadable: set.NewCounter("monsoonstep_datagrams_unreadable_total"),
		unsent:     set.NewCounter("monsoonstep_datagrams_unsent_total"),
	}
	for s := range sourceCount {
		n.rings[s] = make(chan datagram, ringSize)
		n.dropped[s] = set.NewCounter(`monsoonstep_datagrams_dropped_total{from="` + s.String() + `"}`)
	}
	n.notes = newNotes(log.Part("flows"), set)
	n.fleet = newFleet(s, self, log.Part("fleet"))
	n.joiner = newJoiner(n, directory)
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
	n.receive("internal receiver", n.internal, fromNodes)
	n.group.Go("state", n.own)
	n.group.Go("joiner", n.joiner.find)
}

// receive starts the duty that reads a socket.
func (n *node) receive(name string, conn *net.UDPConn, from source) {
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
			n.push(datagram{source: from, from: sender, buffer: buffer, length: length})
		}
	})
}

func (n *node) push(d datagram) {
	select {
	case n.rings[d.source] <- d:
	default:
		n.dropped[d.source].Inc()
		if d.source == fromNodes {
			n.missed.Add(1)
		}
		n.recycle(d.buffer)
	}
}

func (n *node) buffer() []byte {
	select {
	case b := <-n.free:
		return b
	default:
		return make([]byte, datagramSize)
	}
}

func (n *node) recycle(b []byte) {
	select {
	case n.free <- b:
	default:
	}
}

// own is the duty that owns the state.
func (n *node) own(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	n.lastRun = time.Now()
	for {
		if n.nodesFirst {
			n.handleNodes()
		}
		select {
		case d := <-n.rings[fromNodes]:
			n.take(d)
		case d := <-n.rings[fromClients]:
			n.take(d)
		case d := <-n.rings[fromTarget]:
			n.take(d)
		case call := <-n.calls:
			call(time.Now())
		case <-ticker.C:
			n.tick(time.Now())
			n.rest()
		case <-ctx.Done():
			return nil
		}
	}
}

// handleNodes handles datagrams of other nodes that wait, up to a batch of them.
func (n *node) handleNodes() {
	for range nodesBatch {
		select {
		case d := <-n.rings[fromNodes]:
			n.take(d)
		default:
			return
		}
	}
}

func (n *node) take(d datagram) {
	n.handle(time.Now(), d)
	n.recycle(d.buffer)
	n.rest()
}

// rest tells that no further datagram waits.
func (n *node) rest() {
	for _, ring := range n.rings {
		if len(ring) > 0 {
			return
		}
	}
	n.onIdle()
}

func (n *node) tick(now time.Time) {
	if gap := now.Sub(n.lastRun); gap > stallTime {
		n.log.Part("process").Warn("the process was paused", "gap", gap)
		n.onPause(gap - tickPeriod)
	}
	n.lastRun = now
	if missed := n.missed.Swap(0); missed > 0 {
		n.log.Part("process").Warn("datagrams of other nodes were dropped: the process falls behind", "count", missed)
		n.onMissed(now)
	}
	n.sendGossip(n.fleet.tick(now))
	n.updateMembers(now)
	n.onTick(now)
}

func (n *node) updateMembers(now time.Time) {
	if members, changed := n.fleet.changed(); changed {
		n.joiner.update(now, balancers(members), n.fleet.alone)
		n.onMembers(now, members)
	}
}

// handle handles one datagram.
func (n *node) handle(now time.Time, d datagram) {
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
		n.sendGossip(n.fleet.greet(now, from))
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
	n.sendGossip(n.fleet.greet(now, from))
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

// call runs f on the owner of the state and waits for it, or for the end of the context.
func (n *node) call(ctx context.Context, f func(now time.Time)) error {
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

// onOwner runs f on the owner of the state and logs if it did not run.
func (n *node) onOwner(ctx context.Context, f func(time.Time)) {
	if err := n.call(ctx, f); err != nil {
		n.log.Part("process").Warn("a step was left out", "error", errs.Text(err))
	}
}
