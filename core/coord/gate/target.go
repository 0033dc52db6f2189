package gate

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// TargetID names one start of a target, as the target itself gives it.
type TargetID string

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	ID TargetID
	// StartedAt is when the target started, by its own clock; zero if it does not say.
	StartedAt state.Millis
	// Uptime is for how long the target has run, by the clock of the machine that it shares with the agent; negative if unknown.
	Uptime   time.Duration
	Sequence uint64
	Service  state.ServiceName
	Slots    int
	Draining bool
	// WarmupLeft is how much longer the target stays slow after its start.
	WarmupLeft time.Duration
}

// HeartbeatResult is what became of a heartbeat.
type HeartbeatResult uint8

// The verdicts.
const (
	// HeartbeatAccepted heartbeats describe the target now.
	HeartbeatAccepted HeartbeatResult = iota
	// HeartbeatLate heartbeats of the present target came after a newer one; they change nothing.
	HeartbeatLate
	// HeartbeatStale heartbeats come from an earlier start of the target.
	HeartbeatStale
	// HeartbeatWrongService heartbeats are of another service.
	HeartbeatWrongService
)

// firstSequence is the sequence number of a target's first heartbeats: a gate that hears it has seen the target start.
const firstSequence = 1

// startGap is how long before the agent a target may start and still have got no flows by an earlier process of the agent:
// that one would have had to hear of the target, end, and be started again within it.
const startGap = 200 * time.Millisecond

// target is what the gate knows of its target.
type target struct {
	known    bool
	id       TargetID
	born     state.Millis
	sequence uint64
	slots    int
	draining bool
	// gone is set when the target left or fell silent.
	gone      bool
	warmUntil time.Time
	// heard is when the last heartbeat came; lastOut when the last packet came.
	heard   time.Time
	lastOut time.Time
	// complete is true if every flow of the target went through this gate.
	complete bool
	// past has the ids of earlier starts.
	past map[TargetID]bool
}

// HandleHeartbeat takes in what the target says of itself.
func (g *Gate) HandleHeartbeat(now time.Time, h Heartbeat) HeartbeatResult {
	if h.Service != g.settings.Service {
		return HeartbeatWrongService
	}
	t := &g.target
	served := g.takes()
	if !t.isSame(h) {
		if g.isEarlier(now, h) {
			return HeartbeatStale
		}
		g.begin(now, h)
	} else if h.Sequence < t.sequence {
		return HeartbeatLate
	}
	g.refresh(now, h, served)
	return HeartbeatAccepted
}

// isSame reports whether a heartbeat comes from the start of the target that the gate knows.
func (t *target) isSame(h Heartbeat) bool {
	return t.known && h.ID == t.id && h.StartedAt == t.born
}

// isEarlier reports whether a heartbeat that names another start comes from a former one. Ids decide where they can,
// since the time of day may jump; the time of birth decides between unknown ids, unless the present target is silent.
func (g *Gate) isEarlier(now time.Time, h Heartbeat) bool {
	t := &g.target
	if !t.known {
		return false
	}
	if h.ID == t.id {
		return h.StartedAt < t.born
	}
	if t.past[h.ID] {
		return true
	}
	silent := t.gone || now.Sub(t.heard) > 2*g.settings.HeartbeatPeriod
	return h.StartedAt < t.born && !silent
}

// begin starts a new target: what the former one held is gone.
func (g *Gate) begin(now time.Time, h Heartbeat) {
	former := g.target
	past := former.past
	if past == nil {
		past = make(map[TargetID]bool)
	}
	if former.known {
		past[former.id] = true
		delete(past, h.ID)
		g.dropAll(now)
	}
	g.target = target{
		known:    true,
		id:       h.ID,
		born:     h.StartedAt,
		complete: former.known || h.Sequence <= firstSequence || g.startedWith(now, h),
		past:     past,
	}
}

// startedWith reports whether the target started with this agent or after it, so that no earlier process of the agent can have
// brought it flows. A step of the clock between the two starts could make a target seem younger than it is: one that says that it
// is no longer slow is not believed to be new.
func (g *Gate) startedWith(now time.Time, h Heartbeat) bool {
	return h.WarmupLeft > 0 && h.Uptime >= 0 && h.Uptime <= now.Sub(g.started)+startGap
}

// refresh takes in a heartbeat of the present target; served tells whether the gate offered a target before it.
func (g *Gate) refresh(now time.Time, h Heartbeat, served bool) {
	t := &g.target
	wasDraining := t.draining
	age := relay.AgeOf(now, t.heard)
	t.sequence = h.Sequence
	t.slots = h.Slots
	t.draining = h.Draining
	t.warmUntil = now.Add(h.WarmupLeft)
	t.heard = now
	t.gone = false
	switch {
	case t.draining && !wasDraining:
		g.do.OnDecision(relay.Decision{Event: relay.EventTargetDraining, Peer: g.settings.Self, Count: g.held})
		g.report(now)
	case !served && g.takes():
		g.do.OnDecision(relay.Decision{Event: relay.EventTargetReady, Peer: g.settings.Self, Age: age})
		g.report(now)
	}
}

// Deregister notes that a target said that it ends. It reports whether it is the present one.
func (g *Gate) Deregister(now time.Time, id TargetID) bool {
	if !g.target.known || g.target.id != id {
		return false
	}
	g.targetGone(now)
	return true
}

// targetGone resets the flows of a target that has ended.
func (g *Gate) targetGone(now time.Time) {
	if g.target.gone {
		return
	}
	g.target.gone = true
	g.target.complete = true
	g.do.OnDecision(relay.Decision{Event: relay.EventTargetDown, Peer: g.settings.Self, Age: relay.AgeOf(now, g.target.heard), Count: g.held})
	g.dropAll(now)
	g.report(now)
}

// dropAll resets every open flow towards its client. One that its client never answered, or that the target never sent a
// packet of, may be open elsewhere.
func (g *Gate) dropAll(now time.Time) {
	for id, f := range g.flows {
		if f.phase == open && f.answered && !f.assumed {
			g.do.Reset(id, f.acknowledged)
			g.do.OnDecision(relay.Decision{Event: relay.EventReset, Flow: id, Age: now.Sub(f.last)})
		}
		g.forget(id, f)
	}
}

// watchTarget has a target checked that has fallen silent, or has not appeared since the agent's start. Silence alone proves
// nothing: heartbeats may be late.
func (g *Gate) watchTarget(now time.Time) {
	t := &g.target
	if t.gone || now.Before(g.nextCheck) {
		return
	}
	limit := time.Duration(missedHeartbeats * float64(g.settings.HeartbeatPeriod))
	silent := now.Sub(t.heard) > limit && now.Sub(t.lastOut) > g.settings.HeartbeatPeriod
	if silent || !t.known {
		g.nextCheck = now.Add(g.settings.HeartbeatPeriod)
		g.do.CheckTarget()
	}
}

// CheckResult is what a check of the target's address found.
type CheckResult uint8

// The findings.
const (
	// ConnAccepted means that the address accepted a connection: the target runs.
	ConnAccepted CheckResult = iota
	// ConnRefused means that nothing listens there.
	ConnRefused
	// ConnTimeout means that the connection was neither accepted nor refused in time: the target may be busy.
	ConnTimeout
)

// HandleCheck takes in what a check found. A target whose address refuses is gone; one that does not answer is gone once it
// has been silent for longer.
func (g *Gate) HandleCheck(now time.Time, f CheckResult) {
	t := &g.target
	silent := now.Sub(t.heard)
	period := float64(g.settings.HeartbeatPeriod)
	switch {
	case t.known && silent < g.settings.HeartbeatPeriod:
	case f == ConnRefused, f == ConnTimeout && silent > time.Duration(silentHeartbeats*period):
		g.targetGone(now)
	}
}

// takes reports whether the target may be given new flows.
func (g *Gate) takes() bool { return g.refusal() == relay.ReasonNone }

// refusal returns why the target may not be given new flows.
func (g *Gate) refusal() relay.Reason {
	switch {
	case g.target.gone:
		return relay.ReasonTargetDown
	case g.stopping:
		return relay.ReasonStopping
	case !g.target.known:
		return relay.ReasonNotReady
	case g.target.draining:
		return relay.ReasonDraining
	default:
		return relay.ReasonNone
	}
}

// complete reports whether the gate knows every flow that the target holds.
func (g *Gate) complete(now time.Time) bool {
	return g.target.known && g.target.complete || now.After(g.unsureUntil)
}

// Phase returns how far the target is in its life.
func (g *Gate) Phase() state.Phase {
	switch {
	case g.target.gone:
		return state.PhaseEmpty
	case !g.target.known:
		return state.PhaseStarting
	case g.target.draining || g.stopping:
		return state.PhaseDraining
	default:
		return state.PhaseServing
	}
}

// Summary is what a gate knows, for people.
type Summary struct {
	Target        TargetID
	Phase         state.Phase
	Refusal       relay.Reason
	KnowsAllFlows bool
	HeartbeatAge  time.Duration
	OpenFlows     int
	Outstanding   int
	ServiceTime   time.Duration
}

// Summary returns what the gate knows.
func (g *Gate) Summary(now time.Time) Summary {
	return Summary{
		Target: g.target.id, Phase: g.Phase(), Refusal: g.refusal(), KnowsAllFlows: g.complete(now),
		HeartbeatAge: relay.AgeOf(now, g.target.heard), OpenFlows: g.held, Outstanding: g.busy, ServiceTime: g.serviceTime,
	}
}
