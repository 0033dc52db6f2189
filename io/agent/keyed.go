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

// keyed runs requests with an idempotency key at most once.
type keyed struct {
	view   func() *ctrl.View
	self   func() state.InstanceID
	lapsed func() bool
	group  *group.Group
	remote *remote
	owners dedup.Owners
	// execute runs a request that is the first with its key.
	execute func(context.Context, *request, sink) result

	mu     sync.Mutex
	keeper *dedup.Store
	// running holds for each key that runs here the channel that is closed when it has an outcome.
	running map[uuid.UUID]*run
	// closed is true once this process has begun to hand its keys over.
	closed bool
}

// run is a keyed request that is being executed. Its other fields are set before done is closed.
type run struct {
	done   chan struct{}
	result result
	// answer is the whole answer if result.err is nil.
	answer dedup.Response
}

func newKeyed(settings conf.Agent, view func() *ctrl.View, self func() state.InstanceID, lapsed func() bool, g *group.Group, r *remote,
	execute func(context.Context, *request, sink) result,
) *keyed {
	return &keyed{
		view:    view,
		self:    self,
		lapsed:  lapsed,
		group:   g,
		remote:  r,
		owners:  dedup.Owners{SettleWindow: settings.KeySettle},
		execute: execute,
		keeper:  dedup.New(settings.KeyKeep, settings.KeyBytes),
		running: make(map[uuid.UUID]*run),
	}
}

// handle takes a request to its key's owner.
func (k *keyed) handle(ctx context.Context, r *request, to sink) result {
	if err := dedup.CheckTime(time.Now(), r.key); err != nil {
		return notRun(err)
	}
	owner, err := k.find(r)
	if err != nil && r.firstTry {
		// Nobody else has the key, and it goes no further from here.
		return notRun(errs.Wrap(err, errs.KeyUnusable, "the request did not run; send it with a new key"))
	}
	if err != nil {
		return unknown(err)
	}
	if owner == k.self() {
		return k.own(ctx, r, to)
	}
	m, ok := k.view().Agent(r.service.Service, owner)
	if !ok {
		return unknown(errs.New(errs.OwnerUnavailable, "the owner of the key is not known"))
	}
	ctx, cancel := r.context(ctx)
	defer cancel()
	done := k.remote.run(ctx, m.Peer, r, true, to)
	if done.unreached && r.firstTry {
		return notRun(errs.Wrap(done.err, errs.KeyUnusable, "the key's owner was not reached; send the request with a new key"))
	}
	if done.unreached {
		// An earlier try with the key may have run there.
		return unknown(errs.Wrap(done.err, errs.OwnerUnavailable, "the owner of the key can't be reached"))
	}
	return done
}

// own runs, joins or replays a request whose key this process owns. It looks the owner up again by
// its own view, and refuses while that view may be out of date.
func (k *keyed) own(ctx context.Context, r *request, to sink) result {
	if k.lapsed() {
		return unknown(errs.New(errs.OwnerUnavailable, "the owner of the key was paused"))
	}
	owner, err := k.find(r)
	if err != nil {
		return unknown(err)
	}
	if owner != k.self() {
		return unknown(errs.New(errs.OwnerUnavailable, "the key's owner is being found anew"))
	}
	started, begin, record, err := k.begin(r)
	if err != nil {
		return unknown(err)
	}
	switch begin {
	case dedup.Run, dedup.Join:
		return k.wait(ctx, r, started, to)
	case dedup.Replay:
		return replay(record.Response, to)
	case dedup.Mismatch:
		return notRun(errs.New(errs.BadInput, "the idempotency key belongs to another request"))
	default:
		return unknown(errs.New(errs.OutcomeUnknown, "whether the key's request ran is not known"))
	}
}

func (k *keyed) find(r *request) (state.InstanceID, error) {
	owner, finding := k.owners.Find(r.key, k.view().KeyCandidates(r.service.Service))
	switch finding {
	case dedup.Owned:
		return owner, nil
	case dedup.Lost:
		return "", errs.New(errs.OutcomeUnknown, "the owner of the key is gone, so whether the request ran is not known")
	case dedup.Minority:
		return "", errs.New(errs.OwnerUnavailable, "most agents of the service can't be reached, so another may own the key")
	default:
		return "", errs.New(errs.OwnerUnavailable, "no agent has been known for long enough to own the key")
	}
}

func (k *keyed) begin(r *request) (*run, dedup.Decision, dedup.Record, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, dedup.OutcomeUnknown, dedup.Record{}, errs.New(errs.OwnerUnavailable, "the owner of the key is leaving")
	}
	begin, record := k.keeper.Begin(time.Now(), r.key, r.fingerprint())
	switch begin {
	case dedup.Run:
		started := &run{done: make(chan struct{})}
		k.running[r.key.ID] = started
		k.group.Task(func() { k.executeOnce(r, started) })
		return started, begin, record, nil
	case dedup.Join:
		return k.running[r.key.ID], begin, record, nil
	default:
		return nil, begin, record, nil
	}
}

// executeOnce runs a request to its end, also when its caller goes away meanwhile, and keeps the
// whole answer.
func (k *keyed) executeOnce(r *request, started *run) {
	var answer dedup.Response
	ctx, cancel := r.context(context.WithoutCancel(k.group.Context()))
	defer cancel()
	done := k.execute(ctx, r, sink{
		head: func(status int, headers http.Header) error {
			answer.Code = status
			for name, values := range headers {
				answer.Headers = append(answer.Headers, dedup.Header{Name: name, Values: values})
			}
			return nil
		},
		chunk: func(b []byte) error {
			answer.Body = append(answer.Body, b...)
			return nil
		},
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case done.outcome == retry.Answered && done.err == nil:
		k.keeper.MarkAnswered(now, r.key, answer)
	case done.outcome == retry.NotRun:
		k.keeper.MarkNotRun(r.key)
	default:
		k.keeper.MarkUnknown(now, r.key)
		if done.began {
			// The answer was cut before any caller saw it: what is left to tell is that it is unknown.
			done = unknown(errs.Wrap(done.err, errs.OutcomeUnknown, "the answer was cut"))
		}
	}
	started.result = done
	started.answer = answer
	delete(k.running, r.key.ID)
	close(started.done)
}

// wait waits for the outcome of a request that runs here.
func (k *keyed) wait(ctx context.Context, r *request, started *run, to sink) result {
	ctx, cancel := r.context(ctx)
	defer cancel()
	select {
	case <-started.done:
	case <-ctx.Done():
		return unknown(errs.New(errs.OutcomeUnknown, "the request was still running at its deadline"))
	}
	if started.result.err != nil {
		return started.result
	}
	return replay(started.answer, to)
}

// replay hands a kept answer on.
func replay(a dedup.Response, to sink) result {
	headers := make(http.Header, len(a.Headers))
	for _, h := range a.Headers {
		headers[h.Name] = h.Values
	}
	done := result{outcome: retry.Answered, began: true, status: a.Code}
	done.err = to.head(a.Code, headers)
	if done.err == nil && len(a.Body) > 0 {
		done.err = to.chunk(a.Body)
	}
	return done
}

// size returns how many records this process keeps.
func (k *keyed) size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Len()
}
