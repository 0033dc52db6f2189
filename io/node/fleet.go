package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/state"
	"monsoonstep/io/logs"
)

const (
	// probePeriod and suspicion set how soon a silent node counts as dead, in all about two seconds.
	probePeriod      = 500 * time.Millisecond
	suspicionTimeout = 1200 * time.Millisecond
	// maxGossipBytesPerSecond bounds a node's membership messages, in bytes a second; a start of the whole fleet needs several
	// times what an ordinary second does.
	maxGossipBytesPerSecond = 48 << 10
	// joinInterval is the time between two calls to the seeds while nobody answers.
	joinInterval = 100 * time.Millisecond
	// rejoinInterval is the time between two calls to the seeds otherwise, so that halves of a fleet find each other.
	rejoinInterval = 10 * time.Second
	// syncInterval is the time between two comparisons with a random member while this node is young, or others know more
	// agents than it does.
	syncInterval  = 100 * time.Millisecond
	startupWindow = 2 * time.Second
	// joinFanout is how many seeds are called at a time, drawn at random.
	joinFanout = 3
	// minIntroductionInterval is the least time between two calls to nodes that are not known.
	minIntroductionInterval = 10 * time.Millisecond
	// maxSeeds bounds the addresses that are called.
	maxSeeds = 64
	// configRecordKey is the key of the record that tells the newest configuration and who has it.
	configRecordKey state.Key = "config"
)

// fleet is this node's membership. Only the owner of the state uses it.
type fleet struct {
	machine *gossip.Machine
	seeds   []netip.AddrPort
	log     logs.Logger
	// seenVersion is the machine's version when members were last handed out.
	seenVersion uint64
	started     time.Time
	nextJoin    time.Time
	nextSync    time.Time
	// nextIntroduction is the earliest time of the next call to a node that is not known.
	nextIntroduction time.Time
	// loggedHealths is what was last noted of each member.
	loggedHealths map[state.InstanceID]state.Health
	// present holds the addresses of the nodes that run.
	present map[netip.AddrPort]struct{}
	// alone is true while no other node is known.
	alone bool
	left  bool
}

func newFleet(s Settings, self state.Announcement, log logs.Logger) *fleet {
	started := time.Now()
	self.DataCentre = s.DataCentre
	self.Region = s.Region
	self.Gossip = s.Internal
	self.Flow = s.Internal
	self.Peer = s.Internal
	row := state.Member{ID: state.NewInstanceID(s.Instance, state.Millis(started.UnixMilli())), Announcement: self}
	machine := gossip.New(row, state.NewRecordSet(), uint64(started.UnixNano()),
		gossip.WithProbePeriod(probePeriod), gossip.WithSuspicionTimeout(suspicionTimeout), gossip.WithBytesPerSecond(maxGossipBytesPerSecond))
	return &fleet{machine: machine, seeds: s.Seeds, log: log, started: started, alone: true, present: make(map[netip.AddrPort]struct{})}
}

func (f *fleet) tick(now time.Time) []gossip.Send {
	if f.left {
		return nil
	}
	sends := f.machine.Tick(now)
	young := now.Sub(f.started) < startupWindow
	if (young || !f.machine.MembershipComplete()) && !now.Before(f.nextSync) {
		f.nextSync = now.Add(syncInterval)
		sends = append(sends, f.machine.Sync()...)
	}
	if now.Before(f.nextJoin) {
		return sends
	}
	f.nextJoin = now.Add(rejoinInterval)
	if f.machine.Size() == 1 {
		f.nextJoin = now.Add(joinInterval)
	}
	return append(sends, f.machine.Join(f.randomSeeds())...)
}

// randomSeeds draws a few of the seeds.
func (f *fleet) randomSeeds() []netip.AddrPort {
	drawn := slices.Clone(f.seeds)
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(joinFanout, len(drawn))]
}

func (f *fleet) receive(now time.Time, from netip.AddrPort, m gossip.Message) []gossip.Send {
	return f.machine.Receive(now, from, m)
}

// changed returns the members if they changed since the last call.
func (f *fleet) changed() ([]state.Member, bool) {
	version := f.machine.Version()
	if version == f.seenVersion {
		return nil, false
	}
	f.seenVersion = version
	if alone := f.machine.Size() == 1; alone != f.alone {
		f.alone = alone
		if alone {
			f.log.Warn("no other node is known any more")
		} else {
			f.log.Info("other nodes are known", "members", f.machine.Size())
		}
	}
	members := f.machine.Members()
	c := f.changedMembers(members)
	if pairs := c.logPairs(); pairs != nil {
		f.log.Info("members have changed", append(pairs, "members", len(members))...)
	}
	clear(f.present)
	for _, m := range members {
		if m.Present() {
			f.present[m.Gossip] = struct{}{}
		}
	}
	return members, true
}

// introduce returns messages that introduce this node to one that is not known to run, but sends: either of them was started
// again while the other was not looking.
func (f *fleet) introduce(now time.Time, from netip.AddrPort) []gossip.Send {
	if _, known := f.present[from]; known || f.left || now.Before(f.nextIntroduction) {
		return nil
	}
	f.nextIntroduction = now.Add(minIntroductionInterval)
	return f.machine.Join([]netip.AddrPort{from})
}

// addSeeds adds addresses to call, at the next tick.
func (f *fleet) addSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		if !slices.Contains(f.seeds, seed) && len(f.seeds) < maxSeeds {
			f.seeds = append(f.seeds, seed)
		}
	}
	f.nextJoin = time.Time{}
}

// announcePhase tells the fleet how far this node is in its life.
func (f *fleet) announcePhase(p state.Phase) {
	if f.machine.Self().Phase == p {
		return
	}
	f.machine.Announce(func(a *state.Announcement) { a.Phase = p })
}

// announceConfig tells the fleet that this node has a version of the configuration.
func (f *fleet) announceConfig(v state.ConfigVersion, holder netip.AddrPort) {
	f.machine.MergeRecord(state.Record{Key: configRecordKey, Revision: state.Revision(v), Value: []byte(holder.String())})
}

// announcedConfig returns the newest version that the fleet tells of, and who has it.
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

// leave tells others that this node goes.
func (f *fleet) leave() []gossip.Send {
	if f.left {
		return nil
	}
	f.left = true
	return f.machine.Leave()
}

// balancers returns the addresses of the balancers that run, this node included if it is one.
func balancers(members []state.Member) []netip.AddrPort {
	var found []netip.AddrPort
	for _, m := range members {
		if m.Role == state.RoleBalancer && m.Present() && m.Gossip.IsValid() {
			found = append(found, m.Gossip)
		}
	}
	return found
}
