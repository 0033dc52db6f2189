package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/state"
)

// net carries messages between machines in memory, with losses, duplicates and cuts.
type network struct {
	rng       *rand.Rand
	now       time.Time
	machines  map[netip.AddrPort]*gossip.Machine
	paused    map[netip.AddrPort]bool
	loss      float64
	duplicate float64
	options   []gossip.Option
	// cut, if set, reports whether two addresses can't reach each other.
	cut func(a, b netip.AddrPort) bool
}

const step = 50 * time.Millisecond

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7401)
}

func newNetwork(n int, seed uint64) *network {
	w := &network{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1_800_000_000, 0),
		machines: make(map[netip.AddrPort]*gossip.Machine),
		paused:   make(map[netip.AddrPort]bool),
	}
	for i := range n {
		w.start(i, state.Millis(w.now.UnixMilli()))
	}
	return w
}

func (w *network) start(i int, since state.Millis) *gossip.Machine {
	name := state.InstanceName(fmt.Sprintf("node-%d", i))
	m := gossip.New(state.Member{ID: state.NewInstanceID(name, since), Announcement: state.Announcement{
		Role: state.RoleAgent, Service: "atelier", Gossip: address(i), Phase: state.PhaseServing, Since: since,
	}}, state.NewRecordSet(), w.rng.Uint64(), w.options...)
	w.machines[address(i)] = m
	w.deliver(address(i), m.Join([]netip.AddrPort{address(0)}))
	return m
}

func (w *network) at(i int) *gossip.Machine { return w.machines[address(i)] }

func (w *network) deliver(from netip.AddrPort, out []gossip.Send) {
	for _, s := range out {
		if w.rng.Float64() < w.loss || w.cut != nil && w.cut(from, s.To) || w.paused[s.To] {
			continue
		}
		to, ok := w.machines[s.To]
		if !ok {
			continue
		}
		for range 1 + int(w.rng.Float64()+w.duplicate) {
			w.deliver(s.To, to.Receive(w.now, from, s.Message))
		}
	}
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for i := range 300 {
			a := address(i)
			if m, ok := w.machines[a]; ok && !w.paused[a] {
				w.deliver(a, m.Tick(w.now))
			}
		}
	}
}

// agree reports whether all running machines see the same present members and records.
func (w *network) agree(present int) bool {
	for a, m := range w.machines {
		if !w.paused[a] && (m.Size() != present || m.RecordSet().Digest() != w.at(0).RecordSet().Digest()) {
			return false
		}
	}
	return true
}

func TestRandomOrdersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "nodes")
		w := newNetwork(n, rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		w.duplicate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
		revisions := make([]map[state.Key]state.Revision, n)
		for i := range revisions {
			revisions[i] = map[state.Key]state.Revision{}
		}
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			to := rapid.IntRange(0, n-1).Draw(t, "to")
			key := rapid.SampledFrom([]state.Key{"entries/a", "entries/b"}).Draw(t, "key")
			w.at(to).MergeRecord(state.Record{Key: key, Revision: state.Revision(rapid.IntRange(1, 50).Draw(t, "revision"))})
			w.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			for i := range n {
				for _, r := range w.at(i).RecordSet().WithPrefix("") {
					if r.Revision < revisions[i][r.Key] {
						t.Fatalf("node %d went back to revision %d of %s", i, r.Revision, r.Key)
					}
					revisions[i][r.Key] = r.Revision
				}
			}
		}
		w.loss = 0
		w.run(30 * time.Second)
		if !w.agree(n) {
			t.Fatal("the nodes do not agree")
		}
	})
}

// A newcomer can tell that it has not been sent all members yet.
func TestNewcomerKnowsThatItIsIncomplete(t *testing.T) {
	is := is.New(t)
	w := newNetwork(20, 5)
	w.run(10 * time.Second)
	is.True(w.at(3).MembershipComplete())
	newcomer := gossip.New(state.Member{
		ID: "late/1", Announcement: state.Announcement{Gossip: address(200)},
	}, state.NewRecordSet(), 9)
	is.True(!newcomer.MembershipComplete()) // nobody has told it anything
	for i := range 4 {
		newcomer.Receive(w.now, address(i), gossip.Message{Kind: gossip.KindUpdates, From: w.at(i).Self().ID, AgentCount: 20})
	}
	is.True(!newcomer.MembershipComplete())
	for i := range 20 {
		newcomer.LoadMember(w.now, w.at(i).Self())
	}
	is.True(newcomer.MembershipComplete())
}

// Pattern: all nodes of a fleet start within 300 ms. Nodes that compare digests every 100 ms while they are young know all
// others within a second.
func TestFleetThatStartsTogetherAgreesSoon(t *testing.T) {
	is := is.New(t)
	w := newNetwork(0, 5)
	w.options = []gossip.Option{gossip.WithBytesPerSecond(48 << 10)}
	for i := range 90 {
		w.start(i, state.Millis(w.now.UnixMilli()))
		if i%15 == 0 {
			w.run(step)
		}
	}
	for range 10 {
		for i := range 90 {
			if w.at(i).Size() == 1 {
				w.deliver(address(i), w.at(i).Join([]netip.AddrPort{address(w.rng.IntN(3))}))
			}
			w.deliver(address(i), w.at(i).Sync())
		}
		w.run(2 * step)
	}
	is.True(w.agree(90))
}

func TestDeathIsNoticedAndReturnTakenIn(t *testing.T) {
	is := is.New(t)
	w := newNetwork(20, 3)
	w.run(10 * time.Second)
	is.True(w.agree(20))
	w.paused[address(7)] = true
	w.run(20 * time.Second)
	is.True(w.agree(19))
	frozen := w.at(7).Self()
	w.paused[address(7)] = false
	is.True(w.at(7).PausedTooLong(w.now)) // it can tell before it acts
	w.run(15 * time.Second)
	is.True(w.agree(20))
	back := w.at(7).Self()
	is.True(back.Incarnation > frozen.Incarnation)
	is.True(back.AbsentTo > back.AbsentFrom) // it tells that it was away
}

func TestNoFalseDeathsUnderLoss(t *testing.T) {
	is := is.New(t)
	w := newNetwork(30, 4)
	w.loss = 0.05
	w.run(2 * time.Minute)
	for i := range 30 {
		is.Equal(w.at(i).Stats().Deaths, uint64(0))
	}
}

func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	w := newNetwork(16, 5)
	w.run(10 * time.Second)
	w.cut = func(a, b netip.AddrPort) bool { return (a.Addr().As4()[3] < 8) != (b.Addr().As4()[3] < 8) }
	w.run(time.Minute)
	is.Equal(w.at(0).Size(), 8)
	w.at(0).MergeRecord(state.Record{Key: "entries/a", Revision: 9})
	w.cut = nil
	w.run(2 * time.Minute)
	is.True(w.agree(16))
}

// A new process under an old address is another member, and the old one is found dead.
func TestRestartIsAnotherMember(t *testing.T) {
	is := is.New(t)
	w := newNetwork(10, 6)
	w.run(10 * time.Second)
	old := w.at(5).Self().ID
	w.start(5, state.Millis(w.now.UnixMilli()))
	w.run(30 * time.Second)
	is.True(w.agree(10))
	for _, m := range w.at(0).Members() {
		if m.ID == old {
			is.Equal(m.Health, state.HealthDead)
		}
	}
}

// What a node sends in a second does not grow with the fleet, and an edit reaches all within 11 s.
func TestCostIsFlatAndSpreadIsFast(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{20, 80, 240} {
		w := newNetwork(n, 7)
		started := w.now
		for !w.agree(n) && w.now.Sub(started) < 10*time.Minute {
			w.run(time.Second)
		}
		t.Logf("%d nodes that start at once agree after %v", n, w.now.Sub(started))
		is.True(w.agree(n))
		edited := w.now
		w.at(n / 2).MergeRecord(state.Record{Key: "entries/a", Revision: 5, Value: make([]byte, 400)})
		for !w.agree(n) && w.now.Sub(edited) < time.Minute {
			w.run(step)
		}
		t.Logf("%d nodes: an edit is everywhere after %v", n, w.now.Sub(edited))
		is.True(w.now.Sub(edited) < 11*time.Second)
	}
}

// A tenth of the fleet dies at once, as when a data centre is lost; the news must not take the byte budget
// for minutes: callers' idle timeout, 30 s, is the bound.
func TestTenthDiesAtOnce(t *testing.T) {
	is := is.New(t)
	const nodes, dead = 240, 24
	w := newNetwork(nodes, 8)
	for started := w.now; !w.agree(nodes) && w.now.Sub(started) < 10*time.Minute; {
		w.run(time.Second)
	}
	is.True(w.agree(nodes))
	w.run(time.Minute)
	for i := nodes - dead; i < nodes; i++ {
		w.paused[address(i)] = true
	}
	killed := w.now
	for !w.agree(nodes-dead) && w.now.Sub(killed) < 5*time.Minute {
		w.run(100 * time.Millisecond)
	}
	t.Logf("%d of %d deaths are known everywhere after %v", dead, nodes, w.now.Sub(killed))
	is.True(w.now.Sub(killed) < 30*time.Second)
}

// A node that starts does not spread the catalogue that it was given.
func TestAdoptedRecordsAreNotSpread(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3, 9)
	w.run(20 * time.Second)
	m := w.at(1)
	for i := range 500 {
		m.LoadRecord(state.Record{Key: state.Key(fmt.Sprintf("entries/s%d", i)), Revision: 7, Value: make([]byte, 400)})
	}
	records := 0
	for range 20 {
		w.now = w.now.Add(step)
		for _, s := range m.Tick(w.now) {
			records += len(s.Message.Records)
		}
	}
	is.Equal(records, 0)
}
