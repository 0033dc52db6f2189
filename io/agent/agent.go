// Package agent implements the process that runs beside a target. It terminates callers' QUIC connections,
// runs their requests on the best target of the service, and applies the rules of admission control,
// retries, idempotency keys and draining.
//
//	frames -> packetConn -> QUIC and HTTP/3 -> ServeHTTP -> (atMostOnce) -> dispatcher -> target or peerClient
//
// The entry point of every request is ServeHTTP in handler.go.
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
	phaseCheckInterval = 100 * time.Millisecond
	// goAwayIdleTimeout is how long a connection may be without requests after GOAWAY before it is closed.
	goAwayIdleTimeout = 2 * time.Second
	// goAwayInterval is the minimum time between two rounds of GOAWAY.
	goAwayInterval = time.Second
	// leaveGossipDelay lets the announcement that this process leaves spread before the process ends.
	leaveGossipDelay = 500 * time.Millisecond
	// maxTrackedCallers is the number of callers for which the balancer that delivered their last packet is kept.
	maxTrackedCallers = 4000
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
	atMostOnce *atMostOnce
	flows      *flows
	stats      *requestMetrics

	// httpServer is the HTTP/3 server of new connections; each round of GOAWAY replaces it.
	httpServer atomic.Pointer[http3.Server]
	// openRequests counts the requests in progress: those of this agent's callers, and those that other agents sent to this one
	// as the owner of their keys or for its target.
	openRequests atomic.Int64
	stopping     atomic.Bool
	phase        atomic.Int32
	// done is closed when the agent has drained and left.
	done chan struct{}
	// lastGoAway is when the last round of GOAWAY was sent; only runPhases uses it.
	lastGoAway time.Time
	leaveOnce  sync.Once
}

// New starts an agent whose goroutines run in g. The agent enters the serving phase when its service is in the
// catalogue, it has joined the fleet and its target is healthy.
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
	a.httpServer.Store(a.newHTTPServer())
	a.stats = newRequestMetrics(set, a)
	waits := set.NewHistogram("monsoonstep_queue_wait_seconds")
	a.target.observeQueueWait = func(d time.Duration) { waits.Update(d.Seconds()) }
	a.node, err = ctrl.New(settings.Node, state.Announcement{
		Role:    state.RoleAgent,
		Service: settings.Service,
		Slots:   max(1, settings.Target.Slots),
		Phase:   state.PhaseStarting,
	}, log, set, ctrl.WithSnapshot(pool.Snapshot), ctrl.OnView(a.onView))
	if err != nil {
		return nil, err
	}
	return a, a.start(set)
}

func (a *Agent) start(set *metrics.Set) error {
	var err error
	a.conn, err = newPacketConn(a.settings.Flow, a.node.ID(), a.serviceID, maxTrackedCallers, a.node.View, a.acceptsFlows, set)
	if err != nil {
		return err
	}
	client := &peerClient{pool: a.pool}
	a.dispatcher = newDispatcher(a.node.View, a.node.ID, a.target, client, a.acceptsWork, a.stats,
		newChooser(a.settings.Dispatch, a.node.ID))
	a.atMostOnce = newAtMostOnce(a.settings, a.node.View, a.node.ID, a.node.PausedTooLong, a.group, client, a.dispatcher.run)
	if err := a.listenForCallers(); err != nil {
		return err
	}
	err = peers.Serve(a.group, a.settings.Peer, a.settings.TLS, &peers.Server{
		HandleAttempt:  a.serveAttempt,
		HandleHandOver: a.atMostOnce.receiveRecords,
		ExportSnapshot: a.node.ExportSnapshot,
	})
	if err != nil {
		return err
	}
	a.node.Start(a.group)
	a.group.Go("target watch", a.target.watchHealth)
	a.group.Go("phase", a.runPhases)
	return nil
}

// Stop starts a graceful stop: the agent refuses new flows and requests, finishes those that are open, and
// then closes the channel that Done returns.
func (a *Agent) Stop() { a.stopping.Store(true) }

// Done returns a channel that is closed when the agent has drained and left the fleet.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Ready returns nil while the agent is in the serving phase, and an error otherwise.
func (a *Agent) Ready() error {
	if phase := a.currentPhase(); phase != state.PhaseServing {
		return errs.New(errs.Draining, "the agent does not serve: its phase is %s", phase)
	}
	return nil
}

// Close closes the transport and the connections to peers, which stopping the group leaves open.
func (a *Agent) Close() {
	a.closeTransport()
	a.pool.Close()
}

// onView applies the limits of a new catalogue view and drops the state of targets that have left. ctrl.New calls
// it with the first view, before the dispatcher exists; after that it is called on the goroutine of the control
// node.
func (a *Agent) onView(v *ctrl.View) {
	entry, ok := v.Service(a.settings.Service)
	if !ok {
		return
	}
	a.target.gate.resize(a.slots(entry), entry.Limits.Queue)
	if a.dispatcher != nil {
		a.dispatcher.retainTargets(v, a.settings.Service)
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

// evacuated reports whether this agent's data centre is evacuated. The agent stays in the serving phase then.
func (a *Agent) evacuated() bool { return a.node.View().Evacuated[a.settings.DataCentre] }

// acceptsWork reports whether new requests may be sent to this agent's target.
func (a *Agent) acceptsWork() bool {
	return a.currentPhase() == state.PhaseServing && !a.draining() && !a.evacuated()
}

// acceptsFlows reports whether this agent accepts new connections of callers.
func (a *Agent) acceptsFlows() bool {
	entry, ok := a.entry()
	return ok && a.acceptsWork() && a.flows.count() < entry.Limits.Connections
}

// runPhases moves the agent through its phases and announces them. It returns when the agent has drained
// and left, or when the context ends.
func (a *Agent) runPhases(ctx context.Context) error {
	for group.Sleep(ctx, phaseCheckInterval) {
		next := a.nextPhase()
		if next != a.currentPhase() {
			a.enterPhase(ctx, next)
		}
		a.announceSlots(ctx)
		if a.evacuated() {
			a.target.gate.refuseQueued()
		}
		if next != state.PhaseDraining {
			continue
		}
		if a.flows.anyWithoutGoAway() && time.Since(a.lastGoAway) > goAwayInterval {
			a.sendGoAway()
		}
		a.flows.closeIdle(goAwayIdleTimeout)
		if a.flows.count() == 0 && a.openRequests.Load() == 0 {
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

func (a *Agent) enterPhase(ctx context.Context, next state.Phase) {
	last := a.currentPhase()
	a.phase.Store(int32(next))
	a.log.Info("agent entered a new phase", "from", last, "to", next, "flows", a.flows.count(), "requests", a.openRequests.Load())
	a.node.Announce(ctx, func(self *state.Announcement) {
		self.Phase = next
		if next == state.PhaseServing && self.Since == 0 {
			self.Since = state.Millis(time.Now().UnixMilli())
		}
	})
	if next == state.PhaseDraining {
		a.sendGoAway()
	}
}

// sendGoAway sends GOAWAY on every connection; open requests continue. A connection may still arrive later,
// because a balancer with an older view routed its first packet here. Such a connection is served by the new
// HTTP/3 server until the next round of GOAWAY.
func (a *Agent) sendGoAway() {
	a.lastGoAway = time.Now()
	a.flows.markGoAwaySent(a.lastGoAway)
	server := a.httpServer.Swap(a.newHTTPServer())
	a.group.Task(func() {
		// With the context of the group, Shutdown closes no connection before its requests have ended.
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

// leave hands the idempotency keys over to their next owners and announces that this process leaves.
func (a *Agent) leave(ctx context.Context) {
	a.leaveOnce.Do(func() {
		keysLost := a.atMostOnce.handOver(ctx, a.settings.Service)
		a.node.Leave(ctx)
		group.Sleep(ctx, leaveGossipDelay)
		a.log.Info("agent drained: no connections or requests are open; leaving the fleet", "keysLost", keysLost)
		close(a.done)
	})
}
