package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// routerNoticeDelay is how long routers may still send packets after the readiness page has begun to report 503: two of their checks,
	// half a second apart, and the time of the replies.
	routerNoticeDelay = 1500 * time.Millisecond
	// idleThreshold is how long no packet must have arrived before a stopping balancer counts as unused.
	idleThreshold = 300 * time.Millisecond
)

// Balancer is a running balancer process for opaque flows.
type Balancer struct {
	*node
	// clients is the socket for packets of clients.
	clients *net.UDPConn
	steer   *steer.Balancer
	config  *configSyncer
	// ready is true while there are a configuration and a target that accepts new flows or would if it were not evacuated.
	ready atomic.Bool
	// lastPacket is when the last packet of a client was handled; only the event loop uses it.
	lastPacket time.Time
}

// NewBalancer starts a balancer whose goroutines run in a group.
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
		Self: s.Internal, DataCentre: s.DataCentre, FlowTTL: s.FlowTTL, Evacuation: s.Evacuation,
	}, steer.Actions{Send: n.send, Reset: b.sendReset, OnDecision: n.decisionLog.record})
	b.config = newConfigSyncer(b, source)
	n.onRelay = b.steer.HandleMessage
	n.onPacket = b.handlePacket
	n.onTick = b.handleTick
	n.prioritiseNodes = true
	n.onPause = b.steer.ProcessPaused
	n.onMessagesDropped = b.steer.MessagesDropped
	n.onNodeHeard = b.steer.NodeHeard
	n.onMembers = b.members
	n.onIdle = b.steer.FlushQueries
	if n.evacuation != nil {
		n.evacuation.onChange = func(_ time.Time, dataCentres []state.DataCentre) { b.steer.SetEvacuations(dataCentres) }
	}
	n.start()
	n.startReceiver("client receiver", clients, fromClients)
	g.Go("list writer", n.discovery.publishList)
	b.config.start()
	return b, nil
}

// Ready returns nil, or an error that says why routers should send this balancer no packets.
func (b *Balancer) Ready() error {
	if b.stopped.Load() {
		return errs.New(errs.Draining, "the balancer is stopping")
	}
	if !b.ready.Load() {
		return errs.New(errs.NoTarget, "no configuration, or no target that accepts new flows")
	}
	return nil
}

// Pages returns the handler of the page from which other balancers fetch the configuration.
func (b *Balancer) Pages() http.Handler { return b.config.handler() }

// Stop shuts the balancer down gracefully: it reports that it is not ready, forwards packets until routers send none or half of the
// grace period has passed, and leaves the fleet.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopped.Store(true)
	end := time.Now().Add(b.settings.Grace / 2)
	if !group.Sleep(ctx, routerNoticeDelay) {
		return
	}
	for time.Now().Before(end) {
		idle := false
		if err := b.runInLoop(ctx, func(now time.Time) { idle = now.Sub(b.lastPacket) > idleThreshold }); err != nil || idle {
			break
		}
		if !group.Sleep(ctx, idleThreshold/2) {
			return
		}
	}
	b.runInLoopOrLog(ctx, func(time.Time) { b.sendGossip(b.fleet.leave()) })
}

// handlePacket handles a packet of a client.
func (b *Balancer) handlePacket(now time.Time, _ source, seg state.Segment) {
	b.lastPacket = now
	b.steer.HandlePacket(now, seg)
}

// handleTick advances the flows and updates the readiness.
func (b *Balancer) handleTick(now time.Time) {
	b.steer.SetMembershipComplete(b.fleet.machine.MembershipComplete())
	b.steer.Tick(now)
	// Open flows need a balancer that is in use also if all their targets are evacuated.
	b.ready.Store(b.steer.ActiveVersion() != 0 && (b.steer.AcceptingTargets(now) > 0 || b.steer.EvacuatedTargets() > 0))
	b.config.fetchIfOutdated()
}

// members passes changed members on to the parts of the balancer.
func (b *Balancer) members(now time.Time, members []state.Member) {
	b.steer.SetMembers(now, members)
	b.steer.AddDepartures(now, b.fleet.machine.Departures(now))
	b.steer.SetBalancers(relay.Addresses(balancers(members)))
	b.config.setBalancers(watchCandidates(members))
	b.config.fetchIfOutdated()
}

// sendReset sends a client a reset of its flow.
func (b *Balancer) sendReset(flow state.FlowID, sequence uint32) {
	to := netip.AddrPortFrom(flow.Client.AddrPort().Addr(), b.clientPort())
	b.write(b.clients, to, b.codec.Reset(flow, sequence))
}

// clientPort returns the port on which clients receive packets. It is the same as the one on which balancers do.
func (b *Balancer) clientPort() uint16 {
	return b.clients.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}
