// Package group runs the goroutines of a process, which stop together. Every goroutine of the project is
// started here.
//
// A long-running function (Go) runs until the context of its group ends; the first one that fails ends the
// context of all. A task (Task) is short work, such as one request. Wait waits for both.
package group

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"monsoonstep/core/errs"
)

// Group is a set of goroutines that share a context.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	pool   *ants.Pool
	wait   sync.WaitGroup

	mu sync.Mutex
	// failure is the first error of a long-running function; it never changes once set.
	failure error
}

// unboundedPool is the size that ants defines for a pool without a limit.
const unboundedPool = -1

// New returns a group whose context is derived from parent.
func New(parent context.Context) (*Group, error) {
	pool, err := ants.NewPool(unboundedPool)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't create the goroutine pool")
	}
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{ctx: ctx, cancel: cancel, pool: pool}, nil
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a long-running function. If it returns an error or panics before the group is stopped, that stops the
// group. The name identifies the function in the error.
func (g *Group) Go(name string, run func(context.Context) error) {
	g.Task(func() {
		err := recoverPanic(name, func() error { return run(g.ctx) })
		if err != nil && g.ctx.Err() == nil {
			g.fail(errs.Wrap(err, errs.KindOf(err), "%s failed", name))
		}
	})
}

// Task starts a short task. It does not run if it is submitted after Wait has returned.
func (g *Group) Task(task func()) {
	g.wait.Add(1)
	err := g.pool.Submit(func() {
		defer g.wait.Done()
		task()
	})
	if err != nil {
		g.wait.Done()
	}
}

// Stop ends the context of the group.
func (g *Group) Stop() { g.cancel(context.Canceled) }

// Wait waits for all goroutines, releases the pool and returns the first failure.
func (g *Group) Wait() error {
	g.wait.Wait()
	g.cancel(context.Canceled)
	g.pool.Release()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}

// fail records the first failure and ends the context with it.
func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.failure == nil {
		g.failure = err
	}
	g.mu.Unlock()
	g.cancel(err)
}

// recoverPanic calls run and converts a panic into an error with the stack trace.
func recoverPanic(name string, run func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errs.New(errs.Internal, "%s panicked: %v\n%s", name, fmt.Sprint(r), debug.Stack())
		}
	}()
	return run()
}

// Sleep waits for a duration and reports whether it elapsed before the context ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
