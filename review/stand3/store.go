package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key            string `json:"key"`
	Value          string `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision"`
	Lease          int64  `json:"lease"`
}

// store is a stand-in for the platform's metadata store. It serves the calls that the node programs make: reads of a key, watches and
// transactions.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	log      []item
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, changed: make(chan struct{})}
}

// write writes a key, as the operator does.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(key, base64.StdEncoding.EncodeToString(value))
}

// apply writes a key; the caller holds mu.
func (s *store) apply(key, value string) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	case "/kv-txn":
		s.serveTxn(w, r)
	default:
		http.NotFound(w, r)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"currentRev": s.revision})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		Current int64 `json:"currentRev"`
	}{i, s.revision})
}

// serveWatch answers as soon as there is an event, or after waitMs.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := make([]item, 0)
		for _, i := range s.log {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "currentRev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			respond(w, http.StatusOK, map[string]any{"events": events, "currentRev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	} `json:"writes"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			respond(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}, "currentRev": s.revision})
			return
		}
	}
	for _, write := range t.Writes {
		s.apply(write.Key, write.Value)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}
