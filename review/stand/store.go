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

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// item is a key of the store, or a change of it.
type item struct {
	Key            string `json:"key"`
	Value          string `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store, without leases, which the node programs don't use.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	// changed is closed and replaced at every change.
	changed chan struct{}
	// onWatch is called at the start of each watch.
	onWatch func(caller string)
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 1, changed: make(chan struct{}), onWatch: func(string) {}}
}

// put writes a value as the operator does; its return is the acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, base64.StdEncoding.EncodeToString(value))
}

// write writes a key under a new revision; the caller must hold mu.
func (s *store) write(key, value string) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	status, answer := s.call(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) call(r *http.Request) (int, any) {
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		return s.get(query.Get("key"))
	case "GET /kv-range":
		return s.list(query.Get("prefix"), query.Get("after"))
	case "GET /kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.onWatch(r.RemoteAddr)
		return s.watch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "POST /kv-txn":
		return s.transact(r)
	default:
		return http.StatusNotFound, struct{}{}
	}
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{i, s.revision}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(x, y int) bool { return found[x].Key < found[y].Key })
	return http.StatusOK, map[string]any{"items": found, "morePages": false, "currentRev": s.revision}
}

// watch waits until something with a prefix has changed after a revision, or the wait is over.
func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	end := time.After(min(wait, 30*time.Second))
	for {
		s.mu.Lock()
		events, current, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "currentRev": current}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": events, "currentRev": current}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, struct{}{}
		}
	}
}

// transact executes a transaction if all expected revisions match.
func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Expect []item   `json:"expect"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range body.Expect {
		if s.items[row.Key].Revision != row.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[row.Key]}}
		}
	}
	for _, row := range body.Writes {
		if strings.HasPrefix(row.Key, "op/") || strings.HasPrefix(row.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		s.write(row.Key, row.Value)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
