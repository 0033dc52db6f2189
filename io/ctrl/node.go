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
	// tickInterval is the time between two ticks of the machine.
	tickInterval = 50 * time.Millisecond
	// maxQueuedMessages is how many received messages may be queued for the machine; any more are dropped.
	maxQueuedMessages = 512
	// maxQueuedCommands is how many commands of other goroutines may be queued for the machine.
	maxQueuedCommands = 64
	maxDatagramBytes  = 64 << 10
	// publishPauseFactor bounds the share of time that is spent on building views: after a view, the pause until the
	// next one is at least this many times as long as building it took.
	publishPauseFactor = 50
	// ipUDPHeaderBytes is the length of an IPv4 header and a UDP header, which the byte counters include.
	ipUDPHeaderBytes  = 28
	socketBufferBytes = 1 << 20
)

// Node is the control node of one process: it runs the gossip machine, polls the platform and publishes views.
type Node struct {
	settings conf.Node
	log      logs.Logger
	store    *store.Store
	conn     *net.UDPConn

	// The fields from machine to reportedClashes are accessed only by the goroutine that runs the machine (run), and by
	// New before it starts.
	// machine is the state machine of the gossip protocol.
	machine     *gossip.Machine
	fleetConfig *fleetConfig
	// publishedVersion is the machine's version in the last view.
	publishedVersion uint64
	// nextPublish is the earliest time at which the next view may be published.
	nextPublish time.Time
	// publishedGeneration is the newest active key generation in the last view.
	publishedGeneration state.Generation
	// reportedClashes has the ID of the last edit of each entry that was reported to clash with another, so that each
	// edit is reported once.
	reportedClashes map[state.ServiceName]string

	// incoming and commands are the queues of the machine's goroutine.
	incoming chan receivedMessage
	commands chan func(time.Time)

	view atomic.Pointer[View]
	// lastTick is the Unix time in milliseconds of the machine's last tick; zero before the first.
	lastTick atomic.Int64
	// onView is called with each new view: with the first one by New, then by the machine's goroutine. It must not block.
	onView func(*View)

	// stats is a copy of the machine's counters, for the metrics.
	stats atomic.Pointer[gossip.Stats]
	// lastPoll is the Unix time in milliseconds of the last successful read of the platform; zero before the first.
	lastPoll atomic.Int64
	joined   atomic.Bool
	// snapshot fetches all members and records that another node knows; nil if this node joins without a snapshot.
	snapshot func(context.Context, netip.AddrPort) ([]state.Member, []state.Record, error)
	metrics  nodeMetrics
}

// receivedMessage is a decrypted message that is queued for the machine. The generation is that of the keys with which it
// was sealed.
type receivedMessage struct {
	from       netip.AddrPort
	message    gossip.Message
	generation *keys.Generation
}

// Option changes a setting of a new node.
type Option func(*Node)

// OnView sets a function that is called with each new view: with the first one by New, then by the machine's goroutine. It
// must not block.
func OnView(f func(*View)) Option { return func(n *Node) { n.onView = f } }

// WithSnapshot sets the function with which a starting node fetches all members and records that another node knows,
// given that node's peer address.
func WithSnapshot(f func(context.Context, netip.AddrPort) ([]state.Member, []state.Record, error)) Option {
	return func(n *Node) { n.snapshot = f }
}

// New returns a node with the announcement a, to which it adds the addresses, the data centre and the region of the settings.
// It opens the gossip socket; Start starts the node's work.
func New(settings conf.Node, a state.Announcement, log logs.Logger, set *metrics.Set, options ...Option) (*Node, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(settings.Gossip))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "can't listen on gossipAddress %s", settings.Gossip)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
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
		fleetConfig:     newFleetConfig(),
		incoming:        make(chan receivedMessage, maxQueuedMessages),
		commands:        make(chan func(time.Time), maxQueuedCommands),
		onView:          func(*View) {},
		reportedClashes: make(map[state.ServiceName]string),
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

// View returns the latest view.
func (n *Node) View() *View { return n.view.Load() }

// ID returns this process's ID.
func (n *Node) ID() state.InstanceID { return n.View().Self.ID }

// PausedTooLong reports whether this process has been paused for so long that others may have declared it dead. Its view must
// then not be acted on.
func (n *Node) PausedTooLong() bool {
	last := n.lastTick.Load()
	return last != 0 && time.Since(time.UnixMilli(last)) > n.settings.Suspicion
}

// Joined reports whether the node has joined the fleet: it has loaded a snapshot of another member, or has read the platform
// after it found no other member or no snapshot within joinTimeout.
func (n *Node) Joined() bool { return n.joined.Load() }

// Start starts the node's goroutines in g.
func (n *Node) Start(g *group.Group) {
	g.Go("control receiver", n.receive)
	g.Go("control machine", n.run)
	g.Go("platform poll", n.poll)
	g.Go("join", n.join)
	g.Go("join list", n.maintainJoinList)
}

// Announce changes this node's announcement and spreads it.
func (n *Node) Announce(ctx context.Context, change func(*state.Announcement)) {
	n.enqueue(ctx, func(time.Time) { n.machine.Announce(change) })
}

// Leave announces that this process is leaving the fleet. It returns when the messages have been sent or ctx is done.
func (n *Node) Leave(ctx context.Context) {
	done := make(chan struct{})
	n.enqueue(ctx, func(time.Time) {
		n.send(n.machine.Leave(), nil)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// MergeRecord merges each of the records, which were read from the platform or written to it, and spreads those that are
// newer than the known ones. It queues the merge and does not wait for it.
func (n *Node) MergeRecord(ctx context.Context, records []state.Record) {
	n.enqueue(ctx, func(time.Time) {
		for _, r := range records {
			n.machine.MergeRecord(r)
		}
	})
}

// ExportSnapshot returns all members and records, for a starting node. It fails while this node has not joined the fleet
// itself: the starting node would otherwise count as joined with an almost empty snapshot.
func (n *Node) ExportSnapshot(ctx context.Context) ([]state.Member, []state.Record, error) {
	if !n.Joined() {
		return nil, nil, errs.New(errs.NoTarget, "no snapshot available: this process has not joined the fleet yet")
	}
	result := make(chan []state.Record, 1)
	n.enqueue(ctx, func(time.Time) { result <- n.machine.RecordSet().WithPrefix("") })
	select {
	case records := <-result:
		return n.View().Members, records, nil
	case <-ctx.Done():
		return nil, nil, errs.Wrap(ctx.Err(), errs.Internal, "reading the records for a snapshot was cancelled")
	}
}

// enqueue queues a command for the goroutine that runs the machine, which calls it with the current time. It waits while the
// queue is full; the command is discarded if ctx ends first.
func (n *Node) enqueue(ctx context.Context, command func(time.Time)) {
	select {
	case n.commands <- command:
	case <-ctx.Done():
	}
}

// receive decrypts gossip messages and queues them for the machine. A message that arrives while the queue is full is
// dropped.
func (n *Node) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		n.metrics.bytesIn.Add(size + ipUDPHeaderBytes)
		msg, generation, err := wire.OpenGossip(n.View().Keys, buf[:size])
		if err != nil {
			n.metrics.refused(errs.KindOf(err))
			continue
		}
		select {
		case n.incoming <- receivedMessage{netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), msg, generation}:
		default:
			n.metrics.overrun.Inc()
		}
	}
}

// run processes messages, commands and ticks. It is the only goroutine that uses the machine.
func (n *Node) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.incoming:
			n.send(n.machine.Receive(time.Now(), m.from, m.message), m.generation)
		case command := <-n.commands:
			command(time.Now())
		case <-ticker.C:
			if err := n.tick(time.Now()); err != nil {
				return err
			}
		}
	}
}

// tick advances the machine. It publishes a new view if the members, the records or the newest active key generation have
// changed and the pause after the last view is over.
func (n *Node) tick(now time.Time) error {
	n.send(n.machine.Tick(now), nil)
	n.lastTick.Store(now.UnixMilli())
	stats := n.machine.Stats()
	n.stats.Store(&stats)
	newest := n.fleetConfig.ring.Newest(millis(now))
	if n.machine.Version() == n.publishedVersion && newest == n.publishedGeneration || now.Before(n.nextPublish) {
		return nil
	}
	err := n.publish(now)
	n.nextPublish = now.Add(publishPauseFactor * time.Since(now))
	return err
}

// send seals and sends messages with the newest active key generation. Replies to a message that was sealed with an older
// generation are sealed with that one, because its sender may not know the newer one yet: answered is the generation of the
// message that is replied to, or nil.
func (n *Node) send(out []gossip.Send, answered *keys.Generation) {
	generation := n.View().Keys.Newest()
	if answered != nil && answered.Number < generation.Number {
		generation = answered
	}
	for _, s := range out {
		sealed, err := wire.SealGossip(generation, s.Message)
		if err != nil {
			n.log.Error("gossip message not sent: it could not be encoded and encrypted", "err", errs.Text(err))
			continue
		}
		n.metrics.bytesOut.Add(len(sealed) + ipUDPHeaderBytes)
		// A send error is ignored: the protocol tolerates lost messages, and this one counts as lost.
		_, _ = n.conn.WriteToUDPAddrPort(sealed, s.To)
	}
}
