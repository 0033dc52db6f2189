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

// The header fields between callers and the system.
const (
	// HeaderOutcome tells what became of a request: answered, not-run or unknown.
	HeaderOutcome = "Monsoonstep-Outcome"
	// HeaderErrorKind tells the kind of error of a request that was not answered.
	HeaderErrorKind = "Monsoonstep-Error"
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout = "Monsoonstep-Timeout-Millis"
	// HeaderClass lowers a request's class below that of its service.
	HeaderClass = "Monsoonstep-Class"
	// HeaderTry numbers the tries with one idempotency key, from 1.
	HeaderTry = "Monsoonstep-Try"
	// HeaderIdempotencyKey is the idempotency key, a UUID of version 7.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// streamType is the media type that a caller accepts when it opens a feed.
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
	// stream is true for a feed: it holds no slot and has no deadline.
	stream bool
	// key is valid if keyed is true.
	key   dedup.Key
	keyed bool
	// firstTry is true if the caller says that it has not sent the key before.
	firstTry bool
}

// idempotent reports whether the method may be repeated (RFC 9110, section 9.2.2).
func (r *request) idempotent() bool {
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

// fingerprint identifies the request that a key belongs to.
func (r *request) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.method)
	_, _ = h.WriteString("\n" + r.path + "\n")
	_, _ = h.Write(r.body)
	return h.Sum64()
}

// remaining is the time until the deadline; a stream's is long.
func (r *request) remaining(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return time.Hour
	}
	return r.deadline.Sub(now)
}

// context returns a context that ends at the deadline.
func (r *request) context(parent context.Context) (context.Context, context.CancelFunc) {
	if r.deadline.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, r.deadline)
}

// sink takes an answer: its head once, then its body in chunks. An error ends the attempt.
type sink struct {
	head  func(status int, headers http.Header) error
	chunk func([]byte) error
}

// result is how an attempt, or a whole request, ended.
type result struct {
	outcome retry.Outcome
	// began is true once the sink has been given the head.
	began bool
	// err is nil if the answer is whole. If began is true too, the answer was cut.
	err error
	// retryAfter replaces that of the error's kind if it is above zero.
	retryAfter time.Duration
	status     int
	// unreached is true if the peer that was to make the attempt could not be reached.
	unreached bool
	load      picks.Load
	loaded    bool
}

func notRun(err error) result { return result{outcome: retry.NotRun, err: err} }

func unknown(err error) result { return result{outcome: retry.Unknown, err: err} }

// final returns the error that a caller is told: its kind agrees with the outcome, so that "not run"
// is claimed only when it is true.
func (r result) final() error {
	if r.err == nil || r.began {
		return r.err
	}
	claimsNotRun := errs.KindOf(r.err).Response().NotRun
	if r.outcome == retry.Unknown && claimsNotRun {
		return errs.Wrap(r.err, errs.OutcomeUnknown, "the request may have run")
	}
	return r.err
}

// hopHeaders belong to one connection and are not handed on (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the headers without those of one connection and of this system.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
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
