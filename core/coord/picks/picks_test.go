package picks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/picks"
	"monsoonstep/core/state"
)

var start = time.Unix(1_800_000_000, 0)

func candidates(n int) []picks.Candidate {
	var out []picks.Candidate
	for i := range n {
		out = append(out, picks.Candidate{ID: state.InstanceID(rune('a' + i)), Slots: 2, Age: time.Hour})
	}
	return out
}

// A target that fails quickly has short service times and no load, so it would attract most requests. It must be
// ejected after a few failures and return when the ejection ends.
func TestFailingTargetIsEjectedEvenIfItReportsNoLoad(t *testing.T) {
	is := is.New(t)
	p := picks.New(1)
	now := start
	failed := 0
	for range 400 {
		id, ok := p.Pick(now, candidates(4))
		is.True(ok)
		p.AttemptStarted(id)
		now = now.Add(5 * time.Millisecond)
		if id == "a" {
			failed++
			p.AttemptFinished(now, id, picks.Failed, time.Microsecond)
			p.HandleLoadReport(now, id, picks.Load{})
			continue
		}
		p.AttemptFinished(now, id, picks.Succeeded, 100*time.Millisecond)
	}
	is.True(failed <= 5)
	is.True(p.Ejected(now, "a"))
	is.True(!p.Ejected(now.Add(time.Minute), "a"))
}

func TestEjectionKeepsTwoThirdsOfTargetsAvailable(t *testing.T) {
	is := is.New(t)
	p := picks.New(1)
	now := start
	for range 200 {
		id, ok := p.Pick(now, candidates(6))
		is.True(ok) // some target is always available
		p.AttemptStarted(id)
		p.AttemptFinished(now, id, picks.Failed, time.Millisecond)
	}
	chosen := map[state.InstanceID]bool{}
	for range 200 {
		id, _ := p.Pick(now, candidates(6))
		chosen[id] = true
	}
	is.True(len(chosen) >= 4) // at most a third of the six is ejected
}

func TestFasterTargetReceivesMoreRequests(t *testing.T) {
	is := is.New(t)
	p := picks.New(1)
	count := map[state.InstanceID]int{}
	type running struct {
		id     state.InstanceID
		endsAt time.Time
	}
	var open []running
	service := map[state.InstanceID]time.Duration{"a": 10 * time.Millisecond, "b": 40 * time.Millisecond}
	now := start
	for range 4000 {
		now = now.Add(4 * time.Millisecond)
		var unfinished []running
		for _, r := range open {
			if r.endsAt.After(now) {
				unfinished = append(unfinished, r)
				continue
			}
			p.AttemptFinished(now, r.id, picks.Succeeded, service[r.id])
		}
		open = unfinished
		id, _ := p.Pick(now, candidates(2))
		p.AttemptStarted(id)
		count[id]++
		open = append(open, running{id, now.Add(service[id])})
	}
	ratio := float64(count["a"]) / float64(count["b"])
	is.True(ratio > 2.5) // a is four times as fast
}

// A target that returns from an ejection and still fails is ejected again by the first failure; it must not be
// allowed another full series of failures.
func TestFirstFailureAfterEjectionEjectsTargetAgain(t *testing.T) {
	is := is.New(t)
	p := picks.New(1)
	now := start
	fail := func() {
		p.AttemptStarted("a")
		p.AttemptFinished(now, "a", picks.Failed, time.Millisecond)
	}
	for range 5 {
		fail()
	}
	is.True(p.Ejected(now, "a"))
	now = now.Add(6 * time.Second)
	is.True(!p.Ejected(now, "a"))
	fail()
	is.True(p.Ejected(now, "a"))
	now = now.Add(30 * time.Second)
	p.AttemptStarted("a")
	p.AttemptFinished(now, "a", picks.Succeeded, time.Millisecond)
	fail()
	is.True(!p.Ejected(now, "a")) // after a success the full number of failures is needed again
}
