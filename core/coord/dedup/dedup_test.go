package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/coord/dedup"
	"monsoonstep/core/state"
)

const settleWindow = 10 * time.Second

var owners = dedup.Owners{SettleWindow: settleWindow}

func keyAt(t state.Millis, n int) dedup.Key {
	var id uuid.UUID
	for i := range 6 {
		id[i] = byte(t >> (8 * (5 - i)))
	}
	id[6] = 0x70
	id[15], id[14] = byte(n), byte(n>>8)
	return dedup.Key{ID: id, Time: t}
}

// event is a membership change: a process starts to serve or, if gone is set, dies. Each node learns of it within
// settleWindow.
type event struct {
	at   state.Millis
	id   state.InstanceID
	gone bool
	// learntAt is when each node learns of the change.
	learntAt [3]state.Millis
}

func drawEvents(t *rapid.T) []event {
	var events []event
	at := state.Millis(1000)
	for i := range rapid.IntRange(1, 10).Draw(t, "events") {
		at += state.Millis(rapid.IntRange(0, 30000).Draw(t, "gap"))
		e := event{at: at, id: state.InstanceID(fmt.Sprintf("agent-%02d", i))}
		if i > 0 && rapid.Bool().Draw(t, "gone") {
			e.id, e.gone = events[rapid.IntRange(0, i-1).Draw(t, "which")].id, true
		}
		for n := range e.learntAt {
			e.learntAt[n] = at + state.Millis(rapid.IntRange(0, int(settleWindow.Milliseconds())-1).Draw(t, "lag"))
		}
		events = append(events, e)
	}
	return events
}

// candidatesAt returns the candidates as a node knows them at a time.
func candidatesAt(events []event, node int, now state.Millis) []dedup.Candidate {
	byID := map[state.InstanceID]*dedup.Candidate{}
	var out []dedup.Candidate
	for _, e := range events {
		if e.learntAt[node] > now {
			continue
		}
		if !e.gone {
			byID[e.id] = &dedup.Candidate{ID: e.id, Present: true, Since: e.at}
			continue
		}
		if c, ok := byID[e.id]; ok && c.Present {
			c.Present, c.DownSince = false, e.learntAt[node]
		}
	}
	for _, c := range byID {
		out = append(out, *c)
	}
	return out
}

// Two processes that both own a key could each run its request. Whichever nodes look up the owner, at whatever times
// and with membership changes in between, they must not find two different ones.
func TestKeyHasAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t)
		key := keyAt(state.Millis(rapid.IntRange(1000, 400000).Draw(t, "made")), rapid.IntRange(0, 60000).Draw(t, "key"))
		owner := state.InstanceID("")
		for range rapid.IntRange(2, 6).Draw(t, "tries") {
			now := key.Time + state.Millis(rapid.IntRange(0, 100000).Draw(t, "later"))
			node := rapid.IntRange(0, 2).Draw(t, "node")
			got, finding := owners.Find(key, candidatesAt(events, node, now))
			if finding != dedup.Owned {
				continue
			}
			if owner != "" && got != owner {
				t.Fatalf("key made at %d is owned by %s and by %s", key.Time, owner, got)
			}
			owner = got
		}
	})
}

func TestKeysMadeWhileTheirOwnerWasAbsentAreLost(t *testing.T) {
	is := is.New(t)
	c := []dedup.Candidate{{ID: "a", Present: true, Since: 1000, AbsentFrom: 50000, AbsentTo: 60000}}
	settleMillis := state.Millis(settleWindow.Milliseconds())
	for _, at := range []state.Millis{50000, 55000, 60000, 60000 + settleMillis - 1} {
		_, finding := owners.Find(keyAt(at, 1), c)
		is.Equal(finding, dedup.Lost)
	}
	for _, at := range []state.Millis{1000 + settleMillis, 49999, 60000 + settleMillis} {
		_, finding := owners.Find(keyAt(at, 1), c)
		is.Equal(finding, dedup.Owned)
	}
	_, finding := owners.Find(keyAt(1000, 1), c)
	is.Equal(finding, dedup.Settling)
}

func TestMinorityOfAPartitionOwnsNoKeys(t *testing.T) {
	is := is.New(t)
	c := []dedup.Candidate{{ID: "a", Present: true, Since: 1}, {ID: "b", Since: 1, DownSince: 2}, {ID: "c", Since: 1, DownSince: 2}}
	_, finding := owners.Find(keyAt(100000, 1), c)
	is.Equal(finding, dedup.Minority)
	c[1].Left = true // an operator declared it gone
	c = append(c[:2:2], dedup.Candidate{ID: "d", Present: true, Since: 1})
	_, finding = owners.Find(keyAt(100000, 1), c)
	is.Equal(finding, dedup.Owned)
}

// The store lets a key run at most once, whatever the order of requests, outcomes and pauses, and even if records are
// evicted because memory is short.
func TestStoreRunsEachKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		s := dedup.New(time.Minute, rapid.IntRange(600, 5000).Draw(t, "memory"))
		var keys []dedup.Key
		ran := map[uuid.UUID]int{}
		running := map[uuid.UUID]dedup.Key{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
			if len(keys) == 0 || rapid.Bool().Draw(t, "new") {
				keys = append(keys, keyAt(state.Millis(now.UnixMilli()-int64(rapid.IntRange(-5000, 70000).Draw(t, "age"))), i))
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			if _, ok := running[key.ID]; ok && rapid.Bool().Draw(t, "finish") {
				delete(running, key.ID)
				switch rapid.IntRange(0, 2).Draw(t, "outcome") {
				case 0:
					s.MarkAnswered(now, key, dedup.Response{Code: 200, Body: make([]byte, rapid.IntRange(0, 2000).Draw(t, "body"))})
				case 1:
					s.MarkUnknown(now, key)
				default:
					s.MarkNotRun(key)
					ran[key.ID]--
				}
				continue
			}
			if decision, _ := s.Begin(now, key, 1); decision == dedup.Run {
				running[key.ID] = key
				ran[key.ID]++
				if ran[key.ID] > 1 {
					t.Fatalf("key %v ran twice", key)
				}
			}
		}
	})
}

func TestStoreReplaysResponsesAndDetectsReusedKeys(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	s := dedup.New(time.Minute, 1<<20)
	key := keyAt(1_000_000, 1)
	decision, _ := s.Begin(now, key, 7)
	is.Equal(decision, dedup.Run)
	decision, _ = s.Begin(now, key, 7)
	is.Equal(decision, dedup.Join)
	s.MarkAnswered(now, key, dedup.Response{Code: 201, Body: []byte("x")})
	decision, r := s.Begin(now, key, 7)
	is.Equal(decision, dedup.Replay)
	is.Equal(r.Response.Code, 201)
	decision, _ = s.Begin(now, key, 8)
	is.Equal(decision, dedup.Mismatch)
	decision, _ = s.Begin(now.Add(2*time.Minute), key, 7)
	is.Equal(decision, dedup.OutcomeUnknown) // the record has expired
	other := dedup.New(time.Minute, 1<<20)
	is.True(other.Import(now, r))
	decision, _ = other.Begin(now, key, 7)
	is.Equal(decision, dedup.Replay) // the record was handed over
}

// An agent that leaves hands records over to one whose own records expire later. They must not stay until those do.
func TestImportedRecordsExpireInTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := dedup.New(time.Minute, 1<<20)
	own := keyAt(state.Millis(now.UnixMilli()), 1)
	s.Begin(now, own, 1)
	s.MarkUnknown(now, own)
	imported := dedup.Record{Key: keyAt(own.Time-30_000, 2), Status: dedup.Unknown, KeptUntil: own.Time + 30_000}
	is.True(s.Import(now, imported))
	s.Begin(now.Add(40*time.Second), keyAt(own.Time+40_000, 3), 1)
	is.Equal(s.Len(), 2) // the own record and the new one
}
