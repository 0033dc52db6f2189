package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"monsoonstep/io/group"

	"monsoonstep/core/coord/retry"
	"monsoonstep/core/errs"
	"monsoonstep/io/conf"
)

const (
	dialTimeout        = time.Second
	healthCheckTimeout = 2 * time.Second
	copyBufferSize     = 16 << 10
	// maxFailedChecks is the number of consecutive failed health checks after which a serving target is no longer
	// ready.
	maxFailedChecks   = 3
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// target is the agent's own target, beside which it runs: the HTTP client for it, its admission control and its
// health.
type target struct {
	settings conf.Target
	gate     *gate
	client   *http.Client
	// observeQueueWait is called with the time that each admitted request waited for a slot.
	observeQueueWait func(time.Duration)
	// failedChecks is the number of consecutive health checks that failed.
	failedChecks atomic.Int32
	// hasChecked is true once a health check was made.
	hasChecked atomic.Bool
	// streams is the number of open streams.
	streams atomic.Int64
}

// newTarget returns a target. Each request has a connection of its own, because net/http retries a request by
// itself if a reused connection turns out to be closed, and the request may have run by then.
func newTarget(settings conf.Target, slots, queue int) *target {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &target{
		settings:         settings,
		observeQueueWait: func(time.Duration) {},
		gate:             newGate(slots, queue),
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:        dialer.DialContext,
				DisableKeepAlives:  true,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// run makes one attempt at the target. A stream occupies no slot and is not queued.
func (t *target) run(ctx context.Context, r *request, to sink) result {
	if r.stream {
		t.streams.Add(1)
		defer t.streams.Add(-1)
		return t.roundTrip(ctx, r, to)
	}
	offered := time.Now()
	retryAfter, err := t.gate.acquire(ctx, r.class, r.deadline)
	if err != nil {
		refused := notRunResult(err)
		refused.retryAfter = retryAfter
		return refused
	}
	started := time.Now()
	t.observeQueueWait(started.Sub(offered))
	res := t.roundTrip(ctx, r, to)
	ran := time.Duration(0)
	if res.outcome == retry.Answered && res.err == nil && res.status < http.StatusInternalServerError {
		ran = time.Since(started)
	}
	t.gate.release(ran)
	return res
}

// roundTrip sends the request and passes the response to the sink. Once a connection is established, a failure
// means that the request may have run.
func (t *target) roundTrip(ctx context.Context, r *request, to sink) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	url := "http://" + t.settings.Address.String() + r.path
	outgoing, err := http.NewRequestWithContext(traced, r.method, url, bytes.NewReader(r.body))
	if err != nil {
		return notRunResult(errs.Wrap(err, errs.BadInput, "the request's method or path is not valid"))
	}
	outgoing.Header = r.headers
	response, err := t.client.Do(outgoing)
	if err != nil {
		if connected.Load() {
			return unknownResult(errs.Wrap(err, errs.OutcomeUnknown, "the target did not respond"))
		}
		return notRunResult(errs.Wrap(err, errs.NoTarget, "the target can't be reached"))
	}
	defer func() { _ = response.Body.Close() }()
	if err := to.head(response.StatusCode, endToEndHeaders(response.Header)); err != nil {
		return result{outcome: retry.Answered, headSent: true, err: err, status: response.StatusCode}
	}
	err = t.copyBody(response, r, to, cancel)
	return result{outcome: retry.Answered, headSent: true, err: err, status: response.StatusCode}
}

// copyBody passes the body to the sink. A body whose truncation could not be detected counts as truncated.
func (t *target) copyBody(response *http.Response, r *request, to sink, cancel context.CancelCauseFunc) error {
	if endsOnClose(response, r) {
		return errs.New(errs.OutcomeUnknown, "the target's response has neither a content length nor chunked encoding, so truncation can't be detected")
	}
	var stallTimer *time.Timer
	if r.stream && t.settings.StreamStall > 0 {
		stallTimer = time.AfterFunc(t.settings.StreamStall, func() {
			cancel(errs.New(errs.OutcomeUnknown, "the target's stream sent no data for %v", t.settings.StreamStall))
		})
		defer stallTimer.Stop()
	}
	buf := make([]byte, copyBufferSize)
	for {
		n, err := response.Body.Read(buf)
		if stallTimer != nil {
			stallTimer.Reset(t.settings.StreamStall)
		}
		if n > 0 {
			if err := to.chunk(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errs.Wrap(err, errs.OutcomeUnknown, "the target's response ended early")
		}
	}
}

// endsOnClose reports whether only the end of the connection marks the end of the response's body.
func endsOnClose(response *http.Response, r *request) bool {
	if r.method == http.MethodHead || response.ContentLength >= 0 {
		return false
	}
	return len(response.TransferEncoding) == 0
}

// watchHealth checks the target's health periodically until the context ends. It also refuses the queued
// requests that can no longer be completed in time.
func (t *target) watchHealth(ctx context.Context) error {
	for {
		if t.checkHealth(ctx) {
			t.failedChecks.Store(0)
		} else {
			t.failedChecks.Add(1)
		}
		t.hasChecked.Store(true)
		t.gate.expireQueued()
		if !group.Sleep(ctx, t.settings.CheckPeriod) {
			return nil
		}
	}
}

// ready reports whether the target may serve according to its health checks. A serving target remains ready until
// maxFailedChecks checks in a row have failed, because a health check may be slow or wrong, and the results of
// attempts carry more weight.
func (t *target) ready(serving bool) bool {
	failedChecks := t.failedChecks.Load()
	if serving {
		return failedChecks < maxFailedChecks
	}
	return t.hasChecked.Load() && failedChecks == 0
}

func (t *target) checkHealth(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	url := "http://" + t.settings.Address.String() + t.settings.HealthPath
	check, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := t.client.Do(check)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
