package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
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

// store is a stand-in for the platform's store, as PROTOCOL.md describes it, without leases.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 100, changed: make(chan struct{})}
}

// put writes a key, as the operator does.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, base64.StdEncoding.EncodeToString(raw))
}

func (s *store) write(key, value string) {
	s.revision++
	i, known := s.items[key]
	if !known {
		i = item{Key: key, CreateRevision: s.revision}
	}
	i.Value, i.Revision = value, s.revision
	s.items[key] = i
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	body, status := s.answer(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) answer(r *http.Request) (any, int) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[query.Get("key")]
		if !ok {
			return map[string]any{}, http.StatusNotFound
		}
		return map[string]any{
			"key": i.Key, "value": i.Value, "revision": i.Revision, "createRevision": i.CreateRevision, "lease": 0, "currentRev": s.revision,
		}, http.StatusOK
	case "/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		return map[string]any{"items": s.since(query.Get("prefix"), 0), "morePages": false, "currentRev": s.revision}, http.StatusOK
	case "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		return s.wait(query.Get("prefix"), after, time.Duration(wait)*time.Millisecond), http.StatusOK
	case "/kv-txn":
		return s.transact(r)
	}
	return map[string]any{}, http.StatusBadRequest
}

// since returns the items with a prefix that have changed after a revision; the caller holds mu.
func (s *store) since(prefix string, after int64) []item {
	found := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, prefix) && i.Revision > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Revision < found[b].Revision })
	return found
}

func (s *store) wait(prefix string, after int64, limit time.Duration) any {
	end := time.After(limit)
	for {
		s.mu.Lock()
		events, current, changed := s.since(prefix, after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return map[string]any{"events": events, "currentRev": current}
		}
		select {
		case <-changed:
		case <-end:
			return map[string]any{"events": events, "currentRev": current}
		}
	}
}

func (s *store) transact(r *http.Request) (any, int) {
	var body struct {
		Expect []item   `json:"expect"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return map[string]any{}, http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range body.Expect {
		if s.items[row.Key].Revision != row.Revision {
			return map[string]any{"items": []item{s.items[row.Key]}}, http.StatusPreconditionFailed
		}
	}
	for _, row := range body.Writes {
		s.write(row.Key, row.Value)
	}
	for _, key := range body.Remove {
		delete(s.items, key)
	}
	return map[string]any{"revision": s.revision}, http.StatusOK
}
