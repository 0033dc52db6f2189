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

// dispatcher runs requests on the best target of the service, which is this agent's own or that of another
// agent, and retries them as package retry allows.
type dispatcher struct {
	view       func() *ctrl.View
	self       func() state.InstanceID
	target     *target
	peerClient *peerClient
	// acceptsWork reports whether new requests may be sent to this agent's own target.
	acceptsWork func() bool
	stats       *requestMetrics
	choose      chooser

	mu sync.Mutex
	// requests and streams have separate pickers, because load reports count requests only.
	requests *picks.Picker
	streams  *picks.Picker
	// budgets holds one retry budget per class, so that retries of normal requests do not use up the budget of
	// important ones.
	budgets [state.ClassImportant + 1]*retry.Budget
}

func newDispatcher(view func() *ctrl.View, self func() state.InstanceID, t *target, client *peerClient, acceptsWork func() bool,
	stats *requestMetrics, choose chooser,
) *dispatcher {
	return &dispatcher{
		view:        view,
		self:        self,
		target:      t,
		peerClient:  client,
		acceptsWork: acceptsWork,
		stats:       stats,
		choose:      choose,
		requests:    picks.New(rand.Uint64()),
		streams:     picks.New(rand.Uint64()),
		budgets:     [state.ClassImportant + 1]*retry.Budget{retry.New(0), retry.New(0)},
	}
}

// destination is a target to which an attempt may be sent.
type destination struct {
	id state.InstanceID
	// peerAddr is the peer address of the target's agent; it is the zero value for this agent's own target.
	peerAddr netip.AddrPort
}

// run makes attempts until one is answered or the rules of package retry allow no other. At most one response
// head is written to the sink.
func (d *dispatcher) run(ctx context.Context, r *request, to sink) result {
	ctx, cancel := r.context(ctx)
	defer cancel()
	var last result
	tried := make(map[state.InstanceID]bool)
	for attempts := 1; ; attempts++ {
		dest, ok := d.pickDestination(r, tried)
		if !ok {
			if last.err == nil {
				return notRunResult(noTargetError(d.view(), r.service.Service))
			}
			return last
		}
		tried[dest.id] = true
		last = d.runAttempt(ctx, r, dest, to)
		if ctx.Err() != nil && last.err != nil {
			return last
		}
		if drainingOrUnreached(last) {
			// A target that is draining or unreachable did no work on the request, so the attempt does not count.
			attempts--
			continue
		}
		if d.nextStep(last, r, attempts) == retry.Finish {
			return last
		}
		d.stats.retries.Inc()
	}
}

// noTargetError returns the error for a request for which there is no target.
func noTargetError(v *ctrl.View, service state.ServiceName) error {
	if v.AllEvacuated(service) {
		return errs.New(errs.NoTarget, "all data centres with targets of service %q are evacuated", service)
	}
	return errs.New(errs.NoTarget, "no target of service %q accepts requests", service)
}

// drainingOrUnreached reports whether an attempt did not run because the target is draining or its agent was
// not reached.
func drainingOrUnreached(res result) bool {
	if res.outcome != retry.NotRun {
		return false
	}
	return res.unreached || errs.KindOf(res.err) == errs.Draining
}

// pickDestination chooses a target that was not tried yet, in this region if there is one, because the round
// trip to another region takes longer than a short queue. A stream is sent to this agent's own target if
// possible, so that it passes through one agent only.
func (d *dispatcher) pickDestination(r *request, tried map[state.InstanceID]bool) (destination, bool) {
	v := d.view()
	self := d.self()
	now := time.Now()
	destinations := make(map[state.InstanceID]destination)
	var sameRegion, otherRegions []picks.Candidate
	for _, m := range v.Agents(r.service.Service) {
		own := m.ID == self
		if tried[m.ID] || own && !d.acceptsWork() || !own && !v.AcceptsWork(m) {
			continue
		}
		dest := destination{id: m.ID, peerAddr: m.Peer}
		if own {
			dest.peerAddr = netip.AddrPort{}
			if r.stream {
				return dest, true
			}
		}
		destinations[m.ID] = dest
		age := now.Sub(time.UnixMilli(int64(m.Since)))
		candidate := picks.Candidate{ID: m.ID, Slots: m.Slots, Age: age}
		if m.Region == v.Self.Region {
			sameRegion = append(sameRegion, candidate)
			continue
		}
		otherRegions = append(otherRegions, candidate)
	}
	candidates := sameRegion
	if len(sameRegion) == 0 {
		candidates = otherRegions
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id, ok := d.choose(d.picker(r), now, candidates)
	if ok {
		d.picker(r).AttemptStarted(id)
	}
	return destinations[id], ok
}

func (d *dispatcher) picker(r *request) *picks.Picker {
	if r.stream {
		return d.streams
	}
	return d.requests
}

func (d *dispatcher) runAttempt(ctx context.Context, r *request, dest destination, to sink) result {
	started := time.Now()
	var res result
	if dest.peerAddr.IsValid() {
		res = d.peerClient.run(ctx, dest.peerAddr, r, false, to)
	} else {
		res = d.target.run(ctx, r, to)
		res.load, res.hasLoad = d.target.gate.load(), true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.picker(r).AttemptFinished(now, dest.id, classifyResult(ctx, res), now.Sub(started))
	if res.hasLoad {
		d.requests.HandleLoadReport(now, dest.id, res.load)
	}
	return res
}

// classifyResult returns what the result of an attempt says about its target.
func classifyResult(ctx context.Context, res result) picks.Result {
	switch {
	case res.err != nil && errors.Is(ctx.Err(), context.Canceled):
		return picks.Abandoned
	case res.outcome == retry.NotRun && errs.KindOf(res.err) != errs.NoTarget:
		return picks.Refused
	case res.outcome == retry.Answered && res.err == nil && res.status < http.StatusInternalServerError:
		return picks.Succeeded
	default:
		return picks.Failed
	}
}

// nextStep applies the rules of package retry. A request can't be retried once the head of a response was
// sent to the caller.
func (d *dispatcher) nextStep(res result, r *request, attempts int) retry.Step {
	if res.headSent {
		d.mu.Lock()
		defer d.mu.Unlock()
		if res.err == nil {
			d.budgets[r.class].RecordSuccess()
		}
		return retry.Finish
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	budget := d.budgets[r.class]
	budget.SetRatio(r.service.Limits.RetryBudget)
	return budget.NextStep(res.outcome, retry.Request{
		Idempotent: r.idempotent(),
		Attempts:   attempts,
		Remaining:  r.remaining(time.Now()),
	})
}

// retainTargets drops the pickers' state of targets that are no longer in the view.
func (d *dispatcher) retainTargets(v *ctrl.View, service state.ServiceName) {
	var candidates []picks.Candidate
	for _, m := range v.Agents(service) {
		candidates = append(candidates, picks.Candidate{ID: m.ID})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests.RetainOnly(candidates)
	d.streams.RetainOnly(candidates)
}
