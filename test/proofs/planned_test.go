package proofs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/test/fleet"
)

// Guards against feeds that break on planned changes: the number of balancers is halved and doubled, all
// balancers are replaced, half of the targets drain, the keys rotate and the entry is edited, while the network
// loses, duplicates and reorders 1% of the packets each.
func TestPlannedChangesBreakNoFeed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 2, 4, 15*time.Millisecond)
	is.NoErr(f.Fabrics[atelier.Name].Control("/set?loss=0.01&duplicate=0.01&reorder=0.01"))
	report := startCallers(t, f, atelier, 34*time.Second, "--callers", "300", "--period", "1s")
	time.Sleep(4 * time.Second)

	f.Balancers[0].Stop() // halve the number of balancers
	time.Sleep(2 * time.Second)
	out, code := f.OperatorCommand("keys", "rotate", "--delay", "1s")
	is.Equal(code, 0)
	t.Log(out)
	for i := 3; i <= 4; i++ { // double: replace the remaining balancer by two
		_, err := f.StartBalancer(i)
		is.NoErr(err)
	}
	is.NoErr(fleet.WaitReady(f.Balancers[2:]...))
	is.NoErr(f.PutEntry(atelier, setQueueLimit(48)))
	f.Balancers[1].Stop() // the last of the original balancers
	for i := 3; i <= 4; i++ {
		out, code := f.OperatorCommand("drain", fmt.Sprintf("agent-%d", i))
		is.Equal(code, 0)
		t.Log(out)
	}
	time.Sleep(6 * time.Second)
	for i := 5; i <= 6; i++ { // replace all balancers again, with the new keys
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
	checkBookings(t, f, r)
	d, err := controlState(f.Balancers[4])
	is.NoErr(err)
	is.Equal(d.Generation, 1) // the rotated keys are in use
}

// Guards against a planned stop that interrupts requests in progress: agents and balancers get SIGTERM while
// slow bookings run.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 3, 4, 15*time.Millisecond)
	report := startCallers(t, f, atelier, 16*time.Second, "--callers", "16", "--feeds=false", "--work", "1500", "--period", "500ms", "--keyed=false")
	time.Sleep(4 * time.Second)
	f.Agents[0].Stop()
	f.Agents[1].Stop()
	f.Balancers[0].Stop()
	time.Sleep(3 * time.Second)
	f.Balancers[1].Stop()
	r := report()
	is.Equal(r.Answered, r.Bookings)
	is.True(r.Bookings > 50)
	checkBookings(t, f, r)
	for _, p := range []*fleet.Process{f.Agents[0], f.Agents[1], f.Balancers[0], f.Balancers[1]} {
		_, err := p.Wait(15 * time.Second)
		is.NoErr(err) // it exited by itself with code 0
	}
}

// Guards against a planned stop of an agent that has no callers of its own but runs bookings as the owner of their keys: it must
// wait for their answers before it exits.
func TestStoppingKeyOwnerAnswersItsBookings(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 2, 2, 15*time.Millisecond)
	report := startCallers(t, f, atelier, 20*time.Second, "--callers", "24", "--feeds=false", "--work", "1500", "--period", "300ms")
	time.Sleep(2 * time.Second)
	owner, err := f.StartAgent(3, atelier, 15*time.Millisecond)
	is.NoErr(err)
	is.NoErr(fleet.WaitReady(owner))
	time.Sleep(f.KeySettle + 4*time.Second) // it owns a third of the new keys
	owner.Stop()
	r := report()
	is.True(r.Bookings > 100)
	is.Equal(len(r.Unknown), 0)
	is.Equal(r.Answered, r.Bookings)
	checkBookings(t, f, r)
}

// Guards against a draining target that still gets new work after drainLimit. Several targets drain at once, the
// platform fails right after it accepted the drains, and one balancer is suspended during them, so it resumes
// with an outdated view.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 3, 6, 15*time.Millisecond)
	report := startCallers(t, f, atelier, 16*time.Second, "--callers", "60", "--period", "100ms")
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
	f.Balancers[0].Resume() // it uses its outdated view until it receives the updates
	r := report()
	for i := 3; i < 6; i++ {
		last := readJournal(t, f.Targets[i]).LastRun.Sub(drained)
		t.Logf("target %d started its last booking %v after the drain was requested", i+1, last)
		is.True(last < drainLimit)
	}
	is.Equal(r.FeedsBroken, 0)
	is.Equal(r.Answered, r.Bookings)
	checkBookings(t, f, r)
}

// Guards against bookings that fail because an idle caller sends them in the moment in which its agent starts to
// drain. The agent must notify the caller that it goes away before it closes the connection.
func TestDrainInterruptsNoIdleCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 2, 4, 15*time.Millisecond)
	report := startCallers(t, f, atelier, 14*time.Second, "--callers", "200", "--feeds=false", "--period", "2500ms", "--keyed=false", "--tries", "1")
	time.Sleep(6 * time.Second)
	f.Agents[0].Stop()
	f.Agents[1].Stop()
	f.Agents[2].Stop()
	r := report()
	is.Equal(r.Answered, r.Bookings)
	checkBookings(t, f, r)
}
