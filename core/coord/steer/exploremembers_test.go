package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/state"
)

// The membership's timing in the node program.
const (
	probePeriod      = 500 * time.Millisecond
	suspicionTimeout = 1200 * time.Millisecond
	gossipBytes      = 48 << 10
	syncInterval     = 100 * time.Millisecond
	startupTime      = 2 * time.Second
	joinInterval     = 100 * time.Millisecond
	rejoinInterval   = 10 * time.Second
)

// exploredNode is the membership of one process: the real state machine, driven as the node program does.
type exploredNode struct {
	f           *exploredFleet
	address     netip.AddrPort
	machine     *gossip.Machine
	startedAt   time.Time
	seenVersion uint64
	nextSync    time.Time
	lastJoin    time.Time
	// learn is called when the members have changed.
	learn func(members []state.Member)
}

// newExploredNode returns the membership of a process that starts now.
func newExploredNode(f *exploredFleet, name string, announcement state.Announcement, learn func([]state.Member)) *exploredNode {
	self := state.Member{ID: f.nextID(name), Announcement: announcement}
	machine := gossip.New(self, state.NewRecordSet(), uint64(f.serial), gossip.WithProbePeriod(probePeriod),
		gossip.WithSuspicionTimeout(suspicionTimeout), gossip.WithBytesPerSecond(gossipBytes), gossip.WithDepartureWindow(steer.PlannedRestartWindow))
	return &exploredNode{f: f, address: announcement.Gossip, machine: machine, startedAt: f.now, learn: learn}
}

// tick advances the membership.
func (n *exploredNode) tick() {
	now := n.f.now
	sends := n.machine.Tick(now)
	if (now.Sub(n.startedAt) < startupTime || !n.machine.MembershipComplete()) && !now.Before(n.nextSync) {
		n.nextSync = now.Add(syncInterval)
		sends = append(sends, n.machine.Sync()...)
	}
	if now.Sub(n.lastJoin) >= n.joinInterval() {
		n.lastJoin = now
		sends = append(sends, n.machine.Join(n.f.seeds())...)
	}
	n.send(sends)
	n.update()
}

// joinInterval returns the present time between two join attempts.
func (n *exploredNode) joinInterval() time.Duration {
	young := n.f.now.Sub(n.startedAt) < startupTime
	if n.machine.IsSeparated() || young && !n.machine.KnowsBalancer() {
		return joinInterval
	}
	return rejoinInterval
}

// update passes the members on if they have changed.
func (n *exploredNode) update() {
	if version := n.machine.Version(); version != n.seenVersion {
		n.seenVersion = version
		n.learn(n.machine.Members())
	}
}

// send delivers messages of the membership.
func (n *exploredNode) send(sends []gossip.Send) {
	for _, s := range sends {
		m := s.Message
		m.Members, m.Departures = slices.Clone(m.Members), slices.Clone(m.Departures)
		n.f.after(networkDelay, func() { n.f.deliverGossip(n.address, s.To, m) })
	}
}

// receive handles a message of the membership.
func (n *exploredNode) receive(from netip.AddrPort, m gossip.Message) {
	n.send(n.machine.Receive(n.f.now, from, m))
	n.update()
}

// deliverGossip delivers a message of the membership to the process at an address.
func (f *exploredFleet) deliverGossip(from, to netip.AddrPort, m gossip.Message) {
	for _, b := range f.running() {
		if b.address == to {
			b.node.receive(from, m)
		}
	}
	for _, a := range f.agents {
		if a.address == to && a.process != nil {
			node := a.node
			a.deliver(func() { node.receive(from, m) })
		}
	}
}

// seeds returns the addresses at which a process joins, in random order: those of the balancers, as in the platform's list.
func (f *exploredFleet) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, b := range f.running() {
		seeds = append(seeds, b.address)
	}
	f.gossipRNG.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds
}

// presentBalancers returns the balancers among some members that are present, the newest process at each address.
func presentBalancers(members []state.Member) []relay.Balancer {
	newest := make(map[netip.AddrPort]state.InstanceID)
	for _, m := range members {
		if m.Role == state.RoleBalancer && m.Present() && m.ID.Started() >= newest[m.Gossip].Started() {
			newest[m.Gossip] = m.ID
		}
	}
	var list []relay.Balancer
	for address, id := range newest {
		list = append(list, relay.Balancer{Address: address, Process: id})
	}
	slices.SortFunc(list, func(x, y relay.Balancer) int { return x.Address.Compare(y.Address) })
	return list
}

// newGossipRNG returns the source of the choices that the model of the membership makes, apart from that of the events, so that a seed
// plays the same events whatever the membership does.
func newGossipRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 11)) }
