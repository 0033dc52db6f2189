package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/coord/admit"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

var start = time.Unix(1_800_000_000, 0)

// In any order of events no more requests run than there are slots, no more wait than there are
// places, and each request gets exactly one verdict that it runs or is refused.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queue := rapid.IntRange(0, 5).Draw(t, "queue")
		g := admit.New(slots, queue)
		now := start
		decided := map[uint64]int{}
		running := 0
		note := func(verdicts []admit.Decision) {
			for _, v := range verdicts {
				decided[v.ID]++
				if v.Run {
					running++
				}
				if v.Run == v.Refused {
					t.Fatalf("verdict %+v is neither or both", v)
				}
				if v.Refused && (!v.Kind.Response().NotRun || v.RetryAfter <= 0) {
					t.Fatalf("refusal %+v claims too little", v)
				}
			}
		}
		next := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if running > 0 && rapid.Bool().Draw(t, "done") {
				running--
				note(g.Done(now, time.Duration(rapid.IntRange(0, 200).Draw(t, "ran"))*time.Millisecond))
			} else {
				next++
				class := state.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				deadline := now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "deadline")) * time.Millisecond)
				note(g.Offer(now, admit.Request{ID: next, Class: class, Deadline: deadline}))
			}
			if running > slots || running != g.Running() || g.Queued() > queue {
				t.Fatalf("%d run in %d slots, %d wait in %d places", running, slots, g.Queued(), queue)
			}
		}
		for running > 0 {
			running--
			note(g.Done(now, time.Millisecond))
		}
		for id := uint64(1); id <= next; id++ {
			if decided[id] != 1 {
				t.Fatalf("request %d got %d verdicts", id, decided[id])
			}
		}
	})
}

func TestImportantClassGoesFirst(t *testing.T) {
	is := is.New(t)
	g := admit.New(1, 1)
	late := start.Add(time.Minute)
	g.Offer(start, admit.Request{ID: 1, Deadline: late})
	is.Equal(len(g.Offer(start, admit.Request{ID: 2, Deadline: late})), 0) // waits
	out := g.Offer(start, admit.Request{ID: 3, Class: state.ClassImportant, Deadline: late})
	is.Equal(out[0].ID, uint64(2)) // the normal one gives up its place
	is.Equal(out[0].Kind, errs.Overloaded)
	is.Equal(g.Done(start, time.Second)[0], admit.Decision{ID: 3, Run: true})
}

func TestRefusesAtOnceWhatCantBeDoneInTime(t *testing.T) {
	is := is.New(t)
	g := admit.New(1, 10)
	g.Offer(start, admit.Request{ID: 1, Deadline: start.Add(time.Minute)})
	g.Done(start, time.Second)
	g.Offer(start, admit.Request{ID: 2, Deadline: start.Add(time.Minute)})
	out := g.Offer(start, admit.Request{ID: 3, Deadline: start.Add(1500 * time.Millisecond)})
	is.True(out[0].Refused)
}
