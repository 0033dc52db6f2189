package ctrl

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
	"monsoonstep/io/store"
)

const (
	tickPeriod = 50 * time.Millisecond
	// incomingRing is how many received messages may wait for the machine.
	incomingRing = 512
	// commandRing is how many calls from other duties may wait for the machine.
	commandRing = 64
	maxDatagram = 64 << 10
	// viewPauses bounds the time spent on views: after each, a pause of so many times its duration.
	viewPauses   = 50
	udpHeader    = 28
	socketBuffer = 1 << 20
)

// Node is one process's part in the control of the fleet.
type Node struct {
	settings conf.Node
	log      logs.Logger
	store    *store.Store
	conn     *net.UDPConn

	// machine, intent and the fields below are touched by the machine's duty only.
	machine *gossip.Machine
	intent  *intent
	seen    uint64
	// nextView is when the next view may be published.
	nextView  time.Time
	newestKey state.Generation
	// clashes holds the edit of each entry that clashes with another, so that it is told once.
	clashes map[state.ServiceName]string

	incoming chan packet
	commands chan func(time.Time)

	view   atomic.Pointer[View]
	lapsed atomic.Int64
	// onView is called by the machine's duty after each new view.
	onView func(*View)

	// stats is the machine's counts, for the metrics.
	stats    atomic.Pointer[gossip.Stats]
	polled   atomic.Int64
	joined   atomic.Bool
	snapshot func(context.Context, netip.AddrPort) ([]state.Member, []state.Record, error)
	metrics  nodeMetrics
}

// packet is one opened message on its way to the machine.
type packet struct {
	from       netip.AddrPort
	message    gossip.Message
	generation *keys.Generation
}

// Option changes a new node.
type Option func(*Node)

// OnView sets a function that is called after each change of the view. It must not block.
func OnView(f func(*View)) Option { return func(n *Node) { n.onView = f } }

// WithSnapshot sets how a starting node fetches all that another one knows.
func WithSnapshot(f func(context.Context, netip.AddrPort) ([]state.Member, []state.Record, error)) Option {
	return func(n *Node) { n.snapshot = f }
}

// New returns a node that announces itself as a.
func New(settings conf.Node, a state.Announcement, log logs.Logger, set *metrics.Set, options ...Option) (*Node, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(settings.Gossip))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "gossipAddress %s can't be listened on", settings.Gossip)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	started := millis(time.Now())
	a.DataCentre, a.Region = settings.DataCentre, settings.Region
	a.Gossip, a.Flow, a.Peer = settings.Gossip, settings.Flow, settings.Peer
	self := state.Member{ID: state.NewInstanceID(settings.Instance, started), Announcement: a}
	n := &Node{
		settings: settings,
		log:      log.Part("control"),
		store:    store.New(settings.Platform),
		conn:     conn,
		machine: gossip.New(self, state.NewRecordSet(), uint64(started),
			gossip.WithProbePeriod(settings.ProbePeriod),
			gossip.WithSuspicionTimeout(settings.Suspicion),
			gossip.WithBytesPerSecond(float64(settings.BytesPerSecond))),
		intent:   newIntent(),
		incoming: make(chan packet, incomingRing),
		commands: make(chan func(time.Time), commandRing),
		onView:   func(*View) {},
		clashes:  make(map[state.ServiceName]string),
	}
	for _, option := range options {
		option(n)
	}
	n.stats.Store(&gossip.Stats{})
	n.metrics = newNodeMetrics(set, n)
	if err := n.publish(time.Now()); err != nil {
		return nil, err
	}
	return n, nil
}

// View returns the present view.
func (n *Node) View() *View { return n.view.Load() }

// ID returns this process's ID.
func (n *Node) ID() state.InstanceID { return n.View().Self.ID }

// PausedTooLong reports whether this process was paused for so long that its view must not be acted on.
func (n *Node) PausedTooLong() bool {
	last := n.lapsed.Load()
	return last != 0 && time.Since(time.UnixMilli(last)) > n.settings.Suspicion
}

// Joined reports whether the node has heard of the others, or knows that there are none.
func (n *Node) Joined() bool { return n.joined.Load() }

// Start starts the node's duties.
func (n *Node) Start(g *group.Group) {
	g.Go("control receiver", n.receive)
	g.Go("control machine", n.run)
	g.Go("platform poll", n.poll)
	g.Go("join", n.join)
	g.Go("join list", n.keepJoinList)
}

// Announce changes what this node says of itself.
func (n *Node) Announce(ctx context.Context, change func(*state.Announcement)) {
	n.do(ctx, func(time.Time) { n.machine.Announce(change) })
}

// Leave tells the others that this process goes. It returns when the messages are sent.
func (n *Node) Leave(ctx context.Context) {
	done := make(chan struct{})
	n.do(ctx, func(time.Time) {
		n.send(n.machine.Leave(), nil)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// MergeRecord takes in records that were read from the platform.
func (n *Node) MergeRecord(ctx context.Context, records []state.Record) {
	n.do(ctx, func(time.Time) {
		for _, r := range records {
			n.machine.MergeRecord(r)
		}
	})
}

// ExportSnapshot returns all members and records, for a starting node. A node that has not joined refuses: a
// starting one that asked it would take itself for joined and know next to nothing.
func (n *Node) ExportSnapshot(ctx context.Context) ([]state.Member, []state.Record, error) {
	if !n.Joined() {
		return nil, nil, errs.New(errs.NoTarget, "this process has not joined the fleet itself")
	}
	result := make(chan []state.Record, 1)
	n.do(ctx, func(time.Time) { result <- n.machine.RecordSet().WithPrefix("") })
	select {
	case records := <-result:
		return n.View().Members, records, nil
	case <-ctx.Done():
		return nil, nil, errs.Wrap(ctx.Err(), errs.Internal, "snapshot")
	}
}

func (n *Node) do(ctx context.Context, command func(time.Time)) {
	select {
	case n.commands <- command:
	case <-ctx.Done():
	}
}

// receive opens messages and hands them to the machine. What the ring has no room for is dropped.
func (n *Node) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		n.metrics.bytesIn.Add(size + udpHeader)
		msg, generation, err := wire.OpenGossip(n.View().Keys, buf[:size])
		if err != nil {
			n.metrics.refused(errs.KindOf(err))
			continue
		}
		select {
		case n.incoming <- packet{netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), msg, generation}:
		default:
			n.metrics.overrun.Inc()
		}
	}
}

// run owns the machine.
func (n *Node) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-n.incoming:
			n.send(n.machine.Receive(time.Now(), p.from, p.message), p.generation)
		case command := <-n.commands:
			command(time.Now())
		case <-ticker.C:
			if err := n.tick(time.Now()); err != nil {
				return err
			}
		}
	}
}

func (n *Node) tick(now time.Time) error {
	n.send(n.machine.Tick(now), nil)
	n.lapsed.Store(now.UnixMilli())
	stats := n.machine.Stats()
	n.stats.Store(&stats)
	newest := n.intent.ring.Newest(millis(now))
	if n.machine.Version() == n.seen && newest == n.newestKey || now.Before(n.nextView) {
		return nil
	}
	err := n.publish(now)
	n.nextView = now.Add(viewPauses * time.Since(now))
	return err
}

// send seals and sends messages: with the generation of the message that they answer if it is an
// older one, because its sender may know no newer one yet.
func (n *Node) send(out []gossip.Send, answered *keys.Generation) {
	generation := n.View().Keys.Newest()
	if answered != nil && answered.Number < generation.Number {
		generation = answered
	}
	for _, s := range out {
		sealed, err := wire.SealGossip(generation, s.Message)
		if err != nil {
			n.log.Error("a control message could not be sealed", "err", errs.Text(err))
			continue
		}
		n.metrics.bytesOut.Add(len(sealed) + udpHeader)
		// A message that the system does not take is lost like one that the network drops.
		_, _ = n.conn.WriteToUDPAddrPort(sealed, s.To)
	}
}
