package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/ctrl"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
	"monsoonstep/io/peers"
)

// Balancer is the balancer process: a Forwarder and the control node that provides its views.
type Balancer struct {
	settings  conf.Balancer
	log       logs.Logger
	node      *ctrl.Node
	pool      *peers.Pool
	forwarder *Forwarder
	stopping  atomic.Bool
}

// leaveGossipDelay is how long Stop waits after the node has announced that it leaves, so that the announcement spreads
// before the process ends.
const leaveGossipDelay = 300 * time.Millisecond

// NewBalancer starts a balancer whose goroutines run in g.
func NewBalancer(g *group.Group, settings conf.Balancer, log logs.Logger, set *metrics.Set) (*Balancer, error) {
	pool, err := peers.NewPool(settings.TLS)
	if err != nil {
		return nil, err
	}
	b := &Balancer{settings: settings, log: log.Part("balancer"), pool: pool}
	views := make(chan *ctrl.View, 1)
	b.node, err = ctrl.New(settings.Node, state.Announcement{
		Role:  state.RoleBalancer,
		Phase: state.PhaseServing,
	}, log, set, ctrl.WithSnapshot(pool.Snapshot), ctrl.OnView(func(v *ctrl.View) { replaceLatest(views, v) }))
	if err != nil {
		return nil, err
	}
	b.forwarder, err = New(g, settings.Flow, settings.Listen, b.node.View, log, set)
	if err != nil {
		return nil, err
	}
	err = peers.Serve(g, settings.Peer, settings.TLS, &peers.Server{
		ExportSnapshot: b.node.ExportSnapshot,
	})
	if err != nil {
		return nil, err
	}
	g.Go("service sockets", func(ctx context.Context) error {
		b.applyViews(ctx, views)
		return nil
	})
	b.node.Start(g)
	return b, nil
}

// Ready returns nil while the fabric may send packets to this balancer: it serves at least one service, has joined the fleet
// and is not stopping.
func (b *Balancer) Ready() error {
	if b.stopping.Load() {
		return errs.New(errs.Draining, "the balancer is stopping")
	}
	if b.forwarder.ServicesServed() == 0 {
		return errs.New(errs.NoTarget, "this balancer serves no service yet")
	}
	if !b.node.Joined() {
		return errs.New(errs.NoTarget, "this balancer has not joined the fleet yet")
	}
	return nil
}

// Stop makes Ready fail, so that the fabric sends packets to other balancers, waits for the linger time of the settings, and
// then announces to the agents and balancers that this one leaves. Packets are forwarded until the group stops.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopping.Store(true)
	b.log.Info("balancer is stopping; it forwards packets for the linger time before it leaves the fleet", "linger", b.settings.Linger)
	select {
	case <-time.After(b.settings.Linger):
	case <-ctx.Done():
		return
	}
	b.node.Leave(ctx)
	select {
	case <-time.After(leaveGossipDelay):
	case <-ctx.Done():
	}
}

// Close closes the connections to peers. The group closes everything else.
func (b *Balancer) Close() { b.pool.Close() }

// applyViews updates the forwarder with each new view. It runs on its own goroutine, so that opening sockets does not hold up
// the control node.
func (b *Balancer) applyViews(ctx context.Context, views <-chan *ctrl.View) {
	for {
		select {
		case v := <-views:
			b.forwarder.Update(v)
		case <-ctx.Done():
			return
		}
	}
}

// replaceLatest puts v into a channel of capacity one in place of an unread view, if there is one. It never blocks.
func replaceLatest(views chan *ctrl.View, v *ctrl.View) {
	select {
	case <-views:
	default:
	}
	select {
	case views <- v:
	default:
	}
}

// Dump is the state of a balancer for operators, as JSON on the state page.
type Dump struct {
	Role           string    `json:"role"`
	Stopping       bool      `json:"stopping"`
	ServicesServed int       `json:"servicesServed"`
	Control        ctrl.Dump `json:"control"`
}

// Dump returns the balancer's state.
func (b *Balancer) Dump() Dump {
	return Dump{
		Role:           "balancer",
		Stopping:       b.stopping.Load(),
		ServicesServed: b.forwarder.ServicesServed(),
		Control:        b.node.Dump(),
	}
}
