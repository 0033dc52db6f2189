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

// Balancer is the process on an entry instance: a Front with its part in the control of the fleet.
type Balancer struct {
	settings conf.Balancer
	log      logs.Logger
	node     *ctrl.Node
	pool     *peers.Pool
	front    *Front
	stopping atomic.Bool
}

// leavePause lets the farewell spread before the process ends.
const leavePause = 300 * time.Millisecond

// NewBalancer starts a balancer in a group.
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
	}, log, set, ctrl.WithSnapshot(pool.Snapshot), ctrl.OnView(func(v *ctrl.View) { latest(views, v) }))
	if err != nil {
		return nil, err
	}
	b.front, err = New(g, settings.Flow, settings.Listen, b.node.View, log, set)
	if err != nil {
		return nil, err
	}
	err = peers.Serve(g, settings.Peer, settings.TLS, &peers.Server{
		Known: b.node.Known,
	})
	if err != nil {
		return nil, err
	}
	g.Go("service sockets", func(ctx context.Context) error {
		b.follow(ctx, views)
		return nil
	})
	b.node.Start(g)
	return b, nil
}

// Ready returns nil while the fabric may send packets here: an entry is served and an agent known.
func (b *Balancer) Ready() error {
	if b.stopping.Load() {
		return errs.New(errs.Draining, "the balancer is stopping")
	}
	if b.front.Serving() == 0 {
		return errs.New(errs.NoTarget, "no service is known yet")
	}
	if !b.node.Joined() {
		return errs.New(errs.NoTarget, "the fleet has not been joined yet")
	}
	return nil
}

// Stop tells the fabric and the agents to go elsewhere, and forwards until they have.
func (b *Balancer) Stop(ctx context.Context) {
	b.stopping.Store(true)
	b.log.Info("the balancer is stopping", "linger", b.settings.Linger)
	select {
	case <-time.After(b.settings.Linger):
	case <-ctx.Done():
		return
	}
	b.node.Leave(ctx)
	select {
	case <-time.After(leavePause):
	case <-ctx.Done():
	}
}

// Close closes what the group does not.
func (b *Balancer) Close() { b.pool.Close() }

// follow opens and closes sockets as views come, away from the control machine's duty.
func (b *Balancer) follow(ctx context.Context, views <-chan *ctrl.View) {
	for {
		select {
		case v := <-views:
			b.front.Update(v)
		case <-ctx.Done():
			return
		}
	}
}

// latest leaves v as the only value in a channel of capacity one.
func latest(views chan *ctrl.View, v *ctrl.View) {
	select {
	case <-views:
	default:
	}
	select {
	case views <- v:
	default:
	}
}

// Dump is what a balancer tells of its state on request.
type Dump struct {
	Role     string    `json:"role"`
	Stopping bool      `json:"stopping"`
	Serving  int       `json:"servicesServed"`
	Control  ctrl.Dump `json:"control"`
}

// Dump returns the balancer's state.
func (b *Balancer) Dump() Dump {
	return Dump{
		Role:     "balancer",
		Stopping: b.stopping.Load(),
		Serving:  b.front.Serving(),
		Control:  b.node.Dump(),
	}
}
