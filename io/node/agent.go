package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
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
	// minStopTime is the minimum time that an agent keeps running once it stops, so that balancers receive its report that it
	// accepts no new flows.
	minStopTime = 150 * time.Millisecond
	// outstandingTimeout is how long a stopping agent waits for the answers to outstanding requests.
	outstandingTimeout = 1500 * time.Millisecond
	// targetCheckTimeout is how long the target may take to accept a connection. Connecting is fast because the target
	// runs on the same instance as the agent.
	targetCheckTimeout = 500 * time.Millisecond
	// firstCheckTimeout is the same for the check before the agent joins the fleet, which it delays.
	firstCheckTimeout = 50 * time.Millisecond
	// lastCheckTimeout is the same for the check when the agent stops, which it delays.
	lastCheckTimeout = 50 * time.Millisecond
	// outstandingPollInterval is the time between two checks for outstanding requests while the agent stops.
	outstandingPollInterval = 50 * time.Millisecond
)

// Agent is a running agent process for opaque flows.
type Agent struct {
	*node
	settings AgentSettings
	// outbound is the socket to which the target sends its packets, and from which packets go to the target and to clients.
	outbound *net.UDPConn
	gate     *gate.Gate
	// lastReturn is the end of an evacuation of this data centre that the gate was last told of.
	lastReturn time.Time
}

// NewAgent starts an agent whose goroutines run in a group.
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
		Self: s.Internal, Service: s.Service, HeartbeatPeriod: s.HeartbeatPeriod, FlowTTL: s.FlowTTL, Warmup: s.Warmup,
	}, gate.Actions{CheckTarget: a.startTargetCheck, Send: n.send, Deliver: a.deliver, Reply: a.reply, Reset: a.sendReset, OnDecision: n.decisionLog.record, OnAnswer: n.decisionLog.recordResponse})
	n.onRelay = a.gate.HandleMessage
	n.onPacket = a.handlePacket
	n.onTick = a.handleTick
	n.onPause = a.gate.ProcessPaused
	n.onMessagesDropped = func(time.Time) {}
	n.onNodeHeard = func(time.Time) {}
	n.onMembers = a.members
	n.onIdle = func() {}
	if n.evacuation != nil {
		n.evacuation.onChange = a.applyEvacuations
	}
	a.checkTargetFirst()
	n.start()
	n.startReceiver("target receiver", outbound, fromTarget)
	return a, nil
}

// Heartbeat handles a heartbeat of the target. It sets the heartbeat's uptime.
func (a *Agent) Heartbeat(ctx context.Context, h gate.Heartbeat) (gate.HeartbeatResult, error) {
	h.Uptime = uptimeOf(h.StartedAt)
	var result gate.HeartbeatResult
	err := a.runInLoop(ctx, func(now time.Time) { result = a.gate.Heartbeat(now, h) })
	return result, err
}

// uptimeOf returns how long a target has been running, by the clock that it shares with this process; negative if its start time is
// unknown.
func uptimeOf(startedAt state.Millis) time.Duration {
	if startedAt == 0 {
		return -1
	}
	return time.Since(time.UnixMilli(int64(startedAt)))
}

// Deregister handles the deregistration of a target that terminates. It reports whether that was the current target.
func (a *Agent) Deregister(ctx context.Context, id gate.TargetID) (bool, error) {
	var current bool
	err := a.runInLoop(ctx, func(now time.Time) { current = a.gate.Deregister(now, id) })
	return current, err
}

// Ready returns an error while the agent stops, and nil otherwise.
func (a *Agent) Ready() error {
	if a.stopped.Load() {
		return errs.New(errs.Draining, "the agent is stopping")
	}
	return nil
}

// Stop shuts the agent down gracefully: it accepts no new flows, waits for the answers to outstanding requests, and leaves the fleet.
func (a *Agent) Stop(ctx context.Context) {
	a.stopped.Store(true)
	began := time.Now()
	result := a.dialTarget(lastCheckTimeout)
	a.runInLoopOrLog(ctx, func(now time.Time) {
		a.gate.HandleLastCheck(now, began, result)
		a.gate.Stop(now)
	})
	end := time.Now().Add(min(outstandingTimeout, a.settings.Grace/2))
	group.Sleep(ctx, minStopTime)
	for time.Now().Before(end) {
		outstanding := 0
		a.runInLoopOrLog(ctx, func(time.Time) { outstanding = a.gate.Outstanding() })
		if outstanding == 0 || !group.Sleep(ctx, outstandingPollInterval) {
			break
		}
	}
	a.runInLoopOrLog(ctx, func(time.Time) { a.sendGossip(a.fleet.leave()) })
}

// handlePacket handles a packet that the target sent or returned.
func (a *Agent) handlePacket(now time.Time, _ source, seg state.Segment) {
	if seg.Returned {
		a.codec.Restore(seg.Packet)
	}
	a.gate.HandleOutbound(now, seg)
}

// handleTick advances the flows and announces the phase of the agent.
func (a *Agent) handleTick(now time.Time) {
	a.gate.Tick(now)
	a.fleet.announcePhase(a.gate.Phase())
}

// members passes the present balancers on to the gate.
func (a *Agent) members(now time.Time, members []state.Member) {
	a.gate.SetBalancers(now, balancers(members))
}

// applyEvacuations passes on to the gate whether its data centre is evacuated, and when an evacuation of it ended.
func (a *Agent) applyEvacuations(now time.Time, dataCentres []state.DataCentre) {
	if ended := a.evacuation.tracker.LastReturn(a.settings.DataCentre); ended.After(a.lastReturn) {
		a.lastReturn = ended
		a.gate.ReturnedToService(ended)
	}
	a.gate.SetEvacuated(now, slices.Contains(dataCentres, a.settings.DataCentre))
}

// startTargetCheck starts a goroutine that checks whether the target's address accepts connections and passes the result to the gate, so
// that the event loop does not wait for the check.
func (a *Agent) startTargetCheck() {
	a.group.Task(func() {
		result := a.dialTarget(targetCheckTimeout)
		if a.group.Context().Err() == nil {
			a.runInLoopOrLog(a.group.Context(), func(now time.Time) { a.gate.HandleCheck(now, result) })
		}
	})
}

// checkTargetFirst checks the target before the agent joins the fleet, so that its first announcement already says if there is no
// target. An agent whose instance is removed for good may not live long enough for a second one, and balancers would query it for
// each lost flow until the membership has declared it dead. It must be called before the event loop starts.
func (a *Agent) checkTargetFirst() {
	if result := a.dialTarget(firstCheckTimeout); result == gate.ConnRefused {
		a.gate.HandleCheck(time.Now(), result)
		a.fleet.announcePhase(a.gate.Phase())
	}
}

// dialTarget tries to connect to the target's address.
func (a *Agent) dialTarget(timeout time.Duration) gate.CheckResult {
	ctx, cancel := context.WithTimeout(a.group.Context(), timeout)
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

// deliver sends a packet to the target.
func (a *Agent) deliver(packet []byte) { a.write(a.outbound, a.settings.Target, packet) }

// reply sends a packet to a client.
func (a *Agent) reply(client state.Endpoint, packet []byte) {
	a.write(a.outbound, netip.AddrPortFrom(netip.AddrFrom4(client.IP), a.settings.ClientPort), packet)
}

// sendReset sends a client a reset of its flow.
func (a *Agent) sendReset(flow state.FlowID, sequence uint32) {
	a.reply(flow.Client, a.codec.Reset(flow, sequence))
}
