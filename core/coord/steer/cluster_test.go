package steer_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"monsoonstep/core/coord/gate"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/coord/warmup"
	"monsoonstep/core/state"
)

const (
	// networkDelay is the time that each packet and message takes.
	networkDelay = time.Millisecond
	// objective is the latency objective of all requests.
	objective = 150 * time.Millisecond
	// meanWork is the mean service time of a request at a target of speed 1; service times are distributed exponentially.
	meanWork = 30 * time.Millisecond
	// warmupSlowdown is how much longer a request takes during a target's warm-up.
	warmupSlowdown = 1.6
	// longFactor is how much longer the long ones of a cluster's requests take.
	longFactor = 7
	// giveUpAfter is how long a client waits for an answer.
	giveUpAfter = time.Second
)

// connectTimes are the times at which a client sends the opening packet and its copies.
var connectTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// cluster is a balancer with the agents of a service and simple models of their targets and of clients, in simulated time.
type cluster struct {
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	balancer *steer.Balancer
	targets  []*modelTarget
	clients  []*modelClient
	targetAt map[netip.AddrPort]*modelTarget
	// flowTTL is how long flows are kept.
	flowTTL time.Duration
	// longFraction is the fraction of the requests that take longFactor times as long as the others.
	longFraction float64
	// warmup and warmupRate limit the new flows of targets in their warm-up.
	warmup     warmup.Settings
	warmupRate float64
	// down is true while neither the balancer nor any target runs.
	down bool
}

// modelTarget is a target and its agent.
type modelTarget struct {
	c          *cluster
	g          *gate.Gate
	address    netip.AddrPort
	slots      int
	speed      float64
	dataCentre state.DataCentre
	// failing is true while the target resets each request, erring while it answers each with an error at once.
	failing, erring bool
	running         int
	queue           []*modelClient
	// received counts the requests that the target got.
	received int
	// work is the time that its requests take.
	work time.Duration
	// offered has the times at which new flows were offered to the target.
	offered []time.Time
	// warmUntil is the end of the target's warm-up.
	warmUntil time.Time
	sequence  uint64
}

// modelClient is a client with one flow and one request.
type modelClient struct {
	id       state.FlowID
	number   int
	openedAt time.Time
	// opened is the time to the opening of the flow, zero while it has not opened.
	opened time.Duration
	target *modelTarget
	// took is the time to the answer, zero while there is none.
	took  time.Duration
	ended bool
}

// event is a function that runs at a simulated time; events at the same time run in the order of their number.
type event struct {
	at     time.Time
	number int
	run    func()
}

type eventQueue struct {
	events []event
	added  int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	x, y := q.events[i], q.events[j]
	return x.at.Before(y.at) || x.at.Equal(y.at) && x.number < y.number
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// newCluster returns a cluster with n targets of two slots and speed 1.
func newCluster(seed uint64, n int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), now: start, flowTTL: flowTTL, targetAt: make(map[netip.AddrPort]*modelTarget)}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(1 + i/250), byte(1 + i%250)}), 7700)
		c.targets = append(c.targets, &modelTarget{c: c, address: address, slots: 2, speed: 1, dataCentre: "a"})
		c.targetAt[address] = c.targets[i]
	}
	c.start()
	c.every(steer.TickPeriod, func() {
		c.balancer.Tick(c.now)
		for _, t := range c.targets {
			t.g.Tick(c.now)
		}
	})
	c.every(time.Second, func() {
		for _, t := range c.targets {
			t.beat()
		}
	})
	c.run(2 * time.Second)
	return c
}

// start starts new processes of the balancer, the agents and the targets.
func (c *cluster) start() {
	var members []state.Member
	for i, t := range c.targets {
		t.start()
		m := member(1, service, state.HealthAlive)
		m.ID = state.NewInstanceID(state.InstanceName(t.address.String()), state.Millis(i))
		m.Flow, m.Gossip, m.DataCentre = t.address, t.address, t.dataCentre
		members = append(members, m)
	}
	c.balancer = steer.New(c.now, steer.Settings{Self: self, DataCentre: "a", FlowTTL: c.flowTTL}, steer.Actions{
		Send:       c.sendFromBalancer,
		Reset:      func(state.FlowID, uint32) {},
		OnDecision: func(relay.Decision) {},
	})
	c.balancer.SetMembershipComplete(true)
	routes := configWith(func(r *state.Route) {
		r.Idempotent = true
		r.LatencyObjective = objective
	})
	routes.Services = map[state.ServiceName]state.ServiceLimits{service: {WarmupRate: c.warmupRate}}
	c.balancer.Configure(c.now, routes)
	c.balancer.SetMembers(c.now, members)
	c.balancer.SetBalancers([]netip.AddrPort{self})
}

// stopFor stops all processes and all flows, and starts new processes after d.
func (c *cluster) stopFor(d time.Duration, warmup time.Duration) {
	c.down = true
	for _, client := range c.clients {
		client.target = nil
	}
	c.after(d, func() {
		c.down = false
		c.start()
		for _, t := range c.targets {
			t.warmUntil = c.now.Add(warmup)
			t.beat()
		}
	})
}

// after runs f after d.
func (c *cluster) after(d time.Duration, f func()) {
	c.events.added++
	heap.Push(&c.events, event{at: c.now.Add(d), number: c.events.added, run: f})
}

// every runs f each period while the processes run.
func (c *cluster) every(period time.Duration, f func()) {
	c.after(period, func() {
		if !c.down {
			f()
		}
		c.every(period, f)
	})
}

// run runs the events of the next d.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for c.events.Len() > 0 && !c.events.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
		c.balancer.FlushQueries()
	}
	c.now = end
}

// arrive lets clients arrive for d, as a Poisson process with a number of arrivals per second, and runs their events.
func (c *cluster) arrive(perSecond float64, d time.Duration) []*modelClient {
	first := len(c.clients)
	for at := time.Duration(0); ; {
		at += time.Duration(c.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= d {
			break
		}
		c.after(at, c.newClient)
	}
	c.run(d)
	return c.clients[first:]
}

// newClient starts a client.
func (c *cluster) newClient() {
	n := len(c.clients)
	client := &modelClient{number: n, openedAt: c.now, id: state.FlowID{
		Client:  state.Endpoint{IP: [4]byte{100, 64, byte(n >> 16), byte(n >> 8)}, Port: uint16(n & 255)},
		Virtual: virtual,
	}}
	c.clients = append(c.clients, client)
	c.after(giveUpAfter, func() { client.ended = true })
	for copyNumber, at := range connectTimes {
		c.after(at, func() {
			if c.down || client.target != nil || client.ended {
				return
			}
			c.balancer.HandlePacket(c.now, state.Segment{
				Flow: client.id, Opens: true, Acknowledged: uint32(copyNumber), ConnectAge: at, Packet: client.packet(byte(copyNumber)),
			})
		})
	}
}

// requestPacket is the first byte of a request's packet; the others have the number of the opening packet's copy there.
const requestPacket = 255

// packet returns a packet of the client: its kind and the client's number.
func (c *modelClient) packet(kind byte) []byte {
	return []byte{kind, byte(c.number >> 16), byte(c.number >> 8), byte(c.number)}
}

// sender returns the client that sent a packet.
func (c *cluster) sender(packet []byte) *modelClient {
	return c.clients[int(packet[1])<<16|int(packet[2])<<8|int(packet[3])]
}

// sendFromBalancer delivers a message of the balancer to an agent.
func (c *cluster) sendFromBalancer(to netip.AddrPort, m relay.Message) {
	m.Packet = append([]byte(nil), m.Packet...)
	sender := c.balancer
	c.after(networkDelay, func() {
		if t := c.targetAt[to]; t != nil && !c.down && c.balancer == sender {
			t.g.HandleMessage(c.now, self, m, segmentIn(m))
		}
	})
}

// segmentIn returns the segment of the packet in a message, if it carries one.
func segmentIn(m relay.Message) state.Segment {
	if len(m.Packet) == 0 {
		return state.Segment{}
	}
	return segmentOf(m)
}

// segmentOf returns the segment of the packet in a message: an opening one, or the client's request.
func segmentOf(m relay.Message) state.Segment {
	if m.Packet[0] != requestPacket {
		return state.Segment{
			Flow: m.Flow, Opens: true, Acknowledged: uint32(m.Packet[0]), ConnectAge: connectTimes[m.Packet[0]], Packet: m.Packet,
		}
	}
	return state.Segment{Flow: m.Flow, Acknowledges: true, Acknowledged: 1, DataLen: 1, Packet: m.Packet}
}

// start starts a new process of the agent, and the target.
func (t *modelTarget) start() {
	t.running, t.queue = 0, nil
	t.g = gate.New(t.c.now, gate.Settings{
		Self: t.address, Service: service, HeartbeatPeriod: time.Second, FlowTTL: t.c.flowTTL, Warmup: t.c.warmup,
	}, gate.Actions{
		Send:        t.sendToBalancer,
		Deliver:     t.receive,
		Reply:       func(state.Endpoint, []byte) {},
		Reset:       func(state.FlowID, uint32) {},
		CheckTarget: func() {},
		OnDecision:  func(relay.Decision) {},
		OnAnswer:    func(time.Duration) {},
	})
	t.g.SetBalancers(t.c.now, []relay.Balancer{{Address: self, Process: "b"}})
	t.sequence = 0
	t.beat()
}

// beat sends the target's heartbeat to its agent.
func (t *modelTarget) beat() {
	t.sequence++
	t.g.Heartbeat(t.c.now, gate.Heartbeat{
		ID: gate.TargetID(t.address.String()), StartedAt: 1, Sequence: t.sequence, Service: service, Slots: t.slots,
		WarmupLeft: max(0, t.warmUntil.Sub(t.c.now)),
	})
}

// receive handles a packet of a client: it accepts a flow, or queues a request.
func (t *modelTarget) receive(packet []byte) {
	client := t.c.sender(packet)
	if packet[0] == requestPacket {
		t.received++
		t.queue = append(t.queue, client)
		t.runNext()
		return
	}
	t.offered = append(t.offered, t.c.now)
	t.c.after(0, func() {
		t.g.HandleOutbound(t.c.now, state.Segment{Flow: client.id, Opens: true, Acknowledges: true, Packet: packet})
		if client.target == nil && !client.ended {
			client.target = t
			client.opened = t.c.now.Sub(client.openedAt)
			t.c.after(2*networkDelay, func() { t.c.sendRequest(client) })
		}
	})
}

// sendRequest sends the request of a client whose flow is open.
func (c *cluster) sendRequest(client *modelClient) {
	if c.down || client.target == nil {
		return
	}
	c.balancer.HandlePacket(c.now, state.Segment{
		Flow: client.id, Acknowledges: true, Acknowledged: 1, DataLen: 1, Packet: client.packet(requestPacket),
	})
}

// runNext runs queued requests while slots are free.
func (t *modelTarget) runNext() {
	for t.running < t.slots && len(t.queue) > 0 {
		client := t.queue[0]
		t.queue = t.queue[1:]
		work := t.c.rng.ExpFloat64() * float64(meanWork) / t.speed
		if t.c.longFraction > 0 && t.c.rng.Float64() < t.c.longFraction {
			work *= longFactor
		}
		if t.c.now.Before(t.warmUntil) {
			work *= warmupSlowdown
		}
		if t.failing || t.erring {
			work = 0
		}
		t.work += time.Duration(work)
		t.running++
		g := t.g
		t.c.after(time.Duration(work), func() {
			if t.g == g {
				t.running--
				t.finish(client)
				t.runNext()
			}
		})
	}
}

// finish ends a request: with a reset if the target is failing, and otherwise with an answer.
func (t *modelTarget) finish(client *modelClient) {
	seg := state.Segment{Flow: client.id, Acknowledges: true, DataLen: 1, Packet: client.packet(requestPacket)}
	if t.failing {
		seg.Resets, seg.DataLen = true, 0
	}
	t.g.HandleOutbound(t.c.now, seg)
	if !t.failing && client.target == t && !client.ended {
		client.took = t.c.now.Sub(client.openedAt) + 2*networkDelay
	}
	client.ended = true
}

// sendToBalancer delivers a message of the agent to the balancer, unless all processes have been started again meanwhile.
func (t *modelTarget) sendToBalancer(_ netip.AddrPort, m relay.Message) {
	m.Packet = append([]byte(nil), m.Packet...)
	sender := t.g
	t.c.after(networkDelay, func() {
		if !t.c.down && t.g == sender {
			t.c.balancer.HandleMessage(t.c.now, t.address, m, segmentIn(m))
		}
	})
}
