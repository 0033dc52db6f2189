// Package dedup ensures that a request with an idempotency key runs at most once, no matter how often and through
// which instances its caller sends it.
//
// Each key has one owner among the processes of its service (Owners). The owner keeps the key's record (Store): the
// first request with the key runs; later ones wait for it or receive the same outcome. An outcome that can't be
// determined is reported as unknown and never leads to a second run.
package dedup

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// Key is an idempotency key: a UUID of version 7, which contains the time of its creation.
type Key struct {
	ID uuid.UUID
	// Time is when the caller created the key, by the caller's clock.
	Time state.Millis
}

// ParseKey parses the textual form of a key. The error is of kind BadInput.
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

// The states of a key's request.
const (
	// Running means that the request was started and has no outcome yet.
	Running Status = iota
	// Answered means that the whole response is stored.
	Answered
	// Unknown means that the request may have run, but its response is not known.
	Unknown
)

// Response is a stored HTTP response. It must not be modified.
type Response struct {
	Code    int
	Headers []Header
	Body    []byte
}

// Header is one header field of a stored response.
type Header struct {
	Name   string
	Values []string
}

// Record is what the owner of a key knows about the key's request.
type Record struct {
	Key Key
	// Fingerprint is a hash of the request, to detect a key that is reused for a different request.
	Fingerprint uint64
	Status      Status
	// Response is set if Status is Answered.
	Response Response
	// KeptUntil is when the record expires.
	KeptUntil state.Millis
}

// Decision is how to handle a request that carries a key.
type Decision uint8

// The decisions of Store.Begin.
const (
	// Run means that this is the first request with the key, and that the caller of Begin must run it.
	Run Decision = iota
	// Join means that a request with the key is running, and that its outcome must be waited for.
	Join
	// Replay means that the response is stored and must be sent again.
	Replay
	// OutcomeUnknown means that a request with the key may have run; it must not run again.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request.
	Mismatch
)

const (
	// recordBaseBytes is the estimated memory of a record without its response.
	recordBaseBytes = 256
	// maxClockSkew is how far a key's time may be ahead of this node's clock.
	maxClockSkew = 5 * time.Second
)

// Store holds the records of the keys that one process owns. It is not safe for concurrent use.
type Store struct {
	// retention is how long an outcome is kept.
	retention time.Duration
	maxBytes  int

	// records holds the element of byRecency for each key.
	records map[uuid.UUID]*list.Element
	// byRecency holds values of type *Record, the least recently added or finished first; imported ones by their expiry.
	byRecency *list.List
	// bytes is the estimated memory of all records. After MarkAnswered, MarkUnknown or Import it is at most maxBytes,
	// unless only running requests are left.
	bytes int
	// evictedUpTo is the latest key time among the records that were evicted before they expired. A key with this time
	// or an earlier one that is not in records may have run.
	evictedUpTo state.Millis
}

// New returns a store that keeps each outcome for the retention time, or less if that would take more than maxBytes
// of memory.
func New(retention time.Duration, maxBytes int) *Store {
	return &Store{retention: retention, maxBytes: maxBytes, records: make(map[uuid.UUID]*list.Element), byRecency: list.New()}
}

// CheckTime returns an error of kind BadInput if a key's time is ahead of the clock by more than maxClockSkew.
func CheckTime(now time.Time, key Key) error {
	if key.Time > state.Millis(now.Add(maxClockSkew).UnixMilli()) {
		return errs.New(errs.BadInput, "Idempotency-Key has a time %d ms in the future; the caller's clock is wrong",
			int64(key.Time)-now.UnixMilli())
	}
	return nil
}

// Begin decides how to handle a request and, if the decision is Run, records that the request is running.
func (s *Store) Begin(now time.Time, key Key, fingerprint uint64) (Decision, Record) {
	s.expire(now)
	if e, ok := s.records[key.ID]; ok {
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
	expiredUpTo := state.Millis(now.Add(-s.retention).UnixMilli())
	if key.Time <= s.evictedUpTo || key.Time <= expiredUpTo {
		return OutcomeUnknown, Record{Key: key}
	}
	r := &Record{Key: key, Fingerprint: fingerprint, Status: Running, KeptUntil: s.expiry(now, key)}
	s.insert(r)
	return Run, *r
}

// MarkAnswered stores the whole response of a running request. If a record takes more than a quarter of maxBytes, its
// response is not stored and its status is Unknown.
func (s *Store) MarkAnswered(now time.Time, key Key, response Response) {
	s.finish(now, key, func(r *Record) {
		r.Status = Answered
		r.Response = response
		if recordBytes(r) > s.maxBytes/4 {
			r.Status = Unknown
			r.Response = Response{}
		}
	})
}

// MarkUnknown records that a running request may have run and that its response is not known.
func (s *Store) MarkUnknown(now time.Time, key Key) {
	s.finish(now, key, func(r *Record) { r.Status = Unknown })
}

// MarkNotRun removes the record of a request that certainly did not run, so that a retry may run.
func (s *Store) MarkNotRun(key Key) {
	if e, ok := s.records[key.ID]; ok {
		s.remove(e)
	}
}

// Import adds a record that was handed over by a process that is leaving, and reports whether it did: a record that
// has expired, or whose key has a record already, is not added. The status Running becomes Unknown.
func (s *Store) Import(now time.Time, r Record) bool {
	if _, ok := s.records[r.Key.ID]; ok || r.KeptUntil <= state.Millis(now.UnixMilli()) {
		return false
	}
	if r.Status == Running {
		r.Status = Unknown
	}
	s.insertByExpiry(&r)
	s.evictToLimit()
	return true
}

// Records returns all records, the least recently added or finished first.
func (s *Store) Records() []Record {
	all := make([]Record, 0, s.byRecency.Len())
	for e := s.byRecency.Front(); e != nil; e = e.Next() {
		all = append(all, *e.Value.(*Record))
	}
	return all
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Bytes returns the estimated memory of all records.
func (s *Store) Bytes() int { return s.bytes }

// expiry returns when a record expires: late enough that Begin refuses its key for its age from then on.
func (s *Store) expiry(now time.Time, key Key) state.Millis {
	return max(key.Time, state.Millis(now.UnixMilli())) + state.Millis(s.retention.Milliseconds())
}

// finish applies change to the record of a key, renews its expiry and makes it the most recent one.
func (s *Store) finish(now time.Time, key Key, change func(*Record)) {
	e, ok := s.records[key.ID]
	if !ok {
		return
	}
	r := e.Value.(*Record)
	s.bytes -= recordBytes(r)
	change(r)
	r.KeptUntil = s.expiry(now, key)
	s.bytes += recordBytes(r)
	s.byRecency.MoveToBack(e)
	s.evictToLimit()
}

func (s *Store) insert(r *Record) {
	s.records[r.Key.ID] = s.byRecency.PushBack(r)
	s.bytes += recordBytes(r)
}

// insertByExpiry inserts a record before those that expire later, so that expire finds it.
func (s *Store) insertByExpiry(r *Record) {
	at := s.byRecency.Back()
	for at != nil && at.Value.(*Record).KeptUntil > r.KeptUntil {
		at = at.Prev()
	}
	s.bytes += recordBytes(r)
	if at == nil {
		s.records[r.Key.ID] = s.byRecency.PushFront(r)
		return
	}
	s.records[r.Key.ID] = s.byRecency.InsertAfter(r, at)
}

func (s *Store) remove(e *list.Element) {
	r := e.Value.(*Record)
	s.bytes -= recordBytes(r)
	delete(s.records, r.Key.ID)
	s.byRecency.Remove(e)
}

// expire removes the expired records of requests that are not running.
func (s *Store) expire(now time.Time) {
	for e := s.byRecency.Front(); e != nil; {
		next := e.Next()
		r := e.Value.(*Record)
		if r.Status != Running {
			if r.KeptUntil > state.Millis(now.UnixMilli()) {
				return
			}
			s.remove(e)
		}
		e = next
	}
}

// evictToLimit removes the least recently finished records until at most maxBytes are in use. Records of running
// requests stay.
func (s *Store) evictToLimit() {
	for e := s.byRecency.Front(); e != nil && s.bytes > s.maxBytes; {
		next := e.Next()
		if r := e.Value.(*Record); r.Status != Running {
			s.evictedUpTo = max(s.evictedUpTo, r.Key.Time)
			s.remove(e)
		}
		e = next
	}
}

// recordBytes estimates the memory of a record.
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
