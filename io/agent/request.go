package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/coord/picks"
	"monsoonstep/core/coord/retry"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// The header fields that callers and agents exchange.
const (
	// HeaderOutcome is the outcome of a request: answered, not-run or unknown.
	HeaderOutcome = "Monsoonstep-Outcome"
	// HeaderErrorKind is the kind of error in the response to a request that failed.
	HeaderErrorKind = "Monsoonstep-Error"
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Monsoonstep-Timeout-Millis"
	// HeaderClass lowers a request's class below that of its service.
	HeaderClass = "Monsoonstep-Class"
	// HeaderTry is how often the caller has sent the request with the same idempotency key, from 1. It does not
	// count the attempts that agents make at targets.
	HeaderTry = "Monsoonstep-Try"
	// HeaderIdempotencyKey is the idempotency key, a UUID of version 7.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// streamType is the media type of server-sent events. A GET request that accepts it opens a stream.
const streamType = "text/event-stream"

// request is a caller's request, with its whole body.
type request struct {
	service state.Entry
	method  string
	path    string
	headers http.Header
	body    []byte
	// deadline is zero for a stream.
	deadline time.Time
	class    state.Class
	// stream is true for a stream of events: it occupies no slot and has no deadline.
	stream bool
	// key is the idempotency key; it is valid if atMostOnce is true.
	key        dedup.Key
	atMostOnce bool
	// firstTry is true if the caller says that it has not sent the key before.
	firstTry bool
}

// idempotent reports whether the request's method is idempotent (RFC 9110, section 9.2.2).
func (r *request) idempotent() bool {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// fingerprint returns a hash of the method, path and body, by which the use of one idempotency key for two
// different requests is detected.
func (r *request) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.method)
	_, _ = h.WriteString("\n" + r.path + "\n")
	_, _ = h.Write(r.body)
	return h.Sum64()
}

// remaining returns the time until the deadline, or an hour for a stream, which has none.
func (r *request) remaining(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return time.Hour
	}
	return r.deadline.Sub(now)
}

// context returns a context that ends at the deadline if there is one.
func (r *request) context(parent context.Context) (context.Context, context.CancelFunc) {
	if r.deadline.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, r.deadline)
}

// sink receives a response: its head once, then its body in chunks. An error ends the attempt.
type sink struct {
	head  func(status int, headers http.Header) error
	chunk func([]byte) error
}

// result is the result of an attempt or of a whole request.
type result struct {
	outcome retry.Outcome
	// headSent is true once the head was passed to the sink.
	headSent bool
	// err is nil if the response is complete. If err is set and headSent is true, the response was truncated.
	err error
	// retryAfter is how long the caller should wait before it retries; zero means the default of the error's kind.
	retryAfter time.Duration
	status     int
	// unreached is true if the agent that was to run the attempt could not be reached.
	unreached bool
	// load is the target's load report; it is valid if hasLoad is true.
	load    picks.Load
	hasLoad bool
}

func notRunResult(err error) result { return result{outcome: retry.NotRun, err: err} }

func unknownResult(err error) result { return result{outcome: retry.Unknown, err: err} }

// callerError returns the error to send to the caller. An error whose kind says that the request did not run is
// replaced if the outcome is unknown.
func (r result) callerError() error {
	if r.err == nil || r.headSent {
		return r.err
	}
	claimsNotRun := errs.KindOf(r.err).Response().NotRun
	if r.outcome == retry.Unknown && claimsNotRun {
		return errs.Wrap(r.err, errs.OutcomeUnknown, "the request may have run")
	}
	return r.err
}

// hopByHopHeaders are the header fields that apply to one connection and are not forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers without hop-by-hop fields and without this system's own fields.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, "Monsoonstep-") {
			out.Del(name)
		}
	}
	return out
}

func newAttemptID() []byte {
	id := uuid.New()
	return id[:]
}
