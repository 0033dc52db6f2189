// Package dedup makes a request with an idempotency key run at most once, however often and over
// whichever instance its caller sends it.
//
// A key has one owner among the processes of its service (Owners). The owner keeps the key's record
// (Keeper): the first request with the key runs, the others join it or are given its outcome. What
// can't be known is reported as unknown; it never leads to a second run.
package dedup

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Key is an idempotency key: a UUID of version 7, which carries the time at which it was made.
type Key struct {
	ID   uuid.UUID
	Time state.Millis
}

// ParseKey reads a key from its text.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, errs.Wrap(err, errs.BadInput, "Idempotency-Key %q is not a UUID", text)
	}
	if id.Version() != 7 {
		return Key{}, errs.New(errs.BadInput, "Idempotency-Key %q is not a UUID of version 7", text)
	}
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return Key{ID: id, Time: state.Millis(millis)}, nil
}

// Status is the state of a key's request.
type Status uint8

// The states.
const (
	// Running requests have been started and have no outcome yet.
	Running Status = iota
	// Answered requests have a whole answer.
	Answered
	// Unknown requests may have run.
	Unknown
)

// Response is a kept answer. Its owner does not change it.
type Response struct {
	Code    int
	Headers []Header
	Body    []byte
}

// Header is one header field of a kept answer.
type Header struct {
	Name   string
	Values []string
}

// Record is what the owner knows of a key.
type Record struct {
	Key Key
	// Fingerprint is a hash of the request, so that a key that is used for another request is noticed.
	Fingerprint uint64
	Status      Status
	Response    Response
	KeptUntil   state.Millis
}

// Decision is what is to be done with a request that carries a key.
type Decision uint8

// The results of Keeper.Begin.
const (
	// Run means that this is the first request with the key.
	Run Decision = iota
	// Join means that the request is running; its outcome is to be waited for.
	Join
	// Replay means that the answer is known.
	Replay
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Mismatch means that the key belongs to another request.
	Mismatch
)

const (
	recordBaseBytes = 256
	aheadLimit      = 5 * time.Second
)

// Store holds the records of the keys that one process owns. It is not safe for use by several
// goroutines.
type Store struct {
	keep     time.Duration
	maxBytes int

	// records holds the element of order for each key.
	records map[uuid.UUID]*list.Element
	// order holds *Record, the oldest first.
	order *list.List
	// bytes estimates the memory of all records; it is at most maxBytes once Finish has returned,
	// unless only running requests are left.
	bytes int
	// forgotten is the latest time of a key whose record was dropped early. Keys up to it that are not
	// in records may have run.
	forgotten state.Millis
}

// New returns a keeper that keeps outcomes for a time, within a number of bytes.
func New(keep time.Duration, maxBytes int) *Store {
	return &Store{keep: keep, maxBytes: maxBytes, records: make(map[uuid.UUID]*list.Element), order: list.New()}
}

// CheckTime refuses a key whose time lies ahead of the clock.
func CheckTime(now time.Time, key Key) error {
	if key.Time > state.Millis(now.Add(aheadLimit).UnixMilli()) {
		return errs.New(errs.BadInput, "Idempotency-Key was made %d ms in the future; the caller's clock is wrong",
			int64(key.Time)-now.UnixMilli())
	}
	return nil
}

// Begin decides on a request and, if it is to run, notes that it is running.
func (k *Store) Begin(now time.Time, key Key, fingerprint uint64) (Decision, Record) {
	k.expire(now)
	if e, ok := k.records[key.ID]; ok {
		r := e.Value.(*Record)
		switch {
		case r.Fingerprint != fingerprint:
			return Mismatch, *r
		case r.Status == Running:
			return Join, *r
		case r.Status == Answered:
			return Replay, *r
		default:
			return OutcomeUnknown, *r
		}
	}
	oldest := state.Millis(now.Add(-k.keep).UnixMilli())
	if key.Time <= k.forgotten || key.Time <= oldest {
		return OutcomeUnknown, Record{Key: key}
	}
	r := &Record{Key: key, Fingerprint: fingerprint, Status: Running, KeptUntil: k.keptUntil(now, key)}
	k.insert(r)
	return Run, *r
}

// MarkAnswered notes the whole answer of a running request. An answer that is too large for the keeper
// is noted as unknown.
func (k *Store) MarkAnswered(now time.Time, key Key, answer Response) {
	k.finish(now, key, func(r *Record) {
		r.Status = Answered
		r.Response = answer
		if recordBytes(r) > k.maxBytes/4 {
			r.Status = Unknown
			r.Response = Response{}
		}
	})
}

// MarkUnknown notes that a running request may have run.
func (k *Store) MarkUnknown(now time.Time, key Key) {
	k.finish(now, key, func(r *Record) { r.Status = Unknown })
}

// MarkNotRun drops the record of a request that certainly did not run, so that its next try may.
func (k *Store) MarkNotRun(key Key) {
	if e, ok := k.records[key.ID]; ok {
		k.remove(e)
	}
}

// Import takes over a record from a process that is leaving. A running one becomes unknown.
func (k *Store) Import(now time.Time, r Record) bool {
	if _, ok := k.records[r.Key.ID]; ok || r.KeptUntil <= state.Millis(now.UnixMilli()) {
		return false
	}
	if r.Status == Running {
		r.Status = Unknown
	}
	k.insert(&r)
	k.shrink()
	return true
}

// Records returns all records, the oldest first.
func (k *Store) Records() []Record {
	all := make([]Record, 0, k.order.Len())
	for e := k.order.Front(); e != nil; e = e.Next() {
		all = append(all, *e.Value.(*Record))
	}
	return all
}

// Len returns the number of records.
func (k *Store) Len() int { return len(k.records) }

// Bytes returns the estimated memory of all records.
func (k *Store) Bytes() int { return k.bytes }

// keptUntil is late enough that a key which has expired here is refused for its age.
func (k *Store) keptUntil(now time.Time, key Key) state.Millis {
	return max(key.Time, state.Millis(now.UnixMilli())) + state.Millis(k.keep.Milliseconds())
}

func (k *Store) finish(now time.Time, key Key, change func(*Record)) {
	e, ok := k.records[key.ID]
	if !ok {
		return
	}
	r := e.Value.(*Record)
	k.bytes -= recordBytes(r)
	change(r)
	r.KeptUntil = k.keptUntil(now, key)
	k.bytes += recordBytes(r)
	k.order.MoveToBack(e)
	k.shrink()
}

func (k *Store) insert(r *Record) {
	k.records[r.Key.ID] = k.order.PushBack(r)
	k.bytes += recordBytes(r)
}

func (k *Store) remove(e *list.Element) {
	r := e.Value.(*Record)
	k.bytes -= recordBytes(r)
	delete(k.records, r.Key.ID)
	k.order.Remove(e)
}

func (k *Store) expire(now time.Time) {
	for e := k.order.Front(); e != nil; {
		next := e.Next()
		r := e.Value.(*Record)
		if r.Status != Running {
			if r.KeptUntil > state.Millis(now.UnixMilli()) {
				return
			}
			k.remove(e)
		}
		e = next
	}
}

// shrink drops the oldest finished records until the memory is within its bound.
func (k *Store) shrink() {
	for e := k.order.Front(); e != nil && k.bytes > k.maxBytes; {
		next := e.Next()
		if r := e.Value.(*Record); r.Status != Running {
			k.forgotten = max(k.forgotten, r.Key.Time)
			k.remove(e)
		}
		e = next
	}
}

func recordBytes(r *Record) int {
	n := recordBaseBytes + len(r.Response.Body)
	for _, h := range r.Response.Headers {
		n += len(h.Name)
		for _, v := range h.Values {
			n += len(v)
		}
	}
	return n
}
