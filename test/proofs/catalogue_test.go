package proofs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/test/fleet"
)

// An accepted edit is in force everywhere in time although the platform fails right after it accepted
// it, and reaches a node that was frozen and one that starts while the platform is down. It never reverts.
func TestEditIsInForceDespiteOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 3, 3, 15*time.Millisecond)
	old := editID(t, f, atelier.Name)
	f.Agents[2].Suspend()
	is.NoErr(f.Platform.Control("/set?lose=1")) // the answer to the write is lost after it took effect
	started := time.Now()
	is.NoErr(f.PutEntry(atelier, queue(33)))
	edit := editID(t, f, atelier.Name)
	is.NoErr(f.Platform.Control("/set?down=true"))
	is.True(edit != old)
	for _, p := range append(f.Balancers[:3:3], f.Agents[:2]...) {
		is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return inForce(p, atelier.Name, edit) }))
	}
	t.Logf("the edit is in force on all running nodes after %v", time.Since(started))
	is.True(time.Since(started) < inForceLimit)

	_, err := f.StartBalancer(4) // starts with the platform down
	is.NoErr(err)
	is.NoErr(fleet.WaitReady(f.Balancers[3]))
	is.True(inForce(f.Balancers[3], atelier.Name, edit))
	time.Sleep(5 * time.Second)
	f.Agents[2].Resume() // knows the old edit only
	is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return inForce(f.Agents[2], atelier.Name, edit) }))
	for range 20 {
		for _, p := range append(f.Balancers, f.Agents...) {
			is.True(inForce(p, atelier.Name, edit)) // nobody reverts
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Operators that race on one entry: each that is told "accepted" has its edit in the history, one that is
// told "conflict" does not, and the last accepted one is in force.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 2, 1, 15*time.Millisecond)
	is.NoErr(f.Platform.Control("/set?delay=30ms"))
	type answer struct {
		out  string
		code int
	}
	for range 3 * scale() {
		base, code := f.OperatorCommand("catalogue", "get", atelier.Name)
		is.Equal(code, 0)
		answers := make(chan answer, 4)
		for range cap(answers) {
			tasks.Go(func() {
				out, code := f.PutEntryText(base)
				answers <- answer{out, code}
			})
		}
		accepted := 0
		for range cap(answers) {
			a := <-answers
			if a.code == 0 {
				accepted++
				continue
			}
			is.Equal(a.code, 5) // conflict
		}
		is.Equal(accepted, 1) // all started from one edit, so one wins
	}
	edit := editID(t, f, atelier.Name)
	for _, p := range append(f.Balancers, f.Agents...) {
		is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return inForce(p, atelier.Name, edit) }))
	}
}

// While the platform is slow, and then down for long, everything else is replaced, and the service goes on.
func TestPlatformSlowThenDownWhileAllIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 2, 2, 15*time.Millisecond)
	is.NoErr(f.Platform.Control("/set?delay=3s"))
	report := startCaller(t, f, atelier, 30*time.Second, "--callers", "40", "--feeds=false", "--period", "300ms")
	time.Sleep(2 * time.Second)
	is.NoErr(f.Platform.Control("/set?down=true"))
	for i := 3; i <= 4; i++ {
		_, err := f.StartBalancer(i)
		is.NoErr(err)
		_, err = f.StartAgent(i, atelier, 15*time.Millisecond)
		is.NoErr(err)
	}
	is.NoErr(fleet.WaitReady(append(f.Balancers[2:4:4], f.Agents[2:]...)...))
	time.Sleep(f.KeySettle + 2*time.Second)
	for i := range 2 {
		f.Agents[i].Stop()
		f.Balancers[i].Stop()
	}
	r := report()
	is.Equal(r.Answered, r.Bookings)
	checkRuns(t, f, r)
	for i := range 2 {
		_, err := f.Agents[i].Wait(10 * time.Second)
		is.NoErr(err)
		_, err = f.Balancers[i].Wait(10 * time.Second)
		is.NoErr(err)
	}
	is.NoErr(f.Platform.Control("/set?down=false&delay=0s"))
	is.NoErr(f.PutEntry(atelier, queue(21)))
	edit := editID(t, f, atelier.Name)
	for _, p := range running(f.Balancers, f.Agents) {
		is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return inForce(p, atelier.Name, edit) }))
	}
}
