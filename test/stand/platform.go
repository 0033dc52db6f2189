package main

import (
	"bytes"
	"context"
	"flag"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"monsoonstep/core/proto/etcdpb"
	"monsoonstep/io/group"
)

// platform is a stand-in for the platform's key-value service. It keeps every revision in memory.
type platform struct {
	etcdpb.UnimplementedKVServer

	mu       sync.Mutex
	revision int64
	history  map[string][]*etcdpb.KeyValue
	// Injected faults: calls fail while down is set, are delayed by delay, and the responses of the next
	// responsesToLose successful transactions are lost after the transaction was applied.
	down            bool
	delay           time.Duration
	responsesToLose int
	// calls counts the calls by method, including failed ones.
	calls map[string]int
}

// runPlatform serves the key-value service. On the control address, faults are injected with
// /set?down=true&delay=2s&lose=1 and the numbers of calls are read from /calls.
func runPlatform(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := flags.String("address", "", "address of the service")
	control := flags.String("control", "", "address of the control server")
	if err := flags.Parse(args); err != nil {
		return err
	}
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	p := &platform{history: make(map[string][]*etcdpb.KeyValue), calls: make(map[string]int), revision: 1}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	server := grpc.NewServer()
	etcdpb.RegisterKVServer(server, p)
	g.Go("platform", func(ctx context.Context) error {
		defer context.AfterFunc(ctx, server.Stop)()
		return server.Serve(listener)
	})
	mux := http.NewServeMux()
	mux.HandleFunc("/set", p.setFaults)
	mux.HandleFunc("/calls", func(w http.ResponseWriter, _ *http.Request) { p.writeCalls(w) })
	startHTTPServer(g, *control, mux)
	<-g.Context().Done()
	_ = g.Wait()
	return nil
}

// setFaults handles /set.
func (p *platform) setFaults(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := r.URL.Query()
	if q.Has("down") {
		p.down = q.Get("down") == "true"
	}
	if q.Has("delay") {
		p.delay, _ = time.ParseDuration(q.Get("delay"))
	}
	if q.Has("lose") {
		p.responsesToLose, _ = strconv.Atoi(q.Get("lose"))
	}
	w.WriteHeader(http.StatusOK)
}

// writeCalls handles /calls.
func (p *platform) writeCalls(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.calls)
}

// applyFaults counts a call, delays it, and returns an error during an injected outage.
func (p *platform) applyFaults(ctx context.Context, name string) error {
	p.mu.Lock()
	down, delay := p.down, p.delay
	p.calls[name]++
	p.mu.Unlock()
	if down {
		return status.Error(codes.Unavailable, "outage")
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *platform) header() *etcdpb.ResponseHeader {
	return &etcdpb.ResponseHeader{Revision: p.revision}
}

// versionAt returns a key's value at a revision, the latest value if the revision is 0, or nil if there is none.
func (p *platform) versionAt(key string, revision int64) *etcdpb.KeyValue {
	versions := p.history[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if revision == 0 || versions[i].GetModRevision() <= revision {
			return versions[i]
		}
	}
	return nil
}

// Range implements etcdpb.KVServer.
func (p *platform) Range(ctx context.Context, r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	if err := p.applyFaults(ctx, "range"); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := &etcdpb.RangeResponse{Header: p.header()}
	for key := range p.history {
		if !inRange([]byte(key), r.GetKey(), r.GetRangeEnd()) {
			continue
		}
		kv := p.versionAt(key, r.GetRevision())
		if kv != nil && kv.GetModRevision() >= r.GetMinModRevision() {
			out.Kvs = append(out.Kvs, kv)
		}
	}
	slices.SortFunc(out.Kvs, func(a, b *etcdpb.KeyValue) int { return bytes.Compare(a.GetKey(), b.GetKey()) })
	out.Count = int64(len(out.GetKvs()))
	if limit := int(r.GetLimit()); limit > 0 && len(out.GetKvs()) > limit {
		out.Kvs, out.More = out.GetKvs()[:limit], true
	}
	return out, nil
}

// Txn implements etcdpb.KVServer for comparisons of the modification revision and for put operations only.
func (p *platform) Txn(ctx context.Context, r *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	if err := p.applyFaults(ctx, "txn"); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	succeeded := true
	for _, c := range r.GetCompare() {
		if p.versionAt(string(c.GetKey()), 0).GetModRevision() != c.GetModRevision() {
			succeeded = false
		}
	}
	ops := r.GetFailure()
	if succeeded {
		ops = r.GetSuccess()
	}
	if len(ops) > 0 {
		p.revision++
	}
	for _, op := range ops {
		put := op.GetRequestPut()
		key := string(put.GetKey())
		p.history[key] = append(p.history[key], &etcdpb.KeyValue{Key: put.GetKey(), Value: put.GetValue(), ModRevision: p.revision})
	}
	if succeeded && p.responsesToLose > 0 {
		p.responsesToLose--
		return nil, status.Error(codes.Unavailable, "response lost (injected fault)")
	}
	return &etcdpb.TxnResponse{Header: p.header(), Succeeded: succeeded}, nil
}

// inRange reports whether a key is in [start, end), or equals start if end is empty.
func inRange(key, start, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, start)
	}
	return bytes.Compare(key, start) >= 0 && bytes.Compare(key, end) < 0
}

// startHTTPServer serves handler on address in the group g until its context ends.
func startHTTPServer(g *group.Group, address string, handler http.Handler) {
	server := &http.Server{Addr: strings.TrimSpace(address), Handler: handler, ReadHeaderTimeout: time.Second}
	g.Go("control", func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		return server.ListenAndServe()
	})
}
