// Package admit is the admission control at a target's agent: it decides whether a request runs now, waits in a
// short queue, or is refused immediately as not run.
//
// The decision takes deadlines into account: a request that could not be completed in time is refused when it
// arrives, not when its deadline has passed. Requests of the important class run first, and displace a queued
// normal request when the queue is full.
package admit

import (
	"time"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Request is what the gate needs to know about a request.
type Request struct {
	ID    uint64
	Class state.Class
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
}

// Decision is the gate's decision on a request; exactly one of Run and Refused is set. A queued request has no
// decision yet.
type Decision struct {
	ID uint64
	// Run is true if the request runs now.
	Run bool
	// Refused is true if the request will not run.
	Refused bool
	// Kind is why the request was refused.
	Kind errs.Kind
	// RetryAfter is how long the caller of a refused request should wait before it retries.
	RetryAfter time.Duration
}

const (
	// serviceTimeSmoothing is the weight of a new sample in the moving average of service times.
	serviceTimeSmoothing = 0.1
	minRetryAfter        = time.Second
	maxRetryAfter        = 10 * time.Second
	classCount           = int(state.ClassImportant) + 1
)

// Gate controls admission to one target. It is not safe for concurrent use.
type Gate struct {
	slots     int
	maxQueued int
	// running is at most slots, unless slots was lowered while the requests ran.
	running int
	// queues holds the queued requests of each class, the oldest first. Together they are at most maxQueued, unless
	// maxQueued was lowered meanwhile.
	queues [classCount][]Request
	// serviceTime is the smoothed time that a request occupies a slot; zero until one was measured.
	serviceTime time.Duration
}

// New returns a gate that runs at most slots requests and queues at most maxQueued.
func New(slots, maxQueued int) *Gate { return &Gate{slots: slots, maxQueued: maxQueued} }

// Resize changes the limits, and returns the decisions on queued requests that now run or are refused. Requests that are running,
// or queued beyond a lower limit, are not affected.
func (g *Gate) Resize(now time.Time, slots, maxQueued int) []Decision {
	g.slots, g.maxQueued = slots, maxQueued
	return g.startQueued(now)
}

// Running returns the number of requests that occupy a slot.
func (g *Gate) Running() int { return g.running }

// Queued returns the number of requests that wait for a slot.
func (g *Gate) Queued() int {
	n := 0
	for _, q := range g.queues {
		n += len(q)
	}
	return n
}

// ServiceTime returns the smoothed time that a request occupies a slot; zero until one was measured.
func (g *Gate) ServiceTime() time.Duration { return g.serviceTime }

// Offer decides on a new request. It returns a decision on that request unless it was queued, and one on a queued
// request that it displaced.
func (g *Gate) Offer(now time.Time, r Request) []Decision {
	if !now.Before(r.Deadline) {
		return []Decision{g.refuse(r, errs.Expired)}
	}
	// A free slot is always used, also if the deadline seems too near: if the measured service time is too long,
	// only another request that runs can correct it.
	if g.running < g.slots {
		g.running++
		return []Decision{{ID: r.ID, Run: true}}
	}
	if now.Add(g.expectedWait(r.Class) + g.serviceTime).After(r.Deadline) {
		return []Decision{g.refuse(r, g.refusalKind(now, r))}
	}
	if g.Queued() < g.maxQueued {
		g.queues[r.Class] = append(g.queues[r.Class], r)
		return nil
	}
	displaced, ok := g.displace(r.Class)
	if !ok {
		return []Decision{g.refuse(r, errs.Overloaded)}
	}
	g.queues[r.Class] = append(g.queues[r.Class], r)
	return []Decision{g.refuse(displaced, errs.Overloaded)}
}

// Done frees the slot of a request that ran for the given duration, and returns the decisions on queued requests
// that now run or are refused. A duration of zero means that the request did not run to completion; it is left
// out of the service time.
func (g *Gate) Done(now time.Time, duration time.Duration) []Decision {
	g.running--
	if duration > 0 {
		g.recordServiceTime(duration)
	}
	return g.startQueued(now)
}

// Cancel removes a request from the queue because its caller no longer waits for it. It reports whether the request
// was queued.
func (g *Gate) Cancel(id uint64) bool {
	for class, q := range g.queues {
		for i, r := range q {
			if r.ID == id {
				g.queues[class] = append(q[:i:i], q[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Expire refuses queued requests that can no longer be completed before their deadline.
func (g *Gate) Expire(now time.Time) []Decision {
	var out []Decision
	for class, q := range g.queues {
		kept := q[:0:0]
		for _, r := range q {
			if now.Add(g.serviceTime).After(r.Deadline) {
				out = append(out, g.refuse(r, errs.Expired))
				continue
			}
			kept = append(kept, r)
		}
		g.queues[class] = kept
	}
	return out
}

// RefuseQueued refuses all queued requests with an error of a kind.
func (g *Gate) RefuseQueued(kind errs.Kind) []Decision {
	var out []Decision
	for class, q := range g.queues {
		for _, r := range q {
			out = append(out, g.refuse(r, kind))
		}
		g.queues[class] = nil
	}
	return out
}

// startQueued refuses queued requests that have expired and assigns free slots to the others, the important class
// first.
func (g *Gate) startQueued(now time.Time) []Decision {
	out := g.Expire(now)
	for class := classCount - 1; class >= 0; class-- {
		for g.running < g.slots && len(g.queues[class]) > 0 {
			r := g.queues[class][0]
			g.queues[class] = g.queues[class][1:]
			g.running++
			out = append(out, Decision{ID: r.ID, Run: true})
		}
	}
	return out
}

// displace removes the newest queued request of a lower class, if there is one.
func (g *Gate) displace(class state.Class) (Request, bool) {
	for lower := range int(class) {
		q := g.queues[lower]
		if len(q) > 0 {
			last := q[len(q)-1]
			g.queues[lower] = q[:len(q)-1]
			return last, true
		}
	}
	return Request{}, false
}

// expectedWait estimates how long a new request of a class would wait for a slot.
func (g *Gate) expectedWait(class state.Class) time.Duration {
	ahead := 1
	for c := int(class); c < classCount; c++ {
		ahead += len(g.queues[c])
	}
	return g.serviceTime * time.Duration(ahead) / time.Duration(max(1, g.slots))
}

// refusalKind returns why a request that can't be completed in time is refused: Expired if its deadline is too near
// even with a free slot, Overloaded if the expected wait is too long.
func (g *Gate) refusalKind(now time.Time, r Request) errs.Kind {
	if now.Add(g.serviceTime).After(r.Deadline) {
		return errs.Expired
	}
	return errs.Overloaded
}

// refuse returns the decision that a request is refused. RetryAfter is the time in which the running and queued
// requests are expected to be completed, between minRetryAfter and maxRetryAfter.
func (g *Gate) refuse(r Request, kind errs.Kind) Decision {
	backlog := g.serviceTime * time.Duration(g.running+g.Queued()) / time.Duration(max(1, g.slots))
	return Decision{
		ID:         r.ID,
		Refused:    true,
		Kind:       kind,
		RetryAfter: min(maxRetryAfter, max(minRetryAfter, backlog)),
	}
}

func (g *Gate) recordServiceTime(duration time.Duration) {
	if g.serviceTime == 0 {
		g.serviceTime = duration
		return
	}
	g.serviceTime += time.Duration(serviceTimeSmoothing * float64(duration-g.serviceTime))
}
