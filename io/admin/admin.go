// Package admin serves each process's page for operators and probes over HTTP:
//
//	/metrics  counters and gauges in the Prometheus text format
//	/state    a dump of the process's state as JSON
//	/healthz  200 while the process runs
//	/readyz   200 while the process takes new work, 503 otherwise
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/errs"
	"monsoonstep/io/group"
)

const headerTimeout = 5 * time.Second

// Pages is what a process shows.
type Pages struct {
	Metrics *metrics.Set
	// State returns the dump; it is encoded as JSON.
	State func() any
	// Ready returns why the process takes no new work, or nil.
	Ready func() error
}

// Serve serves the pages until the group stops.
func Serve(g *group.Group, address netip.AddrPort, p Pages) error {
	return ServeHandler(g, "admin server", address, p.handler())
}

// ServeHandler serves any handler until the group stops.
func ServeHandler(g *group.Group, name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errs.Wrap(err, errs.BadSettings, "address %s of the %s can't be listened on", address, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	g.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errs.Wrap(err, errs.Internal, "%s", name)
		}
		return nil
	})
	return nil
}

func (p Pages) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(p.State())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return mux
}
