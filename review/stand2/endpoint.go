package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"monsoonstep/io/group"
)

const (
	// heartbeatEvery is the time between two heartbeats, heartbeatMs of the small sites.
	heartbeatEvery = 1200 * time.Millisecond
	// coldTime is how long an endpoint is slow after its start.
	coldTime = 2 * time.Second
	// drainTime is how long an endpoint serves after its leaving was acknowledged: drainMs and a little longer.
	drainTime = 3500 * time.Millisecond
	// unackedDrainTime is how long it serves if nobody acknowledges that.
	unackedDrainTime = 8 * time.Second
	slots            = 7
	// maxRetransmissions is how often it sends an answer again.
	maxRetransmissions = 8
)

// endpointFlow is a flow at an endpoint.
type endpointFlow struct {
	// seq is the endpoint's first sequence number; open is set once the client has acknowledged it.
	seq  uint32
	open bool
	// next is the client's next sequence number, sent that of the endpoint.
	next, sent uint32
	// unacked is the last answer, until the client acknowledges it.
	unacked  []byte
	finished bool
}

// endpoint is a stand-in for an endpoint. It runs as a process of its own. SIGUSR1 begins its planned end.
type endpoint struct {
	id, service, ip string
	ports           ports
	// clockAhead is how far the time of day was ahead when the endpoint started.
	clockAhead time.Duration
	// work is how long it works on a request.
	work    time.Duration
	started time.Time
	conn    *net.UDPConn
	g       *group.Group
	client  *http.Client
	busy    chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*endpointFlow
	draining bool
	ackedAt  time.Time
	beats    int
	nextSeq  uint32
}

// say writes a line for the runner.
func (e *endpoint) say(format string, args ...any) {
	fmt.Printf("%d endpoint %s %s\n", time.Now().UnixMicro(), e.id, fmt.Sprintf(format, args...))
}

// runEndpoint runs an endpoint until it has ended as planned or is killed.
func runEndpoint(args []string) error {
	var e endpoint
	var base, serial int
	set := flag.NewFlagSet("endpoint", flag.ContinueOnError)
	set.StringVar(&e.id, "id", "", "id")
	set.StringVar(&e.service, "service", "", "service")
	set.StringVar(&e.ip, "ip", "", "address")
	set.IntVar(&base, "base", 0, "first port")
	set.IntVar(&serial, "serial", 0, "number of the start")
	set.DurationVar(&e.clockAhead, "ahead", 0, "how far the time of day is ahead at the start")
	set.DurationVar(&e.work, "work", 40*time.Millisecond, "time of work on a request")
	if err := set.Parse(args); err != nil {
		return err
	}
	e.ports = portsFrom(base)
	e.started = time.Now()
	e.flows = make(map[flowKey]*endpointFlow)
	e.busy = make(chan struct{}, slots)
	e.nextSeq = uint32(serial)<<20 + uint32(os.Getpid()%1000)<<8
	e.client = &http.Client{Timeout: time.Second}
	var err error
	if e.g, err = group.New(context.Background()); err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp4", at(e.ip, e.ports.app))
	if err != nil {
		return err
	}
	if e.conn, err = net.ListenUDP("udp4", address); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", at(e.ip, e.ports.app))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if e.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	e.g.Go("health", func(context.Context) error {
		err := http.Serve(listener, mux)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	e.g.Go("packets", func(context.Context) error { e.receive(); return nil })
	e.g.Go("heartbeats", e.beat)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	<-signals
	e.leave()
	_ = listener.Close()
	return nil
}

func (e *endpoint) leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// beat sends the heartbeats.
func (e *endpoint) beat(ctx context.Context) error {
	for {
		e.heartbeat()
		if !group.Sleep(ctx, heartbeatEvery) {
			return nil
		}
	}
}

// heartbeat sends one heartbeat.
func (e *endpoint) heartbeat() {
	e.mu.Lock()
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": e.service, "address": at(e.ip, e.ports.app), "zone": "z", "version": "v1", "slots": slots, "state": state,
		"warmupLeftMs": max(0, (coldTime - time.Since(e.started)).Milliseconds()), "seq": e.beats,
		"born": e.started.Add(e.clockAhead).UnixMilli(),
	}
	e.mu.Unlock()
	sent := time.Now()
	status := e.call("heartbeat", body)
	e.say("heartbeat %v %s -> %d", body["seq"], state, status)
	if status/100 != 2 || time.Since(sent) > time.Second || state != "draining" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ackedAt.IsZero() {
		e.ackedAt = time.Now()
		e.say("draining acknowledged")
	}
}

// call calls the node on the endpoint's machine and returns the status of its answer, 0 without one.
func (e *endpoint) call(name string, body any) int {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	url := fmt.Sprintf("http://%s/instances/%s/%s", at(e.ip, e.ports.control), e.id, name)
	response, err := e.client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// leave ends the endpoint as planned.
func (e *endpoint) leave() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	began := time.Now()
	e.heartbeat()
	for {
		time.Sleep(20 * time.Millisecond)
		e.mu.Lock()
		acked := e.ackedAt
		e.mu.Unlock()
		if !acked.IsZero() && time.Since(acked) > drainTime || time.Since(began) > unackedDrainTime {
			break
		}
	}
	e.say("deregister -> %d", e.call("deregister", map[string]any{"born": e.started.Add(e.clockAhead).UnixMilli()}))
	e.say("ends")
}

// receive handles packets.
func (e *endpoint) receive() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, ok := decode(raw)
		if !ok || p.pad != [3]byte{} || p.echo != 0 || p.flags&flagBounced != 0 {
			e.say("FORGED %s>%s flags %d", p.src, p.dst, p.flags)
			continue
		}
		e.handle(p, raw)
	}
}

// send sends a packet through the node on the endpoint's machine.
func (e *endpoint) send(b []byte) {
	if address, err := net.ResolveUDPAddr("udp4", at(e.ip, e.ports.outbound)); err == nil {
		_, _ = e.conn.WriteToUDP(b, address)
	}
}

// handle handles a packet of a client.
func (e *endpoint) handle(p packet, raw []byte) {
	key := flowKey{client: p.src, virtual: p.dst}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	if p.flags&flagSyn != 0 {
		if f == nil {
			e.nextSeq += 1 << 8
			f = &endpointFlow{seq: e.nextSeq, next: p.seq + 1, sent: e.nextSeq + 1}
			e.flows[key] = f
			e.say("offered %s", key)
		}
		if !f.open {
			e.send(packet{flags: flagSyn | flagAck, src: p.dst, dst: p.src, seq: f.seq, ack: f.next}.encode())
		}
		return
	}
	if f != nil && !f.open && p.ack == f.seq+1 {
		f.open = true
		e.say("open %s", key)
	}
	if f == nil || !f.open {
		// The flow is not open here: the packet goes back.
		e.say("bounced %s", key)
		raw[0] |= flagBounced
		e.send(raw)
		return
	}
	if p.flags&flagRst != 0 {
		delete(e.flows, key)
		return
	}
	if f.unacked != nil && p.ack == f.sent {
		f.unacked = nil
	}
	switch {
	case len(p.data) > 0 && p.seq == f.next && !f.finished:
		f.next += uint32(len(p.data))
		e.g.Task(func() { e.run(key, f, string(p.data)) })
	case len(p.data) > 0:
		e.send(packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.sent, ack: f.next}.encode())
	case p.flags&flagFin != 0:
		e.send(packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.sent, ack: p.seq + 1}.encode())
		delete(e.flows, key)
		e.say("closed %s", key)
	}
}

// run runs a request and sends the answer until it is acknowledged.
func (e *endpoint) run(key flowKey, f *endpointFlow, request string) {
	e.busy <- struct{}{}
	e.say("runs %s", request)
	time.Sleep(e.work)
	<-e.busy
	e.mu.Lock()
	answer := packet{flags: flagAck, src: key.virtual, dst: key.client, seq: f.sent, ack: f.next, data: []byte(strings.Join([]string{e.id, e.service, request}, "|"))}
	f.sent += uint32(len(answer.data))
	if e.draining {
		answer.flags |= flagFin
		f.sent++
		f.finished = true
	}
	raw := answer.encode()
	f.unacked = raw
	e.mu.Unlock()
	for wait, n := 200*time.Millisecond, 0; n <= maxRetransmissions; wait, n = min(2*wait, 1600*time.Millisecond), n+1 {
		e.send(raw)
		time.Sleep(wait)
		e.mu.Lock()
		done := f.unacked == nil
		e.mu.Unlock()
		if done {
			return
		}
	}
}
