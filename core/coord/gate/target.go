package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// TargetID identifies one start of a target. The target chooses it.
type TargetID string

// Heartbeat is a target's report on itself.
type Heartbeat struct {
	ID TargetID
	// StartedAt is when the target started, by its own clock; zero if the target does not report it.
	StartedAt state.Millis
	// Uptime is how long the target has been running, by the clock of the instance that it shares with the agent; negative if
	// unknown.
	Uptime time.Duration
	// Sequence numbers the heartbeats of one start in order, beginning with firstSequence.
	Sequence uint64
	Service  state.ServiceName
	// Slots is how many requests the target runs at once.
	Slots    int
	Draining bool
	// WarmupLeft is how much longer the target's warm-up, in which it is slow, will last.
	WarmupLeft time.Duration
}

// HeartbeatResult is how a heartbeat was handled.
type HeartbeatResult uint8

// The results.
const (
	// HeartbeatAccepted: the heartbeat describes the target as it is now.
	HeartbeatAccepted HeartbeatResult = iota
	// HeartbeatLate: a newer heartbeat of the current target came first; this one was ignored.
	HeartbeatLate
	// HeartbeatStale: the heartbeat is from an earlier start of the target and was ignored.
	HeartbeatStale
	// HeartbeatWrongService: the heartbeat is of another service and was ignored.
	HeartbeatWrongService
)

// firstSequence is the sequence number of the first heartbeat of a start. A gate that receives it has seen the target start.
const firstSequence = 1

// maxTargetLead is how long before the agent's process a target may have started and still be certain to have got no flows from an
// earlier process of the agent: that process would have had to receive the target's heartbeat, end, and be replaced within this
// time.
const maxTargetLead = 200 * time.Millisecond

// target is the gate's record of its target.
type target struct {
	// known is set once a heartbeat has been accepted.
	known     bool
	id        TargetID
	startedAt state.Millis
	sequence  uint64
	slots     int
	draining  bool
	// down is set when the target has deregistered, its address refuses connections, or it is unresponsive.
	down bool
	// lastHeartbeat is when the last heartbeat was received; before the first one it is when the gate started.
	lastHeartbeat time.Time
	// lastOutbound is when the target last sent a packet.
	lastOutbound time.Time
	// knowsAllFlows is true if every flow of the target has passed through this gate.
	knowsAllFlows bool
	// pastIDs holds the ids of earlier starts.
	pastIDs map[TargetID]bool
}

// Heartbeat updates the gate from a heartbeat, unless the heartbeat is out of date or of another service.
func (g *Gate) Heartbeat(now time.Time, h Heartbeat) HeartbeatResult {
	if h.Service != g.settings.Service {
		return HeartbeatWrongService
	}
	t := &g.target
	wasAccepting := g.accepting()
	if !t.isSameStart(h) {
		if g.isEarlierStart(now, h) {
			return HeartbeatStale
		}
		g.replaceTarget(now, h)
	} else if h.Sequence < t.sequence {
		return HeartbeatLate
	}
	g.updateTarget(now, h, wasAccepting)
	return HeartbeatAccepted
}

// isSameStart reports whether a heartbeat is from the start of the target that the gate has on record.
func (t *target) isSameStart(h Heartbeat) bool {
	return t.known && h.ID == t.id && h.StartedAt == t.startedAt
}

// isEarlierStart reports whether a heartbeat that is not from the recorded start is from an earlier one. The id of a former start
// proves it whatever the start times are, since the clock may be set back. With the current id or an unknown one, the earlier
// start time decides; but if the recorded target is unresponsive, a heartbeat with an unknown id always counts as a new start.
func (g *Gate) isEarlierStart(now time.Time, h Heartbeat) bool {
	t := &g.target
	if !t.known {
		return false
	}
	if h.ID == t.id {
		return h.StartedAt < t.startedAt
	}
	if t.pastIDs[h.ID] {
		return true
	}
	unresponsive := t.down || now.Sub(t.lastHeartbeat) > 2*g.settings.HeartbeatPeriod
	return h.StartedAt < t.startedAt && !unresponsive
}

// replaceTarget records a new start of the target. The flows of the former start are lost and are reset, unless the recorded heartbeat
// of the former start was a late one: the flows may then be those of the present target.
func (g *Gate) replaceTarget(now time.Time, h Heartbeat) {
	former := g.target
	formerWasLate := former.known && ranBefore(now, h, former.lastHeartbeat)
	pastIDs := former.pastIDs
	if pastIDs == nil {
		pastIDs = make(map[TargetID]bool)
	}
	if former.known {
		pastIDs[former.id] = true
		delete(pastIDs, h.ID)
		if !formerWasLate {
			g.resetAllFlows(now)
		}
	}
	g.startWarmupWindow(now, h)
	g.failures = failureDetector{}
	g.serviceTime = serviceTimer{}
	g.target = target{
		known:         true,
		id:            h.ID,
		startedAt:     h.StartedAt,
		knowsAllFlows: g.sawStart(now, h, former.known && !formerWasLate),
		pastIDs:       pastIDs,
	}
}

// ranBefore reports whether the target of a heartbeat may have been running at a time already, by its uptime. The first heartbeat of a
// start shows that it was not, since the uptime is too long if the clock was set forward.
func ranBefore(now time.Time, h Heartbeat, at time.Time) bool {
	return h.Uptime > now.Sub(at)+maxTargetLead && h.Sequence > firstSequence
}

// sawStart reports whether the target of a heartbeat is certain to have started with this agent or after it, so that no earlier process of
// the agent can have brought it flows. Its uptime must say so if it is known: neither the first heartbeat of a start nor one that replaces a
// former target proves it, since a delayed heartbeat of a former target looks like both. If the clock was set back between the two starts
// the uptime is too short, so it counts only for a target in its warm-up, at its first heartbeat, or in place of a former one.
func (g *Gate) sawStart(now time.Time, h Heartbeat, replaces bool) bool {
	if h.Uptime > now.Sub(g.startedAt)+maxTargetLead {
		return false
	}
	return h.Sequence <= firstSequence || replaces || h.WarmupLeft > 0 && h.Uptime >= 0
}

// updateTarget updates the target's record from a heartbeat of its current start. wasAccepting tells whether the target accepted
// new flows before this heartbeat.
func (g *Gate) updateTarget(now time.Time, h Heartbeat, wasAccepting bool) {
	t := &g.target
	wasDraining := t.draining
	heartbeatAge := relay.AgeOf(now, t.lastHeartbeat)
	t.sequence = h.Sequence
	t.slots = h.Slots
	t.draining = h.Draining
	g.warmup.Heartbeat(now, h.WarmupLeft)
	t.lastHeartbeat = now
	t.down = false
	switch {
	case t.draining && !wasDraining:
		g.actions.OnDecision(relay.Decision{Event: relay.EventTargetDraining, Peer: g.settings.Self, Count: g.openFlows})
		g.sendReports(now)
	case !wasAccepting && g.accepting():
		g.actions.OnDecision(relay.Decision{Event: relay.EventTargetReady, Peer: g.settings.Self, Age: heartbeatAge})
		g.sendReports(now)
	}
}

// Deregister handles a target's message that it is terminating. It returns false, and does nothing, if id is not the current start.
func (g *Gate) Deregister(now time.Time, id TargetID) bool {
	if !g.target.known || g.target.id != id {
		return false
	}
	g.targetDown(now)
	return true
}

// targetDown marks the target as down, resets its flows and reports this to the balancers.
func (g *Gate) targetDown(now time.Time) {
	if g.target.down {
		return
	}
	g.target.down = true
	g.target.knowsAllFlows = true
	g.actions.OnDecision(relay.Decision{
		Event: relay.EventTargetDown, Peer: g.settings.Self, Age: relay.AgeOf(now, g.target.lastHeartbeat), Count: g.openFlows,
	})
	g.resetAllFlows(now)
	g.sendReports(now)
}

// resetAllFlows removes every flow, and sends a reset to the client of each that is certain to have been open at this target. A
// flow that is not established, or that is only assumed to be open here, may be open at another target and is not reset.
func (g *Gate) resetAllFlows(now time.Time) {
	for id, f := range g.flows {
		if f.phase == open && f.established && !f.assumed {
			g.actions.Reset(id, f.resetSequence)
			g.actions.OnDecision(relay.Decision{Event: relay.EventReset, Flow: id, Age: now.Sub(f.lastPacket)})
		}
		g.removeFlow(id, f)
	}
}

// monitorTarget starts a check of a target that has become unresponsive, or has sent no heartbeat since the agent's start. Missing
// heartbeats alone don't show that the target is down: they may be late.
func (g *Gate) monitorTarget(now time.Time) {
	t := &g.target
	if t.down || now.Before(g.nextCheck) {
		return
	}
	limit := time.Duration(checkAfterPeriods * float64(g.settings.HeartbeatPeriod))
	unresponsive := now.Sub(t.lastHeartbeat) > limit && now.Sub(t.lastOutbound) > g.settings.HeartbeatPeriod
	if unresponsive || !t.known {
		g.nextCheck = now.Add(g.settings.HeartbeatPeriod)
		g.actions.CheckTarget()
	}
}

// CheckResult is the result of a check of the target's address.
type CheckResult uint8

// The results.
const (
	// ConnAccepted: the address accepted a connection, so the target is running.
	ConnAccepted CheckResult = iota
	// ConnRefused: the connection was refused, so nothing listens there.
	ConnRefused
	// ConnTimeout: the connection was neither accepted nor refused in time; the target may be overloaded.
	ConnTimeout
)

// HandleCheck handles the result of a check. If the connection was refused the target is down. If it timed out, the target is down
// only if there has been no heartbeat for downAfterPeriods either. The result is ignored if the last heartbeat was received less
// than a heartbeat period ago, since it may be newer than the check.
func (g *Gate) HandleCheck(now time.Time, result CheckResult) {
	t := &g.target
	heartbeatAge := now.Sub(t.lastHeartbeat)
	period := float64(g.settings.HeartbeatPeriod)
	switch {
	case t.known && heartbeatAge < g.settings.HeartbeatPeriod:
	case result == ConnRefused, result == ConnTimeout && heartbeatAge > time.Duration(downAfterPeriods*period):
		g.targetDown(now)
	}
}

// HandleLastCheck handles the result of a check that began when the agent was told to stop. Balancers keep the flows of an agent that leaves,
// since it may return beside its target; if nothing listens there any more, the flows are lost, which they learn in this way before it leaves.
func (g *Gate) HandleLastCheck(now, began time.Time, result CheckResult) {
	if result == ConnRefused && !g.target.lastHeartbeat.After(began) {
		g.targetDown(now)
	}
}

// accepting reports whether the target accepts new flows.
func (g *Gate) accepting() bool { return g.refusalReason() == relay.ReasonNone }

// refusalReason returns why the target accepts no new flows, or ReasonNone if it accepts them.
func (g *Gate) refusalReason() relay.Reason {
	switch {
	case g.target.down:
		return relay.ReasonTargetDown
	case g.stopping:
		return relay.ReasonStopping
	case !g.target.known:
		return relay.ReasonNotReady
	case g.target.draining:
		return relay.ReasonDraining
	case g.evacuated:
		return relay.ReasonEvacuated
	default:
		return relay.ReasonNone
	}
}

// knowsAllFlows reports whether the gate knows every flow that the target holds.
func (g *Gate) knowsAllFlows(now time.Time) bool {
	return g.target.known && g.target.knowsAllFlows || now.After(g.mayMissFlowsUntil)
}

// Phase returns the phase of the target, as the agent announces it to the fleet.
func (g *Gate) Phase() state.Phase {
	switch {
	case g.target.down:
		return state.PhaseEmpty
	case !g.target.known:
		return state.PhaseStarting
	case g.target.draining || g.stopping:
		return state.PhaseDraining
	default:
		return state.PhaseServing
	}
}

// Summary is the status of a gate for operators.
type Summary struct {
	Target TargetID
	Phase  state.Phase
	// Refusal is why the target accepts no new flows; ReasonNone if it accepts them.
	Refusal       relay.Reason
	KnowsAllFlows bool
	// HeartbeatAge is the time since the last heartbeat.
	HeartbeatAge time.Duration
	OpenFlows    int
	Outstanding  int
	ServiceTime  time.Duration
}

// Summary returns the gate's status.
func (g *Gate) Summary(now time.Time) Summary {
	return Summary{
		Target: g.target.id, Phase: g.Phase(), Refusal: g.refusalReason(), KnowsAllFlows: g.knowsAllFlows(now),
		HeartbeatAge: relay.AgeOf(now, g.target.lastHeartbeat), OpenFlows: g.openFlows, Outstanding: g.outstanding,
		ServiceTime: g.serviceTime.estimate(now),
	}
}
