package proofs_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/test/fleet"
)

// Guards against an accepted edit that is lost, late or reverted because the platform fails right after it
// accepted the edit. The edit must also reach a node that was suspended with the old edit, and one that
// starts while the platform is down.
func TestEditReachesAllNodesWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 3, 3, 15*time.Millisecond)
	old := editID(t, f, atelier.Name)
	f.Agents[2].Suspend()
	is.NoErr(f.Platform.Control("/set?lose=1")) // the write is applied, but its response is lost
	started := time.Now()
	is.NoErr(f.PutEntry(atelier, setQueueLimit(33)))
	edit := editID(t, f, atelier.Name)
	is.NoErr(f.Platform.Control("/set?down=true"))
	is.True(edit != old)
	for _, p := range append(f.Balancers[:3:3], f.Agents[:2]...) {
		is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return isInForce(p, atelier.Name, edit) }))
	}
	t.Logf("the edit is in force on all running nodes after %v", time.Since(started))
	is.True(time.Since(started) < inForceLimit)

	_, err := f.StartBalancer(4) // starts while the platform is down
	is.NoErr(err)
	is.NoErr(fleet.WaitReady(f.Balancers[3]))
	is.True(isInForce(f.Balancers[3], atelier.Name, edit))
	time.Sleep(5 * time.Second)
	f.Agents[2].Resume() // it knows only the old edit
	is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return isInForce(f.Agents[2], atelier.Name, edit) }))
	for range 20 {
		for _, p := range append(f.Balancers, f.Agents...) {
			is.True(isInForce(p, atelier.Name, edit)) // no node reverts to the old edit
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against lost updates when operators write the same entry at the same time: of the writes that start
// from one edit, exactly one is accepted and the others fail with a conflict. The last accepted edit is in
// force on every node.
func TestOneOfConcurrentEditsIsAccepted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 2, 1, 15*time.Millisecond)
	is.NoErr(f.Platform.Control("/set?delay=30ms"))
	type result struct {
		out  string
		code int
	}
	for range 3 * repeatFactor() {
		base, code := f.OperatorCommand("catalogue", "get", atelier.Name)
		is.Equal(code, 0)
		results := make(chan result, 4)
		for range cap(results) {
			tasks.Go(func() {
				out, code := f.PutEntryText(base)
				results <- result{out, code}
			})
		}
		accepted := 0
		for range cap(results) {
			r := <-results
			if r.code == 0 {
				accepted++
				continue
			}
			is.Equal(r.code, 5) // conflict
		}
		is.Equal(accepted, 1) // all writes start from the same edit
	}
	edit := editID(t, f, atelier.Name)
	for _, p := range append(f.Balancers, f.Agents...) {
		is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return isInForce(p, atelier.Name, edit) }))
	}
}

// Guards against a dependency of the data path on the platform: while the platform is slow (3 s for each
// response) and then down, every balancer and agent is replaced, and every booking must still be answered.
func TestAllNodesReplacedWhilePlatformIsSlowThenDown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startFleet(t, f, 2, 2, 15*time.Millisecond)
	is.NoErr(f.Platform.Control("/set?delay=3s"))
	report := startCallers(t, f, atelier, 30*time.Second, "--callers", "40", "--feeds=false", "--period", "300ms")
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
	checkBookings(t, f, r)
	for i := range 2 {
		_, err := f.Agents[i].Wait(10 * time.Second)
		is.NoErr(err)
		_, err = f.Balancers[i].Wait(10 * time.Second)
		is.NoErr(err)
	}
	is.NoErr(f.Platform.Control("/set?down=false&delay=0s"))
	is.NoErr(f.PutEntry(atelier, setQueueLimit(21)))
	edit := editID(t, f, atelier.Name)
	for _, p := range runningProcesses(f.Balancers, f.Agents) {
		is.NoErr(fleet.WaitUntil(inForceLimit, func() bool { return isInForce(p, atelier.Name, edit) }))
	}
}
