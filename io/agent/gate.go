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

// gate lets requests wait for the decisions of an admit.Gate.
type gate struct {
	mu     sync.Mutex
	gate   *admit.Gate
	nextID uint64
	// waiters holds a channel for each request that is waiting, and no other.
	waiters map[uint64]chan admit.Decision
}

func newGate(slots, queue int) *gate {
	return &gate{gate: admit.New(slots, queue), waiters: make(map[uint64]chan admit.Decision)}
}

// enter waits for a slot. It returns nil when the request may run; leave must follow.
func (g *gate) enter(ctx context.Context, class state.Class, deadline time.Time) (time.Duration, error) {
	id, decided := g.offer(class, deadline)
	select {
	case v := <-decided:
		return verdictError(v)
	case <-ctx.Done():
		return g.abandon(id, decided)
	}
}

// leave frees a slot after a request that ran for the given time.
func (g *gate) leave(ran time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.Done(time.Now(), ran))
}

// expire refuses the waiting requests whose time is up.
func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.Expire(time.Now()))
}

func (g *gate) resize(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Resize(slots, queue)
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

// abandon gives up waiting. If a slot was granted meanwhile, it is freed.
func (g *gate) abandon(id uint64, decided chan admit.Decision) (time.Duration, error) {
	g.mu.Lock()
	g.gate.Cancel(id)
	delete(g.waiters, id)
	g.mu.Unlock()
	select {
	case v := <-decided:
		if v.Run {
			g.leave(0)
		}
	default:
	}
	return 0, errs.New(errs.Expired, "the caller stopped waiting for a slot")
}

// deliver hands verdicts to their waiters. The lock is held.
func (g *gate) deliver(verdicts []admit.Decision) {
	for _, v := range verdicts {
		if decided, ok := g.waiters[v.ID]; ok {
			delete(g.waiters, v.ID)
			decided <- v
		}
	}
}

func verdictError(v admit.Decision) (time.Duration, error) {
	if v.Run {
		return 0, nil
	}
	return v.RetryAfter, errs.New(v.Kind, "the target has no room for the request in time")
}
