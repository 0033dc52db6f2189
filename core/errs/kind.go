// Package errs defines the closed list of error kinds and the response to each: HTTP status, gRPC code, exit
// code, and whether a caller may be told that its request did not run.
//
// Errors are errorx errors of one type for each kind, so the cause is kept when an error is wrapped:
//
//	err := errs.Wrap(cause, errs.StoreDown, "read of catalogue entry %q failed", name)
//	errs.KindOf(err)            // errs.StoreDown
//	errs.KindOf(err).Response() // {Status: 503, ExitCode: 7, ...}
package errs

import (
	"time"

	"google.golang.org/grpc/codes"
)

// Kind classifies an error. The list is closed: a new kind needs a row in the table of responses.
type Kind uint8

// The kinds of error.
const (
	// Internal is a fault in this program.
	Internal Kind = iota
	// BadSettings is a settings file that failed validation.
	BadSettings
	// BadInput is a malformed argument, catalogue entry or request.
	BadInput
	// NotFound is a name that is not in the catalogue.
	NotFound
	// Conflict is an edit that lost a compare-and-swap race.
	Conflict
	// Overloaded is a request refused before it ran, because all slots are in use and the queue is full.
	Overloaded
	// Draining is a request refused before it ran, because the instance accepts no new work.
	Draining
	// NoTarget is a request refused before it ran, because no target is eligible.
	NoTarget
	// Expired is a request refused before it ran, because too little time is left until its deadline.
	Expired
	// OutcomeUnknown is a request that may have run.
	OutcomeUnknown
	// StoreDown means that the platform's key-value service does not respond.
	StoreDown
	// Forged is a packet or a call that failed authentication.
	Forged
	// TooLarge is a request body or a record that exceeds its size limit.
	TooLarge
	// OwnerUnavailable is a request with an idempotency key whose owner can't be reached or is not known; an
	// earlier attempt may have run.
	OwnerUnavailable
	// KeyUnusable is a first attempt with an idempotency key whose owner is down: it did not run, and a new
	// key will be assigned an owner.
	KeyUnusable
	// Misdirected is a request for another service, which reached this one through a fault of the network.
	Misdirected
	kindCount
)

// Response is how errors of a kind are reported to a caller, to another process and on the command line.
type Response struct {
	// Name is the kind's name in logs, metrics and replies.
	Name string
	// Status is the HTTP status sent to a caller.
	Status int
	// NotRun is true only if the request certainly did not run.
	NotRun bool
	// RetryAfter is how long the caller should wait before a retry; zero means that a retry is of no use.
	RetryAfter time.Duration
	// Code is the gRPC code sent to another process.
	Code codes.Code
	// ExitCode is the exit code of the command line.
	ExitCode int
}

const (
	shortRetryDelay = time.Second
	longRetryDelay  = 5 * time.Second
)

var responses = [kindCount]Response{
	Internal:         {"internal", 500, false, 0, codes.Internal, 1},
	BadSettings:      {"badSettings", 500, true, 0, codes.FailedPrecondition, 2},
	BadInput:         {"badInput", 400, true, 0, codes.InvalidArgument, 3},
	NotFound:         {"notFound", 404, true, 0, codes.NotFound, 4},
	Conflict:         {"conflict", 409, true, 0, codes.Aborted, 5},
	Overloaded:       {"overloaded", 503, true, shortRetryDelay, codes.ResourceExhausted, 6},
	Draining:         {"draining", 503, true, shortRetryDelay, codes.Unavailable, 6},
	NoTarget:         {"noTarget", 503, true, longRetryDelay, codes.Unavailable, 6},
	Expired:          {"expired", 504, true, shortRetryDelay, codes.DeadlineExceeded, 6},
	OutcomeUnknown:   {"outcomeUnknown", 502, false, 0, codes.Unknown, 8},
	StoreDown:        {"storeDown", 503, true, longRetryDelay, codes.Unavailable, 7},
	Forged:           {"forged", 403, true, 0, codes.PermissionDenied, 9},
	TooLarge:         {"tooLarge", 413, true, 0, codes.OutOfRange, 3},
	OwnerUnavailable: {"ownerAway", 503, false, shortRetryDelay, codes.Unavailable, 8},
	KeyUnusable:      {"keyUnusable", 503, true, shortRetryDelay, codes.Unavailable, 6},
	Misdirected:      {"misdirected", 421, true, shortRetryDelay, codes.Unavailable, 6},
}

// Response returns the kind's row in the table of responses; that of Internal for an unknown kind.
func (k Kind) Response() Response {
	if k >= kindCount {
		return responses[Internal]
	}
	return responses[k]
}

// String returns the kind's name, for example "overloaded".
func (k Kind) String() string { return k.Response().Name }

// Kinds returns every kind, in the order of the table.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}
