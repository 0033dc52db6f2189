package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// minStopTime is the least time that an agent that stops goes on, so that balancers hear of it.
	minStopTime = 150 * time.Millisecond
	// outstandingTimeout bounds how long an agent that stops waits for answers under way.
	outstandingTimeout = 1500 * time.Millisecond
	// targetCheckTimeout is how long the target's address has to accept a connection; both are on one machine.
	targetCheckTimeout = 500 * time.Millisecond
	// outstandingPollInterval is the time between two looks at them.
	outstandingPollInterval = 50 * time.Millisecond
)

// Agent is a running agent for opaque flows.
type Agent struct {
	*node
	settings AgentSettings
	outbound *net.UDPConn
	gate     *gate.Gate
}

// NewAgent starts an agent in a group.
func NewAgent(g *group.Group, s AgentSettings, codec Codec, directory Directory, log logs.Logger, set *metrics.Set) (*Agent, error) {
	n, err := newNode(g, s.Settings, codec, directory, log, set, state.Announcement{Role: state.RoleAgent, Service: s.Service})
	if err != nil {
		return nil, err
	}
	outbound, err := listen(s.Outbound, "outbound")
	if err != nil {
		return nil, err
	}
	a := &Agent{node: n, settings: s, outbound: outbound}
	a.gate = gate.New(time.Now(), gate.Settings{
		Self: s.Internal, Service: s.Service, HeartbeatPeriod: s.HeartbeatPeriod, FlowTTL: s.FlowTTL,
	}, gate.Actions{CheckTarget: a.startTargetCheck, Send: n.send, Deliver: a.deliver, Reply: a.reply, Reset: a.sendReset, OnDecision: n.decisionLog.record, OnResponse: n.decisionLog.recordResponse})
	n.onRelay = a.gate.Receive
	n.onPacket = a.handlePacket
	n.onTick = a.handleTick
	n.onPause = a.gate.ProcessPaused
	n.onMessagesDropped = func(time.Time) {}
	n.onMembers = a.setMembers
	n.onIdle = func() {}
	n.start()
	n.startReceiver("target receiver", outbound, fromTarget)
	return a, nil
}

// HandleHeartbeat takes in what the target says of itself.
func (a *Agent) HandleHeartbeat(ctx context.Context, h gate.Heartbeat) (gate.HeartbeatResult, error) {
	h.Uptime = uptimeOf(h.StartedAt)
	var verdict gate.HeartbeatResult
	err := a.runInLoop(ctx, func(now time.Time) { verdict = a.gate.HandleHeartbeat(now, h) })
	return verdict, err
}

// uptimeOf returns for how long a target has run, by the clock that it shares with this process; negative if that is unknown.
func uptimeOf(born state.Millis) time.Duration {
	if born == 0 {
		return -1
	}
	return time.Since(time.UnixMilli(int64(born)))
}

// Deregister notes that a target ends. It reports whether it was the present one.
func (a *Agent) Deregister(ctx context.Context, id gate.TargetID) (bool, error) {
	var present bool
	err := a.runInLoop(ctx, func(now time.Time) { present = a.gate.Deregister(now, id) })
	return present, err
}

// Ready returns why the agent takes no flows, or nil.
func (a *Agent) Ready() error {
	if a.stopped.Load() {
		return errs.New(errs.Draining, "the agent is stopping")
	}
	return nil
}

// Stop ends the agent gracefully: no new flows come, answers under way go out, and the fleet is told.
func (a *Agent) Stop(ctx context.Context) {
	a.stopped.Store(true)
	a.runInLoopOrLog(ctx, func(now time.Time) { a.gate.Stop(now) })
	end := time.Now().Add(min(outstandingTimeout, a.settings.Grace/2))
	group.Sleep(ctx, minStopTime)
	for time.Now().Before(end) {
		active := 0
		a.runInLoopOrLog(ctx, func(time.Time) { active = a.gate.Outstanding() })
		if active == 0 || !group.Sleep(ctx, outstandingPollInterval) {
			break
		}
	}
	a.runInLoopOrLog(ctx, func(time.Time) { a.sendGossip(a.fleet.leave()) })
}

func (a *Agent) handlePacket(now time.Time, _ source, seg state.Segment) {
	if seg.Returned {
		a.codec.Restore(seg.Packet)
	}
	a.gate.HandleOutbound(now, seg)
}

func (a *Agent) handleTick(now time.Time) {
	a.gate.Tick(now)
	a.fleet.announcePhase(a.gate.Phase())
}

func (a *Agent) setMembers(now time.Time, members []state.Member) {
	a.gate.SetBalancers(now, balancers(members))
}

// startTargetCheck finds out whether the target's address accepts connections. It runs beside the owner of the state.
func (a *Agent) startTargetCheck() {
	a.group.Task(func() {
		found := a.dialTarget()
		if a.group.Context().Err() == nil {
			a.runInLoopOrLog(a.group.Context(), func(now time.Time) { a.gate.HandleCheck(now, found) })
		}
	})
}

func (a *Agent) dialTarget() gate.CheckResult {
	ctx, cancel := context.WithTimeout(a.group.Context(), targetCheckTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", a.settings.Target.String())
	switch {
	case err == nil:
		_ = conn.Close()
		return gate.ConnAccepted
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return gate.ConnRefused
	default:
		return gate.ConnTimeout
	}
}

func (a *Agent) deliver(packet []byte) { a.write(a.outbound, a.settings.Target, packet) }

func (a *Agent) reply(client state.Endpoint, packet []byte) {
	a.write(a.outbound, netip.AddrPortFrom(netip.AddrFrom4(client.IP), a.settings.ClientPort), packet)
}

func (a *Agent) sendReset(flow state.FlowID, sequence uint32) {
	a.reply(flow.Client, a.codec.Reset(flow, sequence))
}
