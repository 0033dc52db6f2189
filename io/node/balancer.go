package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/steer"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// routersWait is how long packets may still come after the readiness page said no: two checks half a second apart,
	// and the answers on the way.
	routersWait = 1500 * time.Millisecond
	// quietEnd is how long no packet may come before a balancer that stops takes itself for unused.
	quietEnd = 300 * time.Millisecond
)

// Balancer is a running balancer for opaque flows.
type Balancer struct {
	*node
	clients *net.UDPConn
	steer   *steer.Balancer
	config  *configKeeper
	ready   atomic.Bool
	// lastPacket is when a client's packet last came; only the owner of the state uses it.
	lastPacket time.Time
}

// NewBalancer starts a balancer in a group.
func NewBalancer(g *group.Group, s BalancerSettings, codec Codec, source ConfigSource, directory Directory,
	log logs.Logger, set *metrics.Set,
) (*Balancer, error) {
	n, err := newNode(g, s.Settings, codec, directory, log, set, state.Announcement{Role: state.RoleBalancer})
	if err != nil {
		return nil, err
	}
	clients, err := listen(s.Clients, "clients")
	if err != nil {
		return nil, err
	}
	b := &Balancer{node: n, clients: clients}
	b.steer = steer.New(time.Now(), steer.Settings{
		Self: s.Internal, DataCentre: s.DataCentre, FlowTTL: s.FlowTTL,
	}, steer.Actions{Send: n.send, Reset: b.reset, OnDecision: n.notes.note})
	b.config = newConfigKeeper(b, source)
	n.onRelay = b.steer.HandleMessage
	n.onPacket = b.packet
	n.onTick = b.tick
	n.nodesFirst = true
	n.onPause = b.steer.ProcessPaused
	n.onMissed = b.steer.MessagesDropped
	n.onMembers = b.members
	n.onIdle = b.steer.FlushQueries
	n.start()
	n.receive("client receiver", clients, fromClients)
	g.Go("list writer", n.joiner.publish)
	b.config.start()
	return b, nil
}

// Ready returns why the balancer takes no packets, or nil.
func (b *Balancer) Ready() error {
	if b.stopped.Load() {
		return errs.New(errs.Draining, "the balancer is stopping")
	}
	if !b.ready.Load() {
		return errs.New(errs.NoTarget, "no configuration, or no target that takes flows")
	}
	return nil
}

// Pages returns the page that other balancers read.
func (b *Balancer) Pages() http.Handler { return b.config.pages() }

// Stop ends the balancer gracefully: it says that it is not ready, carries packets until the routers send none, and
// leaves the fleet.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopped.Store(true)
	end := time.Now().Add(b.settings.Grace / 2)
	if !group.Sleep(ctx, routersWait) {
		return
	}
	for time.Now().Before(end) {
		quiet := false
		if err := b.call(ctx, func(now time.Time) { quiet = now.Sub(b.lastPacket) > quietEnd }); err != nil || quiet {
			break
		}
		if !group.Sleep(ctx, quietEnd/2) {
			return
		}
	}
	b.onOwner(ctx, func(time.Time) { b.sendGossip(b.fleet.leave()) })
}

func (b *Balancer) packet(now time.Time, _ source, seg state.Segment) {
	b.lastPacket = now
	b.steer.HandlePacket(now, seg)
}

func (b *Balancer) tick(now time.Time) {
	b.steer.SetMembershipComplete(b.fleet.machine.MembershipComplete())
	b.steer.Tick(now)
	b.ready.Store(b.steer.ActiveVersion() != 0 && b.steer.AcceptingTargets(now) > 0)
	b.config.follow()
}

func (b *Balancer) members(now time.Time, members []state.Member) {
	b.steer.SetMembers(now, members)
	list := balancers(members)
	b.steer.SetBalancers(list)
	b.config.setBalancers(list)
	b.config.follow()
}

// reset sends a client a reset.
func (b *Balancer) reset(flow state.FlowID, sequence uint32) {
	to := netip.AddrPortFrom(flow.Client.AddrPort().Addr(), b.clientPort())
	b.write(b.clients, to, b.codec.Reset(flow, sequence))
}

// clientPort is the port at which clients take packets: the one at which balancers do.
func (b *Balancer) clientPort() uint16 {
	return b.clients.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
