// Package agent runs beside a target. It ends the callers' QUIC connections, runs their requests on
// the best target of the service, and owns the rules of admission, retry, run-once and drain.
//
//	frames -> packetConn -> QUIC and HTTP/3 -> ServeHTTP -> (keyed) -> dispatcher -> target or remote
//
// Start reading at ServeHTTP in handler.go.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/ctrl"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
	"monsoonstep/io/peers"
)

const (
	phasePeriod = 100 * time.Millisecond
	// quietPause is how long a caller that was told to go may leave its connection without requests.
	quietPause = 2 * time.Second
	// tellPeriod is the time between two rounds in which callers are told to go.
	tellPeriod   = time.Second
	settlePause  = 500 * time.Millisecond
	defaultFlows = 4000
)

// Agent is the process beside a target.
type Agent struct {
	settings  conf.Agent
	serviceID state.ServiceID
	log       logs.Logger
	group     *group.Group
	node      *ctrl.Node
	pool      *peers.Pool

	conn       *packetConn
	transport  *quic.Transport
	target     *target
	dispatcher *dispatcher
	keyed      *keyed
	flows      *flows
	count      *requestCounts

	// http is the HTTP/3 server that new connections are given to; each round of GOAWAY replaces it.
	http atomic.Pointer[http3.Server]
	// attempts counts requests that are open here: callers' own and those of other agents.
	attempts atomic.Int64
	stopping atomic.Bool
	phase    atomic.Int32
	done     chan struct{}
	// told is when the callers were last told to go; only the phase duty uses it.
	told   time.Time
	finish sync.Once
}

// New starts an agent in a group. The agent serves when its service is in the catalogue and its
// target is ready.
func New(g *group.Group, settings conf.Agent, log logs.Logger, set *metrics.Set) (*Agent, error) {
	pool, err := peers.NewPool(settings.TLS)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:  settings,
		serviceID: settings.Service.ID(),
		log:       log.Part("agent"),
		group:     g,
		pool:      pool,
		flows:     newFlows(),
		target:    newTarget(settings.Target, max(1, settings.Target.Slots), 0),
		done:      make(chan struct{}),
	}
	a.http.Store(a.newHTTPServer())
	a.count = newRequestCounts(set, a)
	waits := set.NewHistogram("monsoonstep_queue_wait_seconds")
	a.target.waited = func(d time.Duration) { waits.Update(d.Seconds()) }
	a.node, err = ctrl.New(settings.Node, state.Announcement{
		Role:    state.RoleAgent,
		Service: settings.Service,
		Slots:   max(1, settings.Target.Slots),
		Phase:   state.PhaseStarting,
	}, log, set, ctrl.WithSnapshot(pool.FetchSnapshot), ctrl.OnView(a.onView))
	if err != nil {
		return nil, err
	}
	return a, a.start(set)
}

func (a *Agent) start(set *metrics.Set) error {
	var err error
	a.conn, err = newPacketConn(a.settings.Flow, a.node.ID(), a.serviceID, defaultFlows, a.node.View, a.takesFlows, set)
	if err != nil {
		return err
	}
	away := &remote{pool: a.pool}
	a.dispatcher = newDispatcher(a.node.View, a.node.ID, a.target, away, a.takesWork, a.count,
		newChooser(a.settings.Dispatch, a.node.ID))
	a.keyed = newKeyed(a.settings, a.node.View, a.node.ID, a.node.Lapsed, a.group, away, a.dispatcher.run)
	if err := a.serveCallers(); err != nil {
		return err
	}
	err = peers.Serve(a.group, a.settings.Peer, a.settings.TLS, &peers.Server{
		HandleAttempt:  a.serveAttempt,
		HandleHandOver: a.keyed.takeOver,
		KnownState:     a.node.Known,
	})
	if err != nil {
		return err
	}
	a.node.Start(a.group)
	a.group.Go("target watch", a.target.watch)
	a.group.Go("phase", a.keepPhase)
	return nil
}

// Stop begins a graceful stop: the agent takes nothing new, finishes what is open, and closes Done.
func (a *Agent) Stop() { a.stopping.Store(true) }

// Done is closed when the agent has drained and left.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Ready returns nil while the agent serves.
func (a *Agent) Ready() error {
	if phase := a.currentPhase(); phase != state.PhaseServing {
		return errs.New(errs.Draining, "the agent is %s", phase)
	}
	return nil
}

// Close closes what the group does not.
func (a *Agent) Close() {
	a.closeCallers()
	a.pool.Close()
}

// onView follows the catalogue's limits. It runs in the control machine's duty.
func (a *Agent) onView(v *ctrl.View) {
	entry, ok := v.Service(a.settings.Service)
	if !ok {
		return
	}
	a.target.gate.resize(a.slots(entry), entry.Limits.Queue)
	if a.dispatcher != nil {
		a.dispatcher.forget(v, a.settings.Service)
	}
}

func (a *Agent) slots(entry state.Entry) int {
	if a.settings.Target.Slots > 0 {
		return a.settings.Target.Slots
	}
	return entry.Limits.Slots
}

func (a *Agent) entry() (state.Entry, bool) { return a.node.View().Service(a.settings.Service) }

func (a *Agent) currentPhase() state.Phase { return state.Phase(a.phase.Load()) }

func (a *Agent) draining() bool {
	return a.stopping.Load() || a.node.View().Drained[a.settings.Instance]
}

// takesWork reports whether the target may be given requests.
func (a *Agent) takesWork() bool {
	return a.currentPhase() == state.PhaseServing && !a.draining()
}

// takesFlows reports whether new connections of callers are taken here.
func (a *Agent) takesFlows() bool {
	entry, ok := a.entry()
	return ok && a.takesWork() && a.flows.count() < entry.Limits.Connections
}

// keepPhase moves the agent through its phases and announces them.
func (a *Agent) keepPhase(ctx context.Context) error {
	for group.Sleep(ctx, phasePeriod) {
		next := a.nextPhase()
		if next != a.currentPhase() {
			a.enter(ctx, next)
		}
		a.announceSlots(ctx)
		if next != state.PhaseDraining {
			continue
		}
		if a.flows.untold() && time.Since(a.told) > tellPeriod {
			a.tellCallersToGo()
		}
		a.flows.closeQuiet(quietPause)
		if a.flows.count() == 0 && a.attempts.Load() == 0 {
			a.leave(ctx)
			return nil
		}
	}
	return nil
}

func (a *Agent) nextPhase() state.Phase {
	if a.draining() {
		return state.PhaseDraining
	}
	_, known := a.entry()
	serving := a.currentPhase() == state.PhaseServing
	if known && a.node.Joined() && a.target.ready(serving) {
		return state.PhaseServing
	}
	return state.PhaseStarting
}

func (a *Agent) enter(ctx context.Context, next state.Phase) {
	last := a.currentPhase()
	a.phase.Store(int32(next))
	a.log.Info("the phase changed", "from", last, "to", next, "flows", a.flows.count(), "requests", a.attempts.Load())
	a.node.Announce(ctx, func(self *state.Announcement) {
		self.Phase = next
		if next == state.PhaseServing && self.Since == 0 {
			self.Since = state.Millis(time.Now().UnixMilli())
		}
	})
	if next == state.PhaseDraining {
		a.tellCallersToGo()
	}
}

// tellCallersToGo sends GOAWAY on every connection. Requests that are open go on. A connection that comes
// later, because its caller's first packet met an old view, has a server of its own, which serves it until
// its caller is told in turn.
func (a *Agent) tellCallersToGo() {
	a.told = time.Now()
	a.flows.tell(a.told)
	server := a.http.Swap(a.newHTTPServer())
	a.group.Task(func() {
		// The context ends only with the group, so that no connection is closed before its requests end.
		_ = server.Shutdown(a.group.Context())
	})
}

func (a *Agent) announceSlots(ctx context.Context) {
	entry, ok := a.entry()
	if !ok || a.node.View().Self.Slots == a.slots(entry) {
		return
	}
	a.node.Announce(ctx, func(self *state.Announcement) { self.Slots = a.slots(entry) })
}

// leave hands over what others must know and tells the fleet that this process goes.
func (a *Agent) leave(ctx context.Context) {
	a.finish.Do(func() {
		lost := a.keyed.handOver(ctx, a.settings.Service)
		a.node.Leave(ctx)
		group.Sleep(ctx, settlePause)
		a.log.Info("the agent has drained", "keysLost", lost)
		close(a.done)
	})
}
