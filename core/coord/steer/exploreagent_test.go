package steer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// exploredAgent is the address of an agent with its process, if any, and its target, if any.
type exploredAgent struct {
	f        *exploredFleet
	address  netip.AddrPort
	service  state.ServiceName
	process  *gate.Gate
	node     *exploredNode
	frozenAt time.Time
	// held are the deliveries that wait until the process is no longer frozen.
	held   []func()
	target *exploredTarget
	// late is a heartbeat of a former target that was delayed.
	late *gate.Heartbeat
	// removed is set once the target has ended for good; the agent's process ends shortly after.
	removed bool
	// disturbedAt is when the last unplanned fault of the instance ended.
	disturbedAt time.Time
}

// exploredTarget is one start of a target.
type exploredTarget struct {
	id        gate.TargetID
	startedAt time.Time
	sequence  uint64
	draining  bool
	// firstSequence is the sequence number of its opening packets.
	firstSequence uint32
	accepted      map[state.FlowID]bool
	holds         map[state.FlowID]bool
}

// deliver runs a function of the process now, or once it is no longer frozen.
func (a *exploredAgent) deliver(run func()) {
	if a.frozenAt.IsZero() {
		run()
		return
	}
	a.held = append(a.held, run)
}

// startProcess starts a process of the agent.
func (a *exploredAgent) startProcess() {
	var process *gate.Gate
	process = gate.New(a.f.now, gate.Settings{
		Self: a.address, Service: a.service, HeartbeatPeriod: time.Second, FlowTTL: flowTTL,
	}, gate.Actions{
		Send:    func(to netip.AddrPort, m relay.Message) { a.f.send(a.address, to, m) },
		Deliver: func(packet []byte) { a.receive(slices.Clone(packet)) },
		Reply:   func(client state.Endpoint, packet []byte) { a.f.handleAnswer(a, packet) },
		Reset: func(flow state.FlowID, _ uint32) {
			a.f.handleReset(flow, "agent "+a.address.String())
		},
		CheckTarget: func() { a.f.after(networkDelay, func() { a.checkTarget(process) }) },
		OnDecision:  func(relay.Decision) {},
		OnAnswer:    func(time.Duration) {},
	})
	a.process = process
	a.held = nil
	a.node = newExploredNode(a.f, "agent-"+a.address.String(), state.Announcement{
		Role: state.RoleAgent, Service: a.service, DataCentre: "a", Flow: a.address, Gossip: a.address, Phase: process.Phase(),
	}, func(members []state.Member) { process.SetBalancers(a.f.now, presentBalancers(members)) })
	a.node.tick()
}

// tick advances the agent and announces its phase.
func (a *exploredAgent) tick() {
	a.node.tick()
	a.process.Tick(a.f.now)
	if phase := a.process.Phase(); phase != a.node.machine.Self().Phase {
		a.node.machine.Announce(func(announced *state.Announcement) { announced.Phase = phase })
	}
}

// leave ends the agent's process as planned. It checks its target first.
func (a *exploredAgent) leave() {
	if a.target == nil {
		a.process.HandleLastCheck(a.f.now, a.f.now, gate.ConnRefused)
	}
	a.process.Stop(a.f.now)
	a.node.send(a.node.machine.Leave())
	a.process = nil
}

// checkTarget tells the gate whether something listens at the target's address.
func (a *exploredAgent) checkTarget(asked *gate.Gate) {
	result := gate.ConnRefused
	if a.target != nil {
		result = gate.ConnAccepted
	}
	if a.process == asked {
		a.deliver(func() { asked.HandleCheck(a.f.now, result) })
	}
}

// startTarget starts a target, which knows nothing of what a former one held.
func (a *exploredAgent) startTarget() {
	a.f.serial++
	a.target = &exploredTarget{
		id: gate.TargetID(fmt.Sprintf("i-%d", a.f.serial)), startedAt: a.f.now, firstSequence: uint32(a.f.serial) << 20,
		accepted: make(map[state.FlowID]bool), holds: make(map[state.FlowID]bool),
	}
	a.beat()
}

// beat sends the target's next heartbeat; one that does not reach the agent is lost.
func (a *exploredAgent) beat() {
	t := a.target
	if t == nil {
		return
	}
	t.sequence++
	if a.process != nil && a.frozenAt.IsZero() {
		a.process.Heartbeat(a.f.now, a.heartbeatOf(t))
	}
}

func (a *exploredAgent) heartbeatOf(t *exploredTarget) gate.Heartbeat {
	uptime := a.f.now.Sub(t.startedAt)
	return gate.Heartbeat{
		ID: t.id, StartedAt: state.Millis(t.startedAt.UnixMilli()), Uptime: uptime, Sequence: t.sequence, Service: a.service, Slots: 4,
		Draining: t.draining, WarmupLeft: max(0, 2*time.Second-uptime),
	}
}

// receive handles a packet of a client at the target, if there is one.
func (a *exploredAgent) receive(packet []byte) {
	t := a.target
	if t == nil {
		return
	}
	seg := a.f.segment(packet)
	flow := a.f.flows[packet[1]]
	switch {
	case seg.Opens:
		t.accepted[seg.Flow] = true
		a.reply(t, state.Segment{Flow: seg.Flow, Opens: true, Acknowledges: true, Sequence: t.firstSequence, Packet: packet})
	case t.holds[seg.Flow] || t.accepted[seg.Flow] && flow.target == t:
		t.holds[seg.Flow] = true
		a.f.after(a.f.work, func() {
			a.reply(t, state.Segment{Flow: seg.Flow, Acknowledges: true, DataLen: 1, Packet: packet})
		})
	default:
		seg.Returned = true
		a.reply(t, seg)
	}
}

// reply passes a packet of the target to the agent.
func (a *exploredAgent) reply(t *exploredTarget, seg state.Segment) {
	a.f.after(networkDelay, func() {
		if a.process != nil && a.target == t {
			a.deliver(func() { a.process.HandleOutbound(a.f.now, seg) })
		}
	})
}

// stopFor stops the agent's process as planned and starts it again after d.
func (a *exploredAgent) stopFor(d time.Duration) {
	a.leave()
	a.f.after(d, a.startProcess)
}

// beatLate delivers the delayed heartbeat of a former target, if there is one and the agent can receive it.
func (a *exploredAgent) beatLate() bool {
	if a.late == nil || a.process == nil || !a.frozenAt.IsZero() {
		return false
	}
	late := *a.late
	late.Uptime = a.f.now.Sub(time.UnixMilli(int64(late.StartedAt)))
	a.process.Heartbeat(a.f.now, late)
	return true
}

// freeze freezes the agent's process for freezeTime.
func (a *exploredAgent) freeze() {
	a.frozenAt, a.disturbedAt = a.f.now, a.f.now.Add(freezeTime)
	a.f.after(freezeTime, func() {
		a.frozenAt = time.Time{}
		a.process.ProcessPaused(freezeTime)
		held := a.held
		a.held = nil
		for _, run := range held {
			run()
		}
	})
}

// loseTarget ends a target for good and, lossDelay later, its agent as planned.
func (a *exploredAgent) loseTarget() {
	a.target, a.removed, a.disturbedAt = nil, true, a.f.now
	a.f.after(lossDelay, func() {
		if a.process != nil {
			a.leave()
		}
	})
}

// loseInstance ends a target and its agent for good.
func (a *exploredAgent) loseInstance() {
	a.target, a.process, a.removed, a.disturbedAt = nil, nil, true, a.f.now
}

// remove ends a target as planned, and then its agent for good.
func (a *exploredAgent) remove() {
	if a.target == nil || a.process == nil || !a.frozenAt.IsZero() {
		return
	}
	id := a.target.id
	a.target, a.removed = nil, true
	a.process.Deregister(a.f.now, id)
	a.f.after(300*time.Millisecond, a.leave)
}
