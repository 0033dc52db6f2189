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
	// routerNoticeDelay is how long packets may still come after the readiness page said no: two checks half a second apart,
	// and the answers on the way.
	routerNoticeDelay = 1500 * time.Millisecond
	// idleThreshold is how long no packet may come before a balancer that stops takes itself for unused.
	idleThreshold = 300 * time.Millisecond
)

// Balancer is a running balancer for opaque flows.
type Balancer struct {
	*node
	clients *net.UDPConn
	steer   *steer.Balancer
	config  *configSyncer
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
	}, steer.Actions{Send: n.send, Reset: b.sendReset, OnDecision: n.decisionLog.record})
	b.config = newConfigSyncer(b, source)
	n.onRelay = b.steer.HandleMessage
	n.onPacket = b.handlePacket
	n.onTick = b.handleTick
	n.prioritiseNodes = true
	n.onPause = b.steer.ProcessPaused
	n.onMessagesDropped = b.steer.MessagesDropped
	n.onMembers = b.setMembers
	n.onIdle = b.steer.FlushQueries
	n.start()
	n.startReceiver("client receiver", clients, fromClients)
	g.Go("list writer", n.discovery.publishList)
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
func (b *Balancer) Pages() http.Handler { return b.config.handler() }

// Stop ends the balancer gracefully: it says that it is not ready, carries packets until the routers send none, and
// leaves the fleet.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopped.Store(true)
	end := time.Now().Add(b.settings.Grace / 2)
	if !group.Sleep(ctx, routerNoticeDelay) {
		return
	}
	for time.Now().Before(end) {
		quiet := false
		if err := b.runInLoop(ctx, func(now time.Time) { quiet = now.Sub(b.lastPacket) > idleThreshold }); err != nil || quiet {
			break
		}
		if !group.Sleep(ctx, idleThreshold/2) {
			return
		}
	}
	b.runInLoopOrLog(ctx, func(time.Time) { b.sendGossip(b.fleet.leave()) })
}

func (b *Balancer) handlePacket(now time.Time, _ source, seg state.Segment) {
	b.lastPacket = now
	b.steer.HandlePacket(now, seg)
}

func (b *Balancer) handleTick(now time.Time) {
	b.steer.SetMembershipComplete(b.fleet.machine.MembershipComplete())
	b.steer.Tick(now)
	b.ready.Store(b.steer.ActiveVersion() != 0 && b.steer.AcceptingTargets(now) > 0)
	b.config.fetchIfOutdated()
}

func (b *Balancer) setMembers(now time.Time, members []state.Member) {
	b.steer.SetMembers(now, members)
	list := balancers(members)
	b.steer.SetBalancers(list)
	b.config.setBalancers(list)
	b.config.fetchIfOutdated()
}

// sendReset sends a client a sendReset.
func (b *Balancer) sendReset(flow state.FlowID, sequence uint32) {
	to := netip.AddrPortFrom(flow.Client.AddrPort().Addr(), b.clientPort())
	b.write(b.clients, to, b.codec.Reset(flow, sequence))
}

// clientPort is the port at which clients take packets: the one at which balancers do.
func (b *Balancer) clientPort() uint16 {
	return b.clients.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
