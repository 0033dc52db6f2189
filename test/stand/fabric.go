package main

import (
	"context"
	"encoding/json"
	"flag"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonstep/io/group"
)

// fabric is a stand-in for the network fabric: it forwards each packet of a service to a random ready
// balancer. A real fabric preserves the caller's address. This one opens a socket for each caller: the
// balancers see the socket's address, and packets sent to it are returned to the caller.
type fabric struct {
	group       *group.Group
	serviceConn *net.UDPConn
	client      *http.Client

	mu        sync.Mutex
	balancers []*fabricBalancer
	sockets   map[netip.AddrPort]*net.UDPConn
	// loss, duplicate and reorder are the probabilities that a packet is dropped, sent twice, or delayed
	// by reorderDelay.
	loss      float64
	duplicate float64
	reorder   float64
	// cross is the probability that a packet is also sent to crossTo, the address of another service.
	cross   float64
	crossTo netip.AddrPort
}

// fabricBalancer is a balancer and the result of its latest readiness check.
type fabricBalancer struct {
	address netip.AddrPort
	admin   string
	ready   bool
}

const (
	// readyCheckInterval is also the timeout of a check.
	readyCheckInterval = 200 * time.Millisecond
	reorderDelay       = 5 * time.Millisecond
	maxDatagramBytes   = 2048
)

// runFabric forwards packets until ctx ends. Faults are injected on the control address with
// /set?loss=0.01&duplicate=0.01&reorder=0.01&cross=0.01&crossTo=127.0.0.1:9444.
func runFabric(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("fabric", flag.ContinueOnError)
	address := flags.String("address", "", "address of the service that callers send to")
	control := flags.String("control", "", "address of the control server")
	balancers := flags.String("balancers", "", "comma-separated list of address=adminAddress, one for each balancer")
	if err := flags.Parse(args); err != nil {
		return err
	}
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(*address)
	if err != nil {
		return err
	}
	serviceConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return err
	}
	_ = serviceConn.SetReadBuffer(4 << 20)
	_ = serviceConn.SetWriteBuffer(4 << 20)
	f := &fabric{
		group:       g,
		serviceConn: serviceConn,
		client:      &http.Client{Timeout: readyCheckInterval},
		sockets:     make(map[netip.AddrPort]*net.UDPConn),
	}
	for _, pair := range strings.Split(*balancers, ",") {
		at, admin, _ := strings.Cut(pair, "=")
		f.balancers = append(f.balancers, &fabricBalancer{address: netip.MustParseAddrPort(at), admin: admin})
	}
	for _, b := range f.balancers {
		g.Go("check", func(ctx context.Context) error { return f.checkReady(ctx, b) })
	}
	g.Go("spray", f.forwardPackets)
	mux := http.NewServeMux()
	mux.HandleFunc("/set", f.setFaults)
	startHTTPServer(g, *control, mux)
	<-g.Context().Done()
	_ = g.Wait()
	return nil
}

// setFaults handles /set.
func (f *fabric) setFaults(_ http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if text := r.URL.Query().Get("crossTo"); text != "" {
		f.crossTo, _ = netip.ParseAddrPort(text)
	}
	for name, rate := range map[string]*float64{"loss": &f.loss, "duplicate": &f.duplicate, "reorder": &f.reorder, "cross": &f.cross} {
		if r.URL.Query().Has(name) {
			*rate, _ = strconv.ParseFloat(r.URL.Query().Get(name), 64)
		}
	}
}

// checkReady polls a balancer's /readyz until ctx ends and records whether the balancer is ready.
func (f *fabric) checkReady(ctx context.Context, b *fabricBalancer) error {
	for ctx.Err() == nil {
		response, err := f.client.Get("http://" + b.admin + "/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		f.mu.Lock()
		b.ready = ready
		f.mu.Unlock()
		select {
		case <-time.After(readyCheckInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// forwardPackets reads the packets of callers and forwards them to balancers.
func (f *fabric) forwardPackets(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = f.serviceConn.Close() })()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, caller, err := f.serviceConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		conn, err := f.callerSocket(caller)
		if err != nil {
			return err
		}
		f.sendToOtherService(buf[:n], conn)
		f.deliverWithFaults(buf[:n], func(p []byte) {
			if to, ok := f.randomReadyBalancer(); ok {
				_, _ = conn.WriteToUDPAddrPort(p, to)
			}
		})
	}
}

// sendToOtherService sends a copy of the packet to crossTo with probability cross.
func (f *fabric) sendToOtherService(p []byte, conn *net.UDPConn) {
	f.mu.Lock()
	cross, to := f.cross, f.crossTo
	f.mu.Unlock()
	if rand.Float64() < cross {
		_, _ = conn.WriteToUDPAddrPort(p, to)
	}
}

// deliverWithFaults sends a packet, which may be dropped, duplicated or delayed.
func (f *fabric) deliverWithFaults(p []byte, send func([]byte)) {
	f.mu.Lock()
	loss, duplicate, reorder := f.loss, f.duplicate, f.reorder
	f.mu.Unlock()
	if rand.Float64() < loss {
		return
	}
	if rand.Float64() < duplicate {
		send(p)
	}
	if rand.Float64() < reorder {
		delayed := append([]byte(nil), p...)
		time.AfterFunc(reorderDelay, func() { send(delayed) })
		return
	}
	send(p)
}

func (f *fabric) randomReadyBalancer() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ready []netip.AddrPort
	for _, b := range f.balancers {
		if b.ready {
			ready = append(ready, b.address)
		}
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	return ready[rand.IntN(len(ready))], true
}

// callerSocket returns the socket of a caller. It opens one for a new caller and relays what it receives to the caller.
func (f *fabric) callerSocket(caller netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn, ok := f.sockets[caller]; ok {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	f.sockets[caller] = conn
	f.group.Go("answers", func(ctx context.Context) error {
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		buf := make([]byte, maxDatagramBytes)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				return nil
			}
			f.deliverWithFaults(buf[:n], func(p []byte) { _, _ = f.serviceConn.WriteToUDPAddrPort(p, caller) })
		}
	})
	return conn, nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
