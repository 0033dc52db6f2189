package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"monsoonstep/core/coord/picks"
	"monsoonstep/core/coord/retry"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/ctrl"
)

// dispatcher runs requests on the best target of the service, this agent's own or another's, and
// tries again where the rules allow it.
type dispatcher struct {
	view   func() *ctrl.View
	self   func() state.InstanceID
	target *target
	remote *remote
	// serving reports whether this agent's own target takes work.
	serving func() bool
	count   *requestCounts
	choose  chooser

	mu sync.Mutex
	// requests and streams are kept apart: the load of a target is told in requests.
	requests *picks.Picker
	streams  *picks.Picker
	// budgets are kept for each class, so that refusals of normal requests do not use up the retries of
	// important ones.
	budgets [state.ClassImportant + 1]*retry.Budget
}

func newDispatcher(view func() *ctrl.View, self func() state.InstanceID, t *target, r *remote, serving func() bool,
	count *requestCounts, choose chooser,
) *dispatcher {
	return &dispatcher{
		view:     view,
		self:     self,
		target:   t,
		remote:   r,
		serving:  serving,
		count:    count,
		choose:   choose,
		requests: picks.New(rand.Uint64()),
		streams:  picks.New(rand.Uint64()),
		budgets:  [state.ClassImportant + 1]*retry.Budget{retry.New(0), retry.New(0)},
	}
}

// place is where an attempt can go.
type place struct {
	id state.InstanceID
	// at is the peer address; it is invalid for this agent's own target.
	at netip.AddrPort
}

// run makes attempts until one is answered or the rules allow no other. The sink sees one head at most.
func (d *dispatcher) run(ctx context.Context, r *request, to sink) result {
	ctx, cancel := r.context(ctx)
	defer cancel()
	var last result
	tried := make(map[state.InstanceID]bool)
	for attempts := 1; ; attempts++ {
		p, ok := d.pick(r, tried)
		if !ok {
			if last.err == nil {
				return notRun(errs.New(errs.NoTarget, "no target of service %q takes work", r.service.Service))
			}
			return last
		}
		tried[p.id] = true
		last = d.attempt(ctx, r, p, to)
		if ctx.Err() != nil && last.err != nil {
			return last
		}
		if leaving(last) {
			// A target that is leaving did no work on the request, so the attempt does not count.
			attempts--
			continue
		}
		if d.next(last, r, attempts) == retry.Finish {
			return last
		}
		d.count.retries.Inc()
	}
}

// leaving reports whether an attempt was refused because the target is leaving or was not reached.
func leaving(done result) bool {
	if done.outcome != retry.NotRun {
		return false
	}
	return done.unreached || errs.KindOf(done.err) == errs.Draining
}

// pick chooses a target that was not tried yet, in this region if there is one: another region is farther
// than a short queue. A stream stays with this agent's own target if it can,
// so that it crosses one agent only.
func (d *dispatcher) pick(r *request, tried map[state.InstanceID]bool) (place, bool) {
	v := d.view()
	self := d.self()
	now := time.Now()
	places := make(map[state.InstanceID]place)
	var near, far []picks.Candidate
	for _, m := range v.Agents(r.service.Service) {
		own := m.ID == self
		if tried[m.ID] || own && !d.serving() || !own && (!m.AcceptsWork() || v.Drained[m.ID.Name()]) {
			continue
		}
		p := place{id: m.ID, at: m.Peer}
		if own {
			p.at = netip.AddrPort{}
			if r.stream {
				return p, true
			}
		}
		places[m.ID] = p
		age := now.Sub(time.UnixMilli(int64(m.Since)))
		candidate := picks.Candidate{ID: m.ID, Slots: m.Slots, Age: age}
		if m.Region == v.Self.Region {
			near = append(near, candidate)
			continue
		}
		far = append(far, candidate)
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.choose(d.picker(r), now, candidates)
	if ok {
		d.picker(r).AttemptStarted(id)
	}
	return places[id], ok
}

func (d *dispatcher) picker(r *request) *picks.Picker {
	if r.stream {
		return d.streams
	}
	return d.requests
}

func (d *dispatcher) attempt(ctx context.Context, r *request, p place, to sink) result {
	started := time.Now()
	var done result
	if p.at.IsValid() {
		done = d.remote.run(ctx, p.at, r, false, to)
	} else {
		done = d.target.run(ctx, r, to)
		done.load, done.loaded = d.target.gate.load(), true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.picker(r).AttemptFinished(now, p.id, verdict(ctx, done), now.Sub(started))
	if done.loaded {
		d.requests.HandleLoadReport(now, p.id, done.load)
	}
	return done
}

// verdict tells what an attempt says of its target.
func verdict(ctx context.Context, done result) picks.Result {
	switch {
	case done.err != nil && errors.Is(ctx.Err(), context.Canceled):
		return picks.Abandoned
	case done.outcome == retry.NotRun && errs.KindOf(done.err) != errs.NoTarget:
		return picks.Refused
	case done.outcome == retry.Answered && done.err == nil && done.status < http.StatusInternalServerError:
		return picks.Succeeded
	default:
		return picks.Failed
	}
}

// next applies the rules of package retry. An answer that began can't be tried again.
func (d *dispatcher) next(done result, r *request, attempts int) retry.Step {
	if done.began {
		d.mu.Lock()
		defer d.mu.Unlock()
		if done.err == nil {
			d.budgets[r.class].RecordSuccess()
		}
		return retry.Finish
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	budget := d.budgets[r.class]
	budget.SetRatio(r.service.Limits.RetryBudget)
	return budget.NextStep(done.outcome, retry.Request{
		Idempotent: r.idempotent(),
		Attempts:   attempts,
		Remaining:  r.remaining(time.Now()),
	})
}

// forget drops what is known of targets that are gone.
func (d *dispatcher) forget(v *ctrl.View, service state.ServiceName) {
	var candidates []picks.Candidate
	for _, m := range v.Agents(service) {
		candidates = append(candidates, picks.Candidate{ID: m.ID})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests.RetainOnly(candidates)
	d.streams.RetainOnly(candidates)
}
