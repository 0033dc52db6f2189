package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"monsoonstep/io/group"
)

// relay is a TCP proxy that injects faults: it can drop all data of the open connections without closing
// them, close them, refuse new ones, or delay data.
type relay struct {
	group *group.Group
	to    string

	mu       sync.Mutex
	conns    map[net.Conn]bool
	silenced map[net.Conn]bool
	refuse   bool
	delay    time.Duration
}

// runRelay relays connections until ctx ends. Faults are injected on the control address: /silence drops
// all further data of the open connections, while new ones work; /cut closes the open connections;
// /set?refuse=true closes new connections at once; /set?delay=50ms delays data.
func runRelay(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("relay", flag.ContinueOnError)
	address := flags.String("address", "", "address to listen on")
	to := flags.String("to", "", "address to relay to")
	control := flags.String("control", "", "address of the control server")
	if err := flags.Parse(args); err != nil {
		return err
	}
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	r := &relay{group: g, to: *to, conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool)}
	g.Go("accept", func(ctx context.Context) error { return r.accept(ctx, listener) })
	mux := http.NewServeMux()
	mux.HandleFunc("/silence", func(http.ResponseWriter, *http.Request) { r.forEachConn(func(c net.Conn) { r.silenced[c] = true }) })
	mux.HandleFunc("/cut", func(http.ResponseWriter, *http.Request) { r.forEachConn(func(c net.Conn) { _ = c.Close() }) })
	mux.HandleFunc("/set", func(_ http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if q.URL.Query().Has("refuse") {
			r.refuse = q.URL.Query().Get("refuse") == "true"
		}
		if q.URL.Query().Has("delay") {
			r.delay, _ = time.ParseDuration(q.URL.Query().Get("delay"))
		}
	})
	startHTTPServer(g, *control, mux)
	<-g.Context().Done()
	r.forEachConn(func(c net.Conn) { _ = c.Close() })
	_ = g.Wait()
	return nil
}

func (r *relay) forEachConn(do func(net.Conn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		do(c)
	}
}

func (r *relay) accept(ctx context.Context, listener net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	for {
		clientConn, err := listener.Accept()
		if err != nil {
			return nil
		}
		r.mu.Lock()
		refuse := r.refuse
		r.mu.Unlock()
		serverConn, err := net.Dial("tcp", r.to)
		if err != nil || refuse {
			_ = clientConn.Close()
			continue
		}
		r.mu.Lock()
		r.conns[clientConn], r.conns[serverConn] = true, true
		r.mu.Unlock()
		r.group.Task(func() { r.copy(clientConn, serverConn) })
		r.group.Task(func() { r.copy(serverConn, clientConn) })
	}
}

// copy relays one direction of a connection. A silenced connection is still read, but neither its data nor its end is passed
// on, so that the other side does not notice the fault.
func (r *relay) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		silenced, delay := r.silenced[from], r.delay
		r.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !silenced {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if silenced && err == io.EOF {
				return
			}
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	delete(r.conns, from)
	delete(r.conns, to)
	r.mu.Unlock()
}
