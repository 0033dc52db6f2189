// Package admit decides at a target's agent whether a request runs now, waits in a short queue, or is
// refused at once as not run.
//
// The decision is deadline-aware: a request that could not be done in time is refused when it comes,
// not when its time is over. The important class goes first, and takes the place of a waiting normal
// request when the queue is full.
package admit

import (
	"time"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Request is what the gate needs to know of a request.
type Request struct {
	ID    uint64
	Class state.Class
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Decision is the gate's decision on a request.
type Decision struct {
	ID uint64
	// Run is true if the request runs now. If neither Run nor Refused is set, it waits.
	Run     bool
	Refused bool
	// Kind is why it was refused.
	Kind       errs.Kind
	RetryAfter time.Duration
}

const (
	smoothing     = 0.1
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	classes       = int(state.ClassImportant) + 1
)

// Gate is the admission of one target. It is not safe for use by several goroutines.
type Gate struct {
	slots int
	queue int
	// running is from 0 to slots, unless slots was lowered meanwhile.
	running int
	// waiting holds for each class its waiting requests, the oldest first; together at most queue.
	waiting [classes][]Request
	// serviceTime is the smoothed time of a request in a slot; zero until one was measured.
	serviceTime time.Duration
}

// New returns a gate with a number of slots and places to wait.
func New(slots, queue int) *Gate { return &Gate{slots: slots, queue: queue} }

// Resize changes the slots and the places to wait. Requests that run or wait stay.
func (g *Gate) Resize(slots, queue int) { g.slots, g.queue = slots, queue }

// Running returns how many requests hold a slot.
func (g *Gate) Running() int { return g.running }

// Queued returns how many requests wait.
func (g *Gate) Queued() int {
	n := 0
	for _, q := range g.waiting {
		n += len(q)
	}
	return n
}

// ServiceTime returns the smoothed time of a request in a slot.
func (g *Gate) ServiceTime() time.Duration { return g.serviceTime }

// Offer decides on a new request. The verdicts concern it and any that it displaced.
func (g *Gate) Offer(now time.Time, r Request) []Decision {
	if !now.Before(r.Deadline) {
		return []Decision{g.refuse(r, errs.Expired)}
	}
	// A free slot is always used, so that a service time that was measured too long is measured anew.
	if g.running < g.slots {
		g.running++
		return []Decision{{ID: r.ID, Run: true}}
	}
	if now.Add(g.expectedWait(r.Class) + g.serviceTime).After(r.Deadline) {
		return []Decision{g.refuse(r, g.lateKind(now, r))}
	}
	if g.Queued() < g.queue {
		g.waiting[r.Class] = append(g.waiting[r.Class], r)
		return nil
	}
	displaced, ok := g.displace(r.Class)
	if !ok {
		return []Decision{g.refuse(r, errs.Overloaded)}
	}
	g.waiting[r.Class] = append(g.waiting[r.Class], r)
	return []Decision{g.refuse(displaced, errs.Overloaded)}
}

// Done frees a slot after a request that ran for the given time, and starts or refuses waiting ones.
// A time of zero is not counted: the request did not run to its end.
func (g *Gate) Done(now time.Time, ran time.Duration) []Decision {
	g.running--
	if ran > 0 {
		g.measure(ran)
	}
	return g.advance(now)
}

// Cancel drops a waiting request whose caller went away. It reports whether the request was waiting.
func (g *Gate) Cancel(id uint64) bool {
	for class, q := range g.waiting {
		for i, r := range q {
			if r.ID == id {
				g.waiting[class] = append(q[:i:i], q[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Expire refuses waiting requests that can no longer be done in time.
func (g *Gate) Expire(now time.Time) []Decision {
	var out []Decision
	for class, q := range g.waiting {
		kept := q[:0:0]
		for _, r := range q {
			if now.Add(g.serviceTime).After(r.Deadline) {
				out = append(out, g.refuse(r, errs.Expired))
				continue
			}
			kept = append(kept, r)
		}
		g.waiting[class] = kept
	}
	return out
}

// advance gives free slots to waiting requests, the important class first.
func (g *Gate) advance(now time.Time) []Decision {
	out := g.Expire(now)
	for class := classes - 1; class >= 0; class-- {
		for g.running < g.slots && len(g.waiting[class]) > 0 {
			r := g.waiting[class][0]
			g.waiting[class] = g.waiting[class][1:]
			g.running++
			out = append(out, Decision{ID: r.ID, Run: true})
		}
	}
	return out
}

// displace removes the newest waiting request of a lower class.
func (g *Gate) displace(class state.Class) (Request, bool) {
	for lower := range int(class) {
		q := g.waiting[lower]
		if len(q) > 0 {
			last := q[len(q)-1]
			g.waiting[lower] = q[:len(q)-1]
			return last, true
		}
	}
	return Request{}, false
}

// expectedWait is how long a new request of a class waits for a slot.
func (g *Gate) expectedWait(class state.Class) time.Duration {
	ahead := 1
	for c := int(class); c < classes; c++ {
		ahead += len(g.waiting[c])
	}
	return g.serviceTime * time.Duration(ahead) / time.Duration(max(1, g.slots))
}

func (g *Gate) lateKind(now time.Time, r Request) errs.Kind {
	if now.Add(g.serviceTime).After(r.Deadline) {
		return errs.Expired
	}
	return errs.Overloaded
}

// refuse states when to come back: when the work that is here now will be done.
func (g *Gate) refuse(r Request, kind errs.Kind) Decision {
	backlog := g.serviceTime * time.Duration(g.running+g.Queued()) / time.Duration(max(1, g.slots))
	return Decision{
		ID:         r.ID,
		Refused:    true,
		Kind:       kind,
		RetryAfter: min(maxRetryAfter, max(minRetryAfter, backlog)),
	}
}

func (g *Gate) measure(ran time.Duration) {
	if g.serviceTime == 0 {
		g.serviceTime = ran
		return
	}
	g.serviceTime += time.Duration(smoothing * float64(ran-g.serviceTime))
}
