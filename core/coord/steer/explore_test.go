package steer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

const (
	// spreadTime is how long a change of the configuration takes to reach all balancers.
	spreadTime = 100 * time.Millisecond
	// freezeTime is how long an agent is frozen.
	freezeTime = 3500 * time.Millisecond
	// restartTime is how long a process is away while it is restarted as planned.
	restartTime = 500 * time.Millisecond
	// restartGap is the time between two planned restarts.
	restartGap = 1300 * time.Millisecond
	// contactTime is how long after an unplanned fault of an agent's instance resets of its flows don't count.
	contactTime = 4 * time.Second
	// idleLimit is how long a flow may be idle.
	idleLimit = 15 * time.Second
	// maxTimeToReset is how long the client of a lost flow may have to wait for the reset.
	maxTimeToReset = 10 * time.Second
	// removalTime is longer than the planned removal of a target and its agent takes.
	removalTime = 5 * time.Second
	// lossDelay is how long after its target an instance is removed.
	lossDelay = 1200 * time.Millisecond
	// exploredOrders is how many orders of each group of kinds are played.
	exploredOrders = 700
)

// exploredFleet is a small fleet of balancers and agents with models of their targets and clients, in simulated time. It runs the real
// balancers and gates, and checks what becomes of the flows while events come in a random order.
type exploredFleet struct {
	rng *rand.Rand
	// gossipRNG draws the seeds at which processes join.
	gossipRNG *rand.Rand
	now       time.Time
	pending   eventQueue
	balancers []*exploredBalancer
	agents    []*exploredAgent
	flows     []*exploredFlow
	config    state.Config
	// restartsEnd is when the last restart of all processes is over.
	restartsEnd time.Time
	// work is how long targets work on a request before they send anything.
	work time.Duration
	// serial numbers the starts of processes and targets.
	serial state.Millis
	// history has the events so far; resets has those of flows that are held, untold the clients of lost flows that got none in time.
	history []string
	resets  []string
	untold  []string
}

// exploredBalancer is the address of a balancer and the process there, if any.
type exploredBalancer struct {
	f       *exploredFleet
	address netip.AddrPort
	process *steer.Balancer
	node    *exploredNode
}

// exploredFlow is a flow and its client.
type exploredFlow struct {
	id                 state.FlowID
	openedAt, lastSent time.Time
	// agent and target are where the client's flow is open; nil while it is not.
	agent  *exploredAgent
	target *exploredTarget
	// requests counts the client's requests, answered is the last that was answered.
	requests, answered int
	reset              bool
}

func newExploredFleet(seed uint64) *exploredFleet {
	f := &exploredFleet{rng: rand.New(rand.NewPCG(seed, 7)), gossipRNG: newGossipRNG(seed), now: start, config: config(1, service)}
	for n := range byte(3) {
		f.balancers = append(f.balancers, &exploredBalancer{f: f, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n + 1}), 7700)})
		svc := service
		if n == 2 {
			svc = other
		}
		f.agents = append(f.agents, &exploredAgent{f: f, address: agent(n + 1), service: svc})
	}
	for _, a := range f.agents {
		a.startProcess()
		a.startTarget()
	}
	f.balancers[0].start()
	f.balancers[1].start()
	f.every(steer.TickPeriod, f.tick)
	f.every(time.Second, func() {
		for _, a := range f.agents {
			a.beat()
		}
	})
	f.run(3 * time.Second)
	return f
}

// after runs a function after d.
func (f *exploredFleet) after(d time.Duration, run func()) {
	f.pending.added++
	heap.Push(&f.pending, event{at: f.now.Add(d), number: f.pending.added, run: run})
}

func (f *exploredFleet) every(period time.Duration, run func()) {
	f.after(period, func() {
		run()
		f.every(period, run)
	})
}

// run runs what happens within the next d.
func (f *exploredFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.pending.Len() > 0 && !f.pending.events[0].at.After(end) {
		e := heap.Pop(&f.pending).(event)
		f.now = e.at
		e.run()
		for _, b := range f.running() {
			b.process.FlushQueries()
		}
	}
	f.now = end
}

func (f *exploredFleet) tick() {
	for _, b := range f.running() {
		b.node.tick()
		b.process.SetMembershipComplete(b.node.machine.MembershipComplete())
		b.process.Tick(f.now)
	}
	for _, a := range f.agents {
		if a.process != nil && a.frozenAt.IsZero() {
			a.tick()
		}
	}
}

// running returns the balancers that run.
func (f *exploredFleet) running() []*exploredBalancer {
	return slices.DeleteFunc(slices.Clone(f.balancers), func(b *exploredBalancer) bool { return b.process == nil })
}

// nextID returns the ID of a process that starts.
func (f *exploredFleet) nextID(name string) state.InstanceID {
	f.serial++
	return state.NewInstanceID(state.InstanceName(name), f.serial)
}

// spreadConfig tells all balancers of the present configuration.
func (f *exploredFleet) spreadConfig() {
	f.after(spreadTime, func() {
		for _, b := range f.running() {
			b.process.Configure(f.now, f.config)
		}
	})
}

// start starts a process of the balancer, which knows nothing of what a former one did.
func (b *exploredBalancer) start() {
	var process *steer.Balancer
	process = steer.New(b.f.now, steer.Settings{Self: b.address, DataCentre: "a", FlowTTL: flowTTL}, steer.Actions{
		Send: func(to netip.AddrPort, m relay.Message) { b.f.send(b.address, to, m) },
		Reset: func(flow state.FlowID, _ uint32) {
			if b.process == process {
				b.f.handleReset(flow, "balancer "+b.address.String())
			}
		},
		OnDecision: func(relay.Decision) {},
	})
	b.process = process
	b.node = newExploredNode(b.f, "balancer", state.Announcement{Role: state.RoleBalancer, Gossip: b.address, Flow: b.address}, b.learn)
	b.node.tick()
	b.f.after(spreadTime, func() {
		if b.process == process {
			process.Configure(b.f.now, b.f.config)
		}
	})
}

// learn tells the balancer of the members.
func (b *exploredBalancer) learn(members []state.Member) {
	b.process.SetMembers(b.f.now, members)
	b.process.AddDepartures(b.f.now, b.node.machine.Departures(b.f.now))
	b.process.SetBalancers(relay.Addresses(presentBalancers(members)))
}

// send delivers a message to the process at an address.
func (f *exploredFleet) send(from, to netip.AddrPort, m relay.Message) {
	m.Packet = slices.Clone(m.Packet)
	m.Flows, m.Unresolved = slices.Clone(m.Flows), slices.Clone(m.Unresolved)
	f.after(networkDelay, func() {
		for _, b := range f.running() {
			if b.address == to {
				b.process.HandleMessage(f.now, from, m, f.segmentIn(m))
			}
		}
		for _, a := range f.agents {
			if a.address == to && a.process != nil {
				a.deliver(func() { a.process.HandleMessage(f.now, from, m, f.segmentIn(m)) })
			}
		}
	})
}

// opening and data are the first byte of a packet; the second is the flow's number.
const (
	opening = 'o'
	data    = 'd'
)

// segmentIn returns the segment of the packet in a message, if it carries one.
func (f *exploredFleet) segmentIn(m relay.Message) state.Segment {
	if len(m.Packet) == 0 {
		return state.Segment{}
	}
	return f.segment(m.Packet)
}

func (f *exploredFleet) segment(packet []byte) state.Segment {
	flow := f.flows[packet[1]]
	if packet[0] == opening {
		return state.Segment{Flow: flow.id, Opens: true, Packet: packet}
	}
	return state.Segment{Flow: flow.id, Acknowledges: true, Acknowledged: flow.target.firstSequence + 1, DataLen: 1, Packet: packet}
}

// handleAnswer handles a packet of a target at the client: the first answer to an opening packet decides where the flow is open.
func (f *exploredFleet) handleAnswer(a *exploredAgent, packet []byte) {
	flow := f.flows[packet[1]]
	switch {
	case flow.reset:
	case packet[0] == opening && flow.target == nil && f.now.Sub(flow.openedAt) < 1400*time.Millisecond:
		flow.agent, flow.target = a, a.target
		f.request(flow)
	case packet[0] == data && flow.target == a.target:
		flow.answered = flow.requests
	}
}

// open starts a flow: its client sends the opening packet and two copies.
func (f *exploredFleet) open() {
	n := len(f.flows)
	flow := &exploredFlow{id: state.FlowID{Client: state.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(n + 1)}, Virtual: virtual}, openedAt: f.now}
	f.flows = append(f.flows, flow)
	for copyNumber, at := range connectTimes {
		f.after(at, func() {
			if flow.target == nil && !flow.reset {
				seg := f.segment([]byte{opening, byte(n)})
				seg.Acknowledged = uint32(copyNumber)
				f.route(seg)
			}
		})
	}
}

// request sends a request on an open flow, and again until it is answered or the flow is reset.
func (f *exploredFleet) request(flow *exploredFlow) {
	flow.requests++
	number := flow.requests
	for wait, at := 200*time.Millisecond, time.Duration(0); at < maxTimeToReset; wait, at = min(2*wait, 1600*time.Millisecond), at+wait {
		f.after(at, func() {
			if !flow.reset && flow.answered < number {
				flow.lastSent = f.now
				f.route(f.segment([]byte{data, byte(slices.Index(f.flows, flow))}))
			}
		})
	}
	f.after(maxTimeToReset, func() {
		if !flow.reset && flow.answered < number && !flow.isHeld() {
			f.untold = append(f.untold, fmt.Sprintf("the client of lost flow %d got no reset within %s", flow.id.Client.Port, maxTimeToReset))
		}
	})
}

// requestOnAll sends a request on each open flow that has not been idle for too long.
func (f *exploredFleet) requestOnAll() {
	for _, flow := range f.flows {
		if flow.target != nil && !flow.reset && f.now.Sub(flow.lastSent) < idleLimit {
			f.request(flow)
		}
	}
}

// isHeld reports whether the target at which the flow opened runs and holds it.
func (flow *exploredFlow) isHeld() bool {
	return flow.target != nil && flow.agent.target == flow.target && flow.target.holds[flow.id]
}

// route gives a packet of a client to one of the balancers, if any runs.
func (f *exploredFleet) route(seg state.Segment) {
	running := f.running()
	if len(running) == 0 {
		return
	}
	b := running[f.rng.IntN(len(running))]
	process := b.process
	f.after(networkDelay, func() {
		if b.process == process {
			process.HandlePacket(f.now, seg)
		}
	})
}

// handleReset handles a reset at its client. The reset of a flow that its target holds is a violation, unless an unplanned fault of the
// target's instance allows it, or the flow is too old or was idle for too long.
func (f *exploredFleet) handleReset(id state.FlowID, by string) {
	for _, flow := range f.flows {
		if flow.id != id || flow.reset {
			continue
		}
		flow.reset = true
		if flow.isHeld() && f.now.Sub(flow.openedAt) < flowTTL && f.now.Sub(flow.lastSent) < idleLimit &&
			f.now.Sub(flow.agent.disturbedAt) > contactTime {
			f.resets = append(f.resets, fmt.Sprintf("flow %d is held at %s and was reset by %s", id.Client.Port, flow.agent.address, by))
		}
	}
}

// pickAgent returns an agent that runs and is not frozen, if the one that was drawn does.
func (f *exploredFleet) pickAgent() *exploredAgent {
	a := f.agents[f.rng.IntN(len(f.agents))]
	if a.process == nil || a.removed || !a.frozenAt.IsZero() {
		return nil
	}
	return a
}

// restart stops the balancer as planned and starts it again, if it runs.
func (b *exploredBalancer) restart() {
	if b.process == nil || len(b.f.running()) == 1 {
		return
	}
	b.stopFor(restartTime)
}

// stopFor stops the balancer as planned and starts it again after d.
func (b *exploredBalancer) stopFor(d time.Duration) {
	b.node.send(b.node.machine.Leave())
	b.process = nil
	b.f.after(d, b.start)
}
