package agent

import (
	"context"
	"sync"
	"time"

	"monsoonstep/core/coord/admit"
	"monsoonstep/core/coord/picks"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// gate queues requests until an admit.Gate has decided on them. It is safe for concurrent use.
type gate struct {
	mu     sync.Mutex
	gate   *admit.Gate
	nextID uint64
	// waiters holds the channel of each request that has no decision yet.
	waiters map[uint64]chan admit.Decision
}

func newGate(slots, queue int) *gate {
	return &gate{gate: admit.New(slots, queue), waiters: make(map[uint64]chan admit.Decision)}
}

// acquire waits for a slot. If it returns nil, the request may run, and release must be called after it. If the
// request is refused, the duration is how long the caller should wait before it retries; zero means the
// default of the error's kind.
func (g *gate) acquire(ctx context.Context, class state.Class, deadline time.Time) (time.Duration, error) {
	id, decided := g.offer(class, deadline)
	select {
	case d := <-decided:
		return admissionError(d)
	case <-ctx.Done():
		return g.cancel(id, decided)
	}
}

// release frees the slot of a request that ran for the given time; zero if it did not run to completion.
func (g *gate) release(ran time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.Done(time.Now(), ran))
}

// expireQueued refuses the queued requests that can no longer be completed before their deadline.
func (g *gate) expireQueued() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.Expire(time.Now()))
}

// refuseQueued refuses all queued requests, so that their agents send them to other targets.
func (g *gate) refuseQueued() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.RefuseQueued(errs.Draining))
}

func (g *gate) resize(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.Resize(time.Now(), slots, queue))
}

func (g *gate) load() picks.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return picks.Load{
		Running:     g.gate.Running(),
		Queued:      g.gate.Queued(),
		ServiceTime: g.gate.ServiceTime(),
	}
}

// offer submits a request to the gate. The decision is sent on the returned channel when it is made.
func (g *gate) offer(class state.Class, deadline time.Time) (uint64, chan admit.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	id := g.nextID
	decided := make(chan admit.Decision, 1)
	g.waiters[id] = decided
	g.deliver(g.gate.Offer(time.Now(), admit.Request{ID: id, Class: class, Deadline: deadline}))
	return id, decided
}

// cancel removes a request from the queue. If it was given a slot meanwhile, the slot is freed.
func (g *gate) cancel(id uint64, decided chan admit.Decision) (time.Duration, error) {
	g.mu.Lock()
	g.gate.Cancel(id)
	delete(g.waiters, id)
	g.mu.Unlock()
	select {
	case d := <-decided:
		if d.Run {
			g.release(0)
		}
	default:
	}
	return 0, errs.New(errs.Expired, "the request was cancelled or reached its deadline before it had a slot")
}

// deliver sends decisions to the requests that wait for them. It must be called with the lock held.
func (g *gate) deliver(decisions []admit.Decision) {
	for _, d := range decisions {
		if decided, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			decided <- d
		}
	}
}

// admissionError returns nil for an admitted request, and otherwise the error and the time after which the
// caller may retry.
func admissionError(d admit.Decision) (time.Duration, error) {
	if d.Run {
		return 0, nil
	}
	if d.Kind == errs.Draining {
		return d.RetryAfter, errs.New(d.Kind, "the target gets no new requests: its data centre is evacuated")
	}
	return d.RetryAfter, errs.New(d.Kind, "the target is too busy to run the request in time")
}
