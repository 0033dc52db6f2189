// Package admin serves the admin pages of a process over HTTP, for operators and health probes:
//
//	/metrics  counters and gauges in the Prometheus text format
//	/state    the state of the process as JSON
//	/healthz  200 while the process runs
//	/readyz   200 while the process accepts new work, 503 with the reason otherwise
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

// Pages holds what a process shows on its admin pages.
type Pages struct {
	Metrics *metrics.Set
	// State returns the state of the process, which is encoded as JSON.
	State func() any
	// Ready returns why the process accepts no new work, or nil if it does.
	Ready func() error
}

// Serve listens on an address and serves the pages in the background until the group stops.
func Serve(g *group.Group, address netip.AddrPort, p Pages) error {
	return ServeHandler(g, "admin server", address, p.handler())
}

// ServeHandler listens on an address and serves a handler in the background until the group stops. The name
// identifies the server in errors.
func ServeHandler(g *group.Group, name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errs.Wrap(err, errs.BadSettings, "can't listen on address %s for the %s", address, name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	g.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return errs.Wrap(err, errs.Internal, "%s can't accept connections", name)
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
