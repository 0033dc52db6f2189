package gate_test

import (
	"testing"
	"time"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// A restarted target has lost its earlier flows: their clients get a reset at once.
func TestTargetRestartResetsItsFlows(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.sequence = 0
	h.is.Equal(h.sendHeartbeat("t1", 2000, false), gate.HeartbeatAccepted) // the same id with a later start time
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// Heartbeats may be delayed or reordered. One of an earlier start of the target, or one that is older than the latest of
// the same start, must not mark the target as draining.
func TestStaleAndLateHeartbeatsAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1000, true)
	h.sendHeartbeat("t2", 2000, false)
	h.clear()
	h.is.Equal(h.sendHeartbeat("t1", 1000, true), gate.HeartbeatStale) // the id of the former start
	h.is.Equal(h.sendHeartbeat("t0", 500, true), gate.HeartbeatStale)  // an unknown id with an earlier start time
	h.is.Equal(h.sendHeartbeat("t2", 1500, true), gate.HeartbeatStale) // the current id with an earlier start time
	h.receive(relay.KindOpen, openingSegment(flow(1)))
	h.is.Equal(h.delivered, []string{"syn"})

	h.sequence = 0
	h.is.Equal(h.sendHeartbeat("t2", 2000, true), gate.HeartbeatLate)
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(len(h.delivered), 2)
}

// Guards against an agent that restarts, takes a late heartbeat of a former target for that of the present one, and then resets the
// flows of the present one, or says that it does not hold them.
func TestLateHeartbeatAfterRestartOfAgentCostsNoFlows(t *testing.T) {
	h := newHarness(t)
	h.sequence = 39
	h.sendHeartbeat("i-1", 1, false)
	h.receive(relay.KindData, dataSegment(flow(1)))
	h.advance(300*time.Millisecond, "", 0)
	h.is.Equal(h.g.OpenFlows(), 1)
	h.clear()
	running := gate.Heartbeat{
		ID: "i-2", StartedAt: 2, Uptime: 30 * time.Second, Sequence: 30, Service: service, Slots: 2,
	}
	h.is.Equal(h.g.Heartbeat(h.now, running), gate.HeartbeatAccepted)
	h.is.Equal(len(h.resets), 0)
	h.is.Equal(h.g.OpenFlows(), 1)
	h.receive(relay.KindData, dataSegment(flow(2)))
	h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 0)
	h.is.Equal(h.delivered, []string{"data"})
}

// Guards against the same in the first periods of the present target (review/4), whose few heartbeats do not show that it ran before, and
// against a late heartbeat that was the first one of its target: both look like a start that the agent has seen.
func TestLateHeartbeatBesideAYoungTargetCostsNoFlows(t *testing.T) {
	late := func(sequence uint64) gate.Heartbeat {
		return gate.Heartbeat{ID: "i-1", StartedAt: 1, Uptime: 8 * time.Second, Sequence: sequence, Service: service, Slots: 2}
	}
	for _, sequence := range []uint64{1, 4} {
		for _, present := range []uint64{2, 3} {
			h := newHarness(t)
			h.now = h.now.Add(100 * time.Millisecond)
			h.g.Heartbeat(h.now, late(sequence))
			h.is.True(!h.g.Summary(h.now).KnowsAllFlows)
			h.receive(relay.KindData, dataSegment(flow(1)))
			h.advance(300*time.Millisecond, "", 0)
			h.is.Equal(h.g.OpenFlows(), 1)
			h.clear()
			h.is.Equal(h.g.Heartbeat(h.now, gate.Heartbeat{
				ID: "i-2", StartedAt: 5, Uptime: time.Duration(present) * 900 * time.Millisecond, Sequence: present, Service: service, Slots: 2,
				WarmupLeft: time.Second,
			}), gate.HeartbeatAccepted)
			h.is.Equal(len(h.resets), 0)
			h.is.Equal(h.g.OpenFlows(), 1)
			h.receive(relay.KindData, dataSegment(flow(2)))
			h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 0)
			h.is.Equal(h.delivered, []string{"data"})
		}
	}
}

// Guards against an agent that takes each former target for a late heartbeat: a target that started after the last heartbeat of the former
// one holds none of its flows, so these are reset at once, and other flows are denied, also if its first heartbeat is lost.
func TestFlowsOfAFormerTargetAreResetAtOnce(t *testing.T) {
	for _, sequence := range []uint64{1, 2} {
		h := newHarness(t)
		h.sendHeartbeat("i-1", 1, false)
		h.establish(flow(1))
		h.advance(2*time.Second, "", 0)
		h.clear()
		h.g.Heartbeat(h.now, gate.Heartbeat{
			ID: "i-2", StartedAt: 2001, Uptime: 900 * time.Millisecond, Sequence: sequence, Service: service, Slots: 2, WarmupLeft: time.Second,
		})
		h.is.Equal(h.resets, []state.FlowID{flow(1)})
		h.is.True(h.g.Summary(h.now).KnowsAllFlows)
		h.receive(relay.KindData, dataSegment(flow(2)))
		h.is.Equal(len(h.sentOfKind(relay.KindNotFound)), 1)
	}
}

// The clock may be set back between two starts. A heartbeat under an unknown id with an earlier start time is from a new start
// if the former one has become unresponsive.
func TestNewStartIsAcceptedAfterClockWentBack(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 10_000, false)
	h.advance(2200*time.Millisecond, "", 0)
	h.is.Equal(h.sendHeartbeat("t2", 7_000, false), gate.HeartbeatAccepted)
}

func TestUnresponsiveTargetIsDownOnceConnectionIsRefused(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.advance(2*time.Second, "t1", 1)
	h.is.Equal(h.checks, 0)
	h.advance(2*time.Second, "", 0)
	h.is.Equal(h.checks, 1)
	h.g.HandleCheck(h.now, gate.ConnAccepted)
	h.is.Equal(len(h.resets), 0) // the target is running, so its heartbeats are only late
	h.advance(2*time.Second, "", 0)
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
	h.clear()
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
}

func TestTargetThatNeverStartedIsDown(t *testing.T) {
	h := newHarness(t)
	h.advance(100*time.Millisecond, "", 0)
	h.is.Equal(h.checks, 1) // without delay, since an agent may be stopped soon after its start
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.receive(relay.KindOpen, openingSegment(flow(2)))
	h.is.Equal(h.sentOfKind(relay.KindRefused)[0].Reason, relay.ReasonTargetDown)
	h.sendHeartbeat("t1", 1, false)
	h.receive(relay.KindOpen, openingSegment(flow(3)))
	h.is.Equal(h.delivered, []string{"syn"})
}

// A suspension of the instance stops both the agent and its target. When the agent resumes, the target's heartbeats are still to be
// read, so the gap must not count as unresponsiveness.
func TestProcessPauseDoesNotMakeTargetUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.now = h.now.Add(6 * time.Second)
	h.g.ProcessPaused(6 * time.Second)
	h.g.Tick(h.now)
	h.is.Equal(len(h.resets), 0)
}

// A target that neither accepts nor refuses connections may be overloaded. It is down only once it has missed more heartbeats.
func TestCheckTimeoutMarksTargetDownOnlyAfterMoreMissedHeartbeats(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.advance(2*time.Second, "", 0)
	h.g.HandleCheck(h.now, gate.ConnTimeout)
	h.is.Equal(len(h.resets), 0)
	h.advance(time.Second, "", 0)
	h.g.HandleCheck(h.now, gate.ConnTimeout)
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// A heartbeat that was received while a check was running is newer than the check's result, so the target is not down.
func TestRefusedCheckIsIgnoredAfterRecentHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.g.HandleCheck(h.now, gate.ConnRefused)
	h.is.Equal(len(h.resets), 0)
}

// Guards against balancers that wait for an agent to return beside a target that was lost shortly before the agent stopped. A heartbeat that
// was received while the check was running is newer than its result.
func TestTargetThatRefusesTheLastCheckIsDown(t *testing.T) {
	for _, c := range []struct {
		result    gate.CheckResult
		heartbeat bool
		down      bool
	}{{gate.ConnRefused, false, true}, {gate.ConnRefused, true, false}, {gate.ConnAccepted, false, false}, {gate.ConnTimeout, false, false}} {
		h := newHarness(t)
		h.sendHeartbeat("t1", 1, false)
		h.establish(flow(1))
		h.now = h.now.Add(300 * time.Millisecond)
		began := h.now
		h.now = h.now.Add(time.Millisecond)
		if c.heartbeat {
			h.sendHeartbeat("t1", 1, false)
		}
		h.clear()
		h.g.HandleLastCheck(h.now, began, c.result)
		h.is.Equal(len(h.resets) == 1, c.down)
		reports := h.sentOfKind(relay.KindLoad)
		h.is.Equal(len(reports) > 0 && reports[0].Load.Reason == relay.ReasonTargetDown, c.down)
	}
}

func TestDeregisterResetsFlowsImmediately(t *testing.T) {
	h := newHarness(t)
	h.sendHeartbeat("t1", 1, false)
	h.establish(flow(1))
	h.is.True(!h.g.Deregister(h.now, "t0"))
	h.is.Equal(len(h.resets), 0)
	h.is.True(h.g.Deregister(h.now, "t1"))
	h.is.Equal(h.resets, []state.FlowID{flow(1)})
}

// After a power loss of the instance the target may start shortly before the agent, which misses the first heartbeats. No flows can
// have been opened there yet, so the agent knows all of the target's flows, namely none. If the target started earlier, or its
// uptime can't be trusted, the agent must not conclude that.
func TestGateKnowsAllFlowsOfTargetThatStartedWithAgent(t *testing.T) {
	for _, c := range []struct {
		name          string
		uptime        time.Duration
		warmupLeft    time.Duration
		knowsAllFlows bool
	}{
		{"started just before", 150 * time.Millisecond, time.Second, true},
		{"was running before", 900 * time.Millisecond, time.Second, false},
		{"clock was set back, and the target has finished its warm-up", 150 * time.Millisecond, 0, false},
		{"unknown uptime", -1, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.now = h.now.Add(100 * time.Millisecond)
			h.g.Heartbeat(h.now, gate.Heartbeat{
				ID: "t1", StartedAt: 1, Sequence: 3, Service: service, Slots: 2, Uptime: c.uptime, WarmupLeft: c.warmupLeft,
			})
			h.is.Equal(h.g.Summary(h.now).KnowsAllFlows, c.knowsAllFlows)
		})
	}
}
