// Package errs holds the closed list of error kinds and the table from a kind to the answer it
// gives: HTTP status, gRPC code, exit code, and whether "not run" may be claimed.
//
// Errors are errorx errors of one type for each kind, so a cause is kept while it is wrapped:
//
//	err := errs.Wrap(cause, errs.StoreDown, "read of catalogue entry %q failed", name)
//	errs.KindOf(err)          // errs.StoreDown
//	errs.KindOf(err).Answer() // {Status: 503, ExitCode: 7, ...}
package errs

import (
	"time"

	"google.golang.org/grpc/codes"
)

// Kind names what went wrong. The list is closed: a new kind needs a row in the table of answers.
type Kind uint8

// The kinds of error.
const (
	// Internal is a fault of this program.
	Internal Kind = iota
	// BadSettings is a settings file that failed its check.
	BadSettings
	// BadInput is an argument, an entry or a request that is malformed.
	BadInput
	// NotFound is a name that is not in the catalogue.
	NotFound
	// Conflict is an edit that lost a compare-and-swap race.
	Conflict
	// Overloaded is a request refused before it ran, because slots and queue are full.
	Overloaded
	// Draining is a request refused before it ran, because the instance is leaving.
	Draining
	// NoTarget is a request refused before it ran, because no target is eligible.
	NoTarget
	// Expired is a request refused before it ran, because its deadline leaves too little time.
	Expired
	// OutcomeUnknown is a request that may have run.
	OutcomeUnknown
	// StoreDown is the platform's key-value service not answering.
	StoreDown
	// Forged is a packet or a call that failed its authentication.
	Forged
	// TooLarge is a body or a record over its size limit.
	TooLarge
	// OwnerUnavailable is a request with an idempotency key whose owner can't be reached or is not known; an
	// earlier try may have run.
	OwnerUnavailable
	// KeyUnusable is a first try with an idempotency key whose owner is gone: it did not run, and a new
	// key will find an owner.
	KeyUnusable
	// Misdirected is a request that names another service; it reached this one by a fault of the network.
	Misdirected
	kindCount
)

// Response is what a kind of error gives to the one who asked.
type Response struct {
	// Name is the kind's name in logs, metrics and answers.
	Name string
	// Status is the HTTP status towards a caller.
	Status int
	// NotRun is true only if the request certainly did not run.
	NotRun bool
	// RetryAfter is how long the caller should wait; zero means that asking again is of no use.
	RetryAfter time.Duration
	// Code is the gRPC code between processes.
	Code codes.Code
	// ExitCode is the exit code of the command line.
	ExitCode int
}

const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

var answers = [kindCount]Response{
	Internal:         {"internal", 500, false, 0, codes.Internal, 1},
	BadSettings:      {"badSettings", 500, true, 0, codes.FailedPrecondition, 2},
	BadInput:         {"badInput", 400, true, 0, codes.InvalidArgument, 3},
	NotFound:         {"notFound", 404, true, 0, codes.NotFound, 4},
	Conflict:         {"conflict", 409, true, 0, codes.Aborted, 5},
	Overloaded:       {"overloaded", 503, true, retrySoon, codes.ResourceExhausted, 6},
	Draining:         {"draining", 503, true, retrySoon, codes.Unavailable, 6},
	NoTarget:         {"noTarget", 503, true, retryLater, codes.Unavailable, 6},
	Expired:          {"expired", 504, true, retrySoon, codes.DeadlineExceeded, 6},
	OutcomeUnknown:   {"outcomeUnknown", 502, false, 0, codes.Unknown, 8},
	StoreDown:        {"storeDown", 503, true, retryLater, codes.Unavailable, 7},
	Forged:           {"forged", 403, true, 0, codes.PermissionDenied, 9},
	TooLarge:         {"tooLarge", 413, true, 0, codes.OutOfRange, 3},
	OwnerUnavailable: {"ownerAway", 503, false, retrySoon, codes.Unavailable, 8},
	KeyUnusable:      {"keyUnusable", 503, true, retrySoon, codes.Unavailable, 6},
	Misdirected:      {"misdirected", 421, true, retrySoon, codes.Unavailable, 6},
}

// Response returns the kind's row of the table.
func (k Kind) Response() Response {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
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
