package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/coord/steer"
	"monsoonstep/core/coord/watch"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

const (
	// probePeriod and suspicionTimeout determine how soon an unresponsive node is declared dead: after about two seconds in all.
	probePeriod      = 500 * time.Millisecond
	suspicionTimeout = 1200 * time.Millisecond
	// maxGossipBytesPerSecond limits the membership messages that a node sends. A start of the whole fleet needs several times the
	// rate of normal operation.
	maxGossipBytesPerSecond = 48 << 10
	// joinInterval is the time between two join attempts at seeds while this node may know only a part of the fleet.
	joinInterval = 100 * time.Millisecond
	// rejoinInterval is the time between two join attempts at seeds otherwise. These attempts reunite the halves of
	// a fleet after a partition.
	rejoinInterval = 10 * time.Second
	// syncInterval is the time between two additional comparisons with a random member, within startupWindow of the start and while
	// others know more agents than this node.
	syncInterval  = 100 * time.Millisecond
	startupWindow = 2 * time.Second
	// joinFanout is how many randomly drawn seeds a join attempt contacts.
	joinFanout = 3
	// minIntroductionInterval is the minimum time between two introductions to unknown peers.
	minIntroductionInterval = 10 * time.Millisecond
	// maxSeeds is the maximum number of seed addresses, those from the list in the store included.
	maxSeeds = 64
	// configRecordKey is the key of the record with the newest version of the configuration and the address of a balancer that has
	// it.
	configRecordKey state.Key = "config"
	// storeEraRecordKey is the key of the record whose revision is the latest known era of the store.
	storeEraRecordKey state.Key = "storeEra"
)

// fleet is this node's view of the fleet's membership. Only the event loop uses it.
type fleet struct {
	// machine is the state machine of the gossip protocol.
	machine *gossip.Machine
	seeds   []netip.AddrPort
	log     logs.Logger
	// seenVersion is the machine's version at the last call of changed that returned members.
	seenVersion uint64
	started     time.Time
	lastJoin    time.Time
	nextSync    time.Time
	// nextIntroduction is the earliest time of the next introduction to an unknown peer.
	nextIntroduction time.Time
	// loggedHealths holds the health of each member when changes were last logged.
	loggedHealths map[state.InstanceID]state.Health
	// present holds the gossip addresses of the members that are alive or suspect (state.Member.Present).
	present map[netip.AddrPort]struct{}
	// alone is true while no other node is known.
	alone bool
	// left is set once this node has announced that it leaves.
	left bool
	// evacuation is true if this node follows orders to evacuate data centres.
	evacuation bool
}

// newFleet returns the membership of a node that starts now; self holds the role and what depends on it.
func newFleet(s Settings, self state.Announcement, log logs.Logger) *fleet {
	started := time.Now()
	self.DataCentre = s.DataCentre
	self.Region = s.Region
	self.Gossip = s.Internal
	self.Flow = s.Internal
	self.Peer = s.Internal
	member := state.Member{ID: state.NewInstanceID(s.Instance, state.Millis(started.UnixMilli())), Announcement: self}
	machine := gossip.New(member, state.NewRecordSet(), uint64(started.UnixNano()),
		gossip.WithProbePeriod(probePeriod), gossip.WithSuspicionTimeout(suspicionTimeout), gossip.WithBytesPerSecond(maxGossipBytesPerSecond),
		gossip.WithDepartureWindow(steer.PlannedRestartWindow))
	return &fleet{
		machine: machine, seeds: s.Seeds, log: log, started: started, alone: true, present: make(map[netip.AddrPort]struct{}),
		evacuation: s.Evacuation,
	}
}

// tick advances the membership and returns the messages to send.
func (f *fleet) tick(now time.Time) []gossip.Send {
	if f.left {
		return nil
	}
	sends := f.machine.Tick(now)
	recentlyStarted := now.Sub(f.started) < startupWindow
	if (recentlyStarted || !f.machine.MembershipComplete()) && !now.Before(f.nextSync) {
		f.nextSync = now.Add(syncInterval)
		sends = append(sends, f.machine.Sync()...)
	}
	if now.Sub(f.lastJoin) < f.joinInterval(now) {
		return sends
	}
	f.lastJoin = now
	return append(sends, f.machine.Join(f.randomSeeds())...)
}

// joinInterval returns the present time between two join attempts. A balancer that has just started looks for another one as well, since
// nodes that start together may meet in separate groups.
func (f *fleet) joinInterval(now time.Time) time.Duration {
	looksForBalancer := now.Sub(f.started) < startupWindow && !f.machine.KnowsBalancer()
	if looksForBalancer || f.machine.IsSeparated() {
		return joinInterval
	}
	return rejoinInterval
}

// randomSeeds returns up to joinFanout seeds, drawn at random.
func (f *fleet) randomSeeds() []netip.AddrPort {
	drawn := slices.Clone(f.seeds)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(joinFanout, len(drawn))]
}

// receive handles a gossip message and returns the messages to send.
func (f *fleet) receive(now time.Time, from netip.AddrPort, m gossip.Message) []gossip.Send {
	if f.evacuation {
		f.answerOutdatedOrders(m.Records)
	}
	return f.machine.Receive(now, from, m)
}

// changed returns the members and true if they have changed since the last call, and logs the changes; otherwise it returns false.
func (f *fleet) changed() ([]state.Member, bool) {
	version := f.machine.Version()
	if version == f.seenVersion {
		return nil, false
	}
	f.seenVersion = version
	if alone := f.machine.Size() == 1; alone != f.alone {
		f.alone = alone
		if alone {
			f.log.Warn("no other node is known; joining through the seeds")
		} else {
			f.log.Info("joined other nodes", "members", f.machine.Size())
		}
	}
	members := f.machine.Members()
	c := f.changedMembers(members)
	if pairs := c.pairs(); pairs != nil {
		f.log.Info("health of members changed", append(pairs, "members", len(members))...)
	}
	clear(f.present)
	for _, m := range members {
		if m.Present() {
			f.present[m.Gossip] = struct{}{}
		}
	}
	return members, true
}

// introduce returns messages that introduce this node to an unknown peer from which a message was received: one of the two has
// restarted, and the other has not noticed yet. It returns nil if the peer is known, this node has left, or the last introduction was less
// than minIntroductionInterval ago.
func (f *fleet) introduce(now time.Time, from netip.AddrPort) []gossip.Send {
	if _, present := f.present[from]; present || f.left || now.Before(f.nextIntroduction) {
		return nil
	}
	f.nextIntroduction = now.Add(minIntroductionInterval)
	return f.machine.Join([]netip.AddrPort{from})
}

// addSeeds adds seed addresses and makes the next tick attempt a join.
func (f *fleet) addSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if !slices.Contains(f.seeds, seed) && len(f.seeds) < maxSeeds {
			f.seeds = append(f.seeds, seed)
		}
	}
	f.lastJoin = time.Time{}
}

// announcePhase announces this node's phase to the fleet.
func (f *fleet) announcePhase(p state.Phase) {
	if f.machine.Self().Phase == p {
		return
	}
	f.machine.Announce(func(a *state.Announcement) { a.Phase = p })
}

// announceStoreUnreachable announces to the fleet whether this node's calls to the store fail.
func (f *fleet) announceStoreUnreachable(unreachable bool) {
	if f.machine.Self().StoreUnreachable == unreachable {
		return
	}
	f.machine.Announce(func(a *state.Announcement) { a.StoreUnreachable = unreachable })
}

// announceConfig announces to the fleet that the balancer at the holder's address has a version of the configuration.
func (f *fleet) announceConfig(v state.ConfigVersion, holder netip.AddrPort) {
	f.machine.MergeRecord(state.Record{Key: configRecordKey, Revision: state.Revision(v), Value: []byte(holder.String())})
}

// announcedConfig returns the newest announced version of the configuration and the address of a balancer that has it. The version is
// zero if none was announced.
func (f *fleet) announcedConfig() (state.ConfigVersion, netip.AddrPort) {
	r, ok := f.machine.RecordSet().Get(configRecordKey)
	if !ok {
		return 0, netip.AddrPort{}
	}
	holder, err := netip.ParseAddrPort(string(r.Value))
	if err != nil {
		return 0, netip.AddrPort{}
	}
	return state.ConfigVersion(r.Revision), holder
}

// announceStoreEra announces an era of the store to the fleet, and reports whether it is later than the latest known one.
func (f *fleet) announceStoreEra(era state.StoreEra) bool {
	return f.machine.MergeRecord(state.Record{Key: storeEraRecordKey, Revision: state.Revision(era)})
}

// storeEra returns the latest era of the store that was announced; zero if none was.
func (f *fleet) storeEra() state.StoreEra {
	r, ok := f.machine.RecordSet().Get(storeEraRecordKey)
	if !ok {
		return 0
	}
	return state.StoreEra(r.Revision)
}

// leave returns the messages that announce that this node leaves the fleet. Later ticks send nothing.
func (f *fleet) leave() []gossip.Send {
	if f.left {
		return nil
	}
	f.left = true
	return f.machine.Leave()
}

// watchCandidates returns the balancers that are present, with what they announced about the store.
func watchCandidates(members []state.Member) []watch.Balancer {
	unreachable := make(map[netip.AddrPort]bool)
	for _, m := range members {
		if m.Present() && m.StoreUnreachable {
			unreachable[m.Gossip] = true
		}
	}
	var found []watch.Balancer
	for _, b := range balancers(members) {
		found = append(found, watch.Balancer{Address: b.Address, StoreUnreachable: unreachable[b.Address]})
	}
	return found
}

// balancers returns the balancers that are present, this node included if it is one, each address once. Two processes at one address
// are a balancer that was restarted and its former process, which is not known to be down yet.
func balancers(members []state.Member) []relay.Balancer {
	newest := make(map[netip.AddrPort]state.InstanceID)
	for _, m := range members {
		if m.Role != state.RoleBalancer || !m.Present() || !m.Gossip.IsValid() {
			continue
		}
		if other, ok := newest[m.Gossip]; !ok || m.ID.Started() > other.Started() {
			newest[m.Gossip] = m.ID
		}
	}
	found := make([]relay.Balancer, 0, len(newest))
	for address, process := range newest {
		found = append(found, relay.Balancer{Address: address, Process: process})
	}
	slices.SortFunc(found, func(x, y relay.Balancer) int { return x.Address.Compare(y.Address) })
	return found
}
