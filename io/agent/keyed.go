package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/coord/retry"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/ctrl"
	"monsoonstep/io/group"
)

// atMostOnce runs requests with an idempotency key at most once. A request whose key another agent owns is
// forwarded to that agent.
type atMostOnce struct {
	view func() *ctrl.View
	self func() state.InstanceID
	// pausedTooLong reports whether this process was paused for so long that its view may be out of date.
	pausedTooLong func() bool
	group         *group.Group
	peerClient    *peerClient
	owners        dedup.Owners
	// execute runs the first request with a key.
	execute func(context.Context, *request, sink) result

	mu    sync.Mutex
	store *dedup.Store
	// running holds the executions in progress, by key.
	running map[uuid.UUID]*execution
	// handingOver is true once this process has started to hand its keys over.
	handingOver bool
}

// execution is a request with a key that is in progress. done is closed when it has an outcome; the other
// fields are set before that.
type execution struct {
	done   chan struct{}
	result result
	// response is the whole response if result.err is nil.
	response dedup.Response
}

func newAtMostOnce(settings conf.Agent, view func() *ctrl.View, self func() state.InstanceID, pausedTooLong func() bool, g *group.Group, client *peerClient,
	execute func(context.Context, *request, sink) result,
) *atMostOnce {
	return &atMostOnce{
		view:          view,
		self:          self,
		pausedTooLong: pausedTooLong,
		group:         g,
		peerClient:    client,
		owners:        dedup.Owners{SettleWindow: settings.KeySettle},
		execute:       execute,
		store:         dedup.New(settings.KeyKeep, settings.KeyBytes),
		running:       make(map[uuid.UUID]*execution),
	}
}

// handle runs a request here if this process owns its key, and forwards it to the key's owner if not.
func (k *atMostOnce) handle(ctx context.Context, r *request, to sink) result {
	if err := dedup.CheckTime(time.Now(), r.key); err != nil {
		return notRunResult(err)
	}
	owner, err := k.findOwner(r)
	if err != nil && r.firstTry {
		// No other agent has had the key, and this one does not run the request.
		return notRunResult(errs.Wrap(err, errs.KeyUnusable, "the request did not run; send it with a new key"))
	}
	if err != nil {
		return unknownResult(err)
	}
	if owner == k.self() {
		return k.runAsOwner(ctx, r, to)
	}
	m, ok := k.view().Agent(r.service.Service, owner)
	if !ok {
		return unknownResult(errs.New(errs.OwnerUnavailable, "the owner of the idempotency key is not among the known agents of the service"))
	}
	ctx, cancel := r.context(ctx)
	defer cancel()
	res := k.peerClient.run(ctx, m.Peer, r, true, to)
	if res.unreached && r.firstTry {
		return notRunResult(errs.Wrap(res.err, errs.KeyUnusable, "the owner of the idempotency key could not be reached; send the request with a new key"))
	}
	if res.unreached {
		// An earlier try with the key may have run at the owner.
		return unknownResult(errs.Wrap(res.err, errs.OwnerUnavailable, "the owner of the idempotency key can't be reached"))
	}
	return res
}

// runAsOwner runs a request whose key this process owns, or waits for the outcome of one in progress, or sends
// the stored response. It checks the ownership again by its own view, and refuses the request while that view
// may be out of date because the process was paused.
func (k *atMostOnce) runAsOwner(ctx context.Context, r *request, to sink) result {
	if k.pausedTooLong() {
		return unknownResult(errs.New(errs.OwnerUnavailable, "the owner of the idempotency key was paused for too long, so its view may be out of date"))
	}
	owner, err := k.findOwner(r)
	if err != nil {
		return unknownResult(err)
	}
	if owner != k.self() {
		return unknownResult(errs.New(errs.OwnerUnavailable, "this agent is not the owner of the idempotency key by its own view; views differ while a membership change spreads"))
	}
	exec, decision, record, err := k.begin(r)
	if err != nil {
		return unknownResult(err)
	}
	switch decision {
	case dedup.Run, dedup.Join:
		return k.awaitOutcome(ctx, r, exec, to)
	case dedup.Replay:
		return sendStored(record.Response, to)
	case dedup.Mismatch:
		return notRunResult(errs.New(errs.BadInput, "the idempotency key was already used for a different request"))
	default:
		return unknownResult(errs.New(errs.OutcomeUnknown, "it is not known whether the request with this idempotency key ran"))
	}
}

// findOwner returns the owner of a request's key by this agent's view, or an error that says why there is none.
func (k *atMostOnce) findOwner(r *request) (state.InstanceID, error) {
	owner, finding := k.owners.Find(r.key, k.view().KeyCandidates(r.service.Service))
	switch finding {
	case dedup.Owned:
		return owner, nil
	case dedup.Lost:
		return "", errs.New(errs.OutcomeUnknown, "the owner of the idempotency key is presumed dead, so it is not known whether the request ran")
	case dedup.Minority:
		return "", errs.New(errs.OwnerUnavailable, "most agents of the service are unreachable, so another agent may own the idempotency key")
	default:
		return "", errs.New(errs.OwnerUnavailable, "no agent has been known for long enough to own the idempotency key")
	}
}

// begin decides what to do with a request whose key this process owns, and starts it if it is the first with its
// key. The execution is nil unless the decision is dedup.Run or dedup.Join.
func (k *atMostOnce) begin(r *request) (*execution, dedup.Decision, dedup.Record, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.handingOver {
		return nil, dedup.OutcomeUnknown, dedup.Record{}, errs.New(errs.OwnerUnavailable, "the owner of the idempotency key is leaving the fleet")
	}
	decision, record := k.store.Begin(time.Now(), r.key, r.fingerprint())
	switch decision {
	case dedup.Run:
		exec := &execution{done: make(chan struct{})}
		k.running[r.key.ID] = exec
		k.group.Task(func() { k.executeOnce(r, exec) })
		return exec, decision, record, nil
	case dedup.Join:
		return k.running[r.key.ID], decision, record, nil
	default:
		return nil, decision, record, nil
	}
}

// executeOnce runs a request to its end, even if its caller disconnects, and stores the whole response.
func (k *atMostOnce) executeOnce(r *request, exec *execution) {
	var response dedup.Response
	ctx, cancel := r.context(context.WithoutCancel(k.group.Context()))
	defer cancel()
	res := k.execute(ctx, r, sink{
		head: func(status int, headers http.Header) error {
			response.Code = status
			for name, values := range headers {
				response.Headers = append(response.Headers, dedup.Header{Name: name, Values: values})
			}
			return nil
		},
		chunk: func(b []byte) error {
			response.Body = append(response.Body, b...)
			return nil
		},
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case res.outcome == retry.Answered && res.err == nil:
		k.store.MarkAnswered(now, r.key, response)
	case res.outcome == retry.NotRun:
		k.store.MarkNotRun(r.key)
	default:
		k.store.MarkUnknown(now, r.key)
		if res.headSent {
			// The response was truncated before any part of it was sent to a caller, so an error can still be
			// sent: the outcome is unknown.
			res = unknownResult(errs.Wrap(res.err, errs.OutcomeUnknown, "the target's response was incomplete"))
		}
	}
	exec.result = res
	exec.response = response
	delete(k.running, r.key.ID)
	close(exec.done)
}

// awaitOutcome waits for the outcome of a request in progress and sends its response.
func (k *atMostOnce) awaitOutcome(ctx context.Context, r *request, exec *execution, to sink) result {
	ctx, cancel := r.context(ctx)
	defer cancel()
	select {
	case <-exec.done:
	case <-ctx.Done():
		return unknownResult(errs.New(errs.OutcomeUnknown, "the request was still running at its deadline"))
	}
	if exec.result.err != nil {
		return exec.result
	}
	return sendStored(exec.response, to)
}

// sendStored sends a stored response.
func sendStored(stored dedup.Response, to sink) result {
	headers := make(http.Header, len(stored.Headers))
	for _, h := range stored.Headers {
		headers[h.Name] = h.Values
	}
	res := result{outcome: retry.Answered, headSent: true, status: stored.Code}
	res.err = to.head(stored.Code, headers)
	if res.err == nil && len(stored.Body) > 0 {
		res.err = to.chunk(stored.Body)
	}
	return res
}

// size returns the number of records that this process keeps.
func (k *atMostOnce) size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Len()
}
