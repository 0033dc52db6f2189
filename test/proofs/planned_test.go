package proofs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/test/fleet"
)

// Open feeds survive every planned change: balancers are halved, doubled and all replaced, half of the
// targets drain, the keys rotate and the entry is edited, on a fabric that loses, repeats and reorders.
func TestPlannedChangesBreakNoFeed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 2, 4, 15*time.Millisecond)
	is.NoErr(f.Fabrics[atelier.Name].Control("/set?loss=0.01&duplicate=0.01&reorder=0.01"))
	report := startCaller(t, f, atelier, 34*time.Second, "--callers", "300", "--period", "1s")
	time.Sleep(4 * time.Second)

	f.Balancers[0].Stop() // halve
	time.Sleep(2 * time.Second)
	out, code := f.OperatorCommand("keys", "rotate", "--delay", "1s")
	is.Equal(code, 0)
	t.Log(out)
	for i := 3; i <= 4; i++ { // double
		_, err := f.StartBalancer(i)
		is.NoErr(err)
	}
	is.NoErr(fleet.WaitReady(f.Balancers[2:]...))
	is.NoErr(f.PutEntry(atelier, queue(48)))
	f.Balancers[1].Stop() // the last of the first ones: all are replaced now
	for i := 3; i <= 4; i++ {
		out, code := f.OperatorCommand("drain", fmt.Sprintf("agent-%d", i))
		is.Equal(code, 0)
		t.Log(out)
	}
	time.Sleep(6 * time.Second)
	for i := 5; i <= 6; i++ { // replace again, with the new keys
		_, err := f.StartBalancer(i)
		is.NoErr(err)
	}
	is.NoErr(fleet.WaitReady(f.Balancers[4:]...))
	f.Balancers[2].Stop()
	f.Balancers[3].Kill()

	r := report()
	is.Equal(r.FeedsBroken, 0)
	is.Equal(r.FeedsOpen, 300)
	is.Equal(r.Answered, r.Bookings)
	checkRuns(t, f, r)
	d, err := control(f.Balancers[4])
	is.NoErr(err)
	is.Equal(d.Generation, 1) // the rotation was in force
}

// A planned stop cuts nothing in progress: agents and balancers get SIGTERM while slow bookings run.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 3, 4, 15*time.Millisecond)
	report := startCaller(t, f, atelier, 16*time.Second, "--callers", "16", "--feeds=false", "--work", "1500", "--period", "500ms", "--keyed=false")
	time.Sleep(4 * time.Second)
	f.Agents[0].Stop()
	f.Agents[1].Stop()
	f.Balancers[0].Stop()
	time.Sleep(3 * time.Second)
	f.Balancers[1].Stop()
	r := report()
	is.Equal(r.Answered, r.Bookings)
	is.True(r.Bookings > 50)
	checkRuns(t, f, r)
	for _, p := range []*fleet.Process{f.Agents[0], f.Agents[1], f.Balancers[0], f.Balancers[1]} {
		_, err := p.Wait(15 * time.Second)
		is.NoErr(err) // it ended by itself with exit code 0
	}
}

// A leaving target gets no new work after a few seconds, also when the platform fails right after the
// drain was accepted, one balancer is frozen with an old view, and several drain at once.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 3, 6, 15*time.Millisecond)
	report := startCaller(t, f, atelier, 16*time.Second, "--callers", "60", "--period", "100ms")
	time.Sleep(3 * time.Second)
	f.Balancers[0].Suspend()
	drained := time.Now()
	for i := 4; i <= 6; i++ {
		out, code := f.OperatorCommand("drain", fmt.Sprintf("agent-%d", i))
		is.Equal(code, 0)
		t.Log(out)
	}
	is.NoErr(f.Platform.Control("/set?down=true"))
	time.Sleep(4 * time.Second)
	f.Balancers[0].Resume() // it acts on its old view until it hears the news
	r := report()
	for i := 3; i < 6; i++ {
		last := readJournal(t, f.Targets[i]).LastRun.Sub(drained)
		t.Logf("target %d began its last booking %v after the drain", i+1, last)
		is.True(last < drainLimit)
	}
	is.Equal(r.FeedsBroken, 0)
	is.Equal(r.Answered, r.Bookings)
	checkRuns(t, f, r)
}

// A caller whose connection has been quiet for a while may send a booking in the moment in which its agent
// begins to drain; it is told to go before its connection is closed, so nothing is cut.
func TestDrainCutsNoCallerThatWasQuiet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 2, 4, 15*time.Millisecond)
	report := startCaller(t, f, atelier, 14*time.Second, "--callers", "200", "--feeds=false", "--period", "2500ms", "--keyed=false", "--tries", "1")
	time.Sleep(6 * time.Second)
	f.Agents[0].Stop()
	f.Agents[1].Stop()
	f.Agents[2].Stop()
	r := report()
	is.Equal(r.Answered, r.Bookings)
	checkRuns(t, f, r)
}
