package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonstep/io/group"
)

const (
	heartbeatPeriod = 1200 * time.Millisecond
	heartbeatLimit  = time.Second
	slots           = 7
	// workTime is how long a request takes.
	workTime = 50 * time.Millisecond
	// firstResend and lastResend are the least and the longest time until a packet is sent again, and resends how often an endpoint
	// does so.
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	resends     = 8
)

// endpoint is a stand-in for an endpoint beside an agent.
type endpoint struct {
	world   *world
	id      string
	service string
	machine *instance
	born    time.Time
	conn    *net.UDPConn
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	flows    map[flowKey]*served
	draining bool
	// left is set once the endpoint deregisters; its flows end then.
	left bool
	// drainAcked is closed when a heartbeat that says draining was acknowledged.
	drainAcked chan struct{}
	acked      sync.Once
	beats      uint64
}

// served is a flow at an endpoint.
type served struct {
	// next and expected are the next sequence numbers to send and to receive; initial is that of the SYN+ACK.
	initial, next, expected uint32
	opened, ended           bool
	// unacked is the answer that the client has not acknowledged yet.
	unacked *packet
}

// startEndpoint starts an endpoint beside the agent of a machine.
func (w *world) startEndpoint(id string, machine *instance) (*endpoint, error) {
	app := w.address(machine.ip, appPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", app.String())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(w.group.Context())
	e := &endpoint{
		world: w, id: id, service: machine.service, machine: machine, born: time.Now(), conn: conn, ctx: ctx, cancel: cancel,
		flows: make(map[flowKey]*served), drainAcked: make(chan struct{}),
	}
	server := &http.Server{Handler: http.HandlerFunc(e.health), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _, _ = conn.Close(), server.Close() })
	w.group.Task(func() { _ = server.Serve(listener) })
	w.group.Task(e.receive)
	w.group.Task(e.sendHeartbeats)
	w.record.line("endpoint %s of %s starts on %s", id, e.service, machine.name)
	return e, nil
}

func (e *endpoint) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// holds reports whether the endpoint runs and has the flow open.
func (e *endpoint) holds(key flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	return e.ctx.Err() == nil && !e.left && f != nil && f.opened && !f.ended
}

func (e *endpoint) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || !p.intact() {
			e.world.record.line("UNASKED: endpoint %s got a packet that its sender didn't write so", e.id)
			continue
		}
		e.mu.Lock()
		e.handle(p, append([]byte(nil), buffer[:n]...))
		e.mu.Unlock()
	}
}

// handle handles one packet; the caller holds mu.
func (e *endpoint) handle(p packet, raw []byte) {
	key := flowKey{client: p.src, virtual: p.dst}
	f := e.flows[key]
	switch {
	case p.has(flagSyn):
		e.handleSyn(key, f, p)
	case f == nil || !f.opened && p.ack != f.initial+1:
		raw[0] |= flagBounced
		clear(raw[1:4])
		e.write(raw)
	case f.ended:
		e.answerEnded(key, f, p)
	default:
		e.handleOpen(key, f, p)
	}
}

// handleSyn answers an opening packet, or a copy of one.
func (e *endpoint) handleSyn(key flowKey, f *served, p packet) {
	if f == nil || f.ended {
		f = &served{initial: rand.Uint32(), expected: p.seq + 1}
		f.next = f.initial + 1
		e.flows[key] = f
		e.world.record.line("endpoint %s (%s) took the opening packet of %s", e.id, e.service, key)
		e.sendSynAck(key, f, 0)
		return
	}
	if !f.opened {
		e.send(packet{flags: flagSyn | flagAck, src: key.virtual, dst: key.client, seq: f.initial, ack: f.expected})
	}
}

// sendSynAck sends the answer to an opening packet until the flow opens, or removes the flow after the last time; it is called with mu held.
func (e *endpoint) sendSynAck(key flowKey, f *served, sent int) {
	if f.opened || e.flows[key] != f {
		return
	}
	if sent > resends {
		delete(e.flows, key)
		return
	}
	e.send(packet{flags: flagSyn | flagAck, src: key.virtual, dst: key.client, seq: f.initial, ack: f.expected})
	e.after(min(lastResend, firstResend<<sent), func() { e.sendSynAck(key, f, sent+1) })
}

// answerEnded answers a packet of a flow that has ended.
func (e *endpoint) answerEnded(key flowKey, f *served, p packet) {
	switch {
	case p.has(flagFin):
		e.send(packet{flags: flagAck, src: key.virtual, dst: key.client, seq: f.next, ack: f.expected})
	case len(p.data) > 0:
		e.send(packet{flags: flagRst, src: key.virtual, dst: key.client, seq: p.ack})
	}
}

// handleOpen handles a packet of a flow that is open here, or opens with it.
func (e *endpoint) handleOpen(key flowKey, f *served, p packet) {
	if !f.opened {
		f.opened = true
		e.world.record.line("flow %s is open at endpoint %s", key, e.id)
	}
	if p.has(flagRst) {
		f.ended = true
		return
	}
	if f.unacked != nil && int32(p.ack-f.next) >= 0 {
		f.unacked = nil
	}
	switch {
	case len(p.data) > 0 && p.seq == f.expected:
		f.expected += uint32(len(p.data))
		e.run(key, f, string(p.data))
	case len(p.data) > 0:
		e.send(packet{flags: flagAck, src: key.virtual, dst: key.client, seq: f.next, ack: f.expected})
	case p.has(flagFin):
		f.ended = true
		f.expected++
		e.send(packet{flags: flagFin | flagAck, src: key.virtual, dst: key.client, seq: f.next, ack: f.expected})
		f.next++
	}
}

// run runs a request and sends the answer when it is done.
func (e *endpoint) run(key flowKey, f *served, request string) {
	id := requestID(request)
	e.world.record.line("endpoint %s (%s) runs request %s of %s", e.id, e.service, id, key)
	e.after(workTime, func() {
		body := "done by " + e.id + " for " + id
		text := "HTTP/1.1 200 OK\r\nMonsoonstep-Response-Signature: " + e.service + "/" + e.id + "/" + id +
			"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		answer := packet{flags: flagAck, src: key.virtual, dst: key.client, seq: f.next, ack: f.expected, data: []byte(text)}
		f.next += uint32(len(text))
		f.unacked = &answer
		e.sendAnswer(f, &answer, 0)
		if e.draining {
			e.send(packet{flags: flagFin | flagAck, src: key.virtual, dst: key.client, seq: f.next, ack: f.expected})
			f.next++
		}
	})
}

// sendAnswer sends an answer until the client has acknowledged it; it is called with mu held.
func (e *endpoint) sendAnswer(f *served, answer *packet, sent int) {
	if f.unacked != answer || f.ended || sent > resends {
		return
	}
	e.send(*answer)
	e.after(min(lastResend, firstResend<<sent), func() { e.sendAnswer(f, answer, sent+1) })
}

// requestID returns the id of a request, from its header.
func requestID(request string) string {
	_, rest, _ := strings.Cut(request, "Monsoonstep-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// after calls f with mu held after a time, unless the endpoint has ended by then.
func (e *endpoint) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.ctx.Err() == nil {
			f()
		}
	})
}

func (e *endpoint) send(p packet) { e.write(p.encode()) }

// write sends a packet to the agent.
func (e *endpoint) write(b []byte) {
	_, _ = e.conn.WriteToUDPAddrPort(b, e.world.address(e.machine.ip, outboundPort))
}

// sendHeartbeats reports the endpoint's state until it ends.
func (e *endpoint) sendHeartbeats() {
	for e.ctx.Err() == nil {
		e.beat()
		group.Sleep(e.ctx, heartbeatPeriod)
	}
}

func (e *endpoint) beat() {
	body, draining := e.nextBeat()
	if !e.call(e.ctx, "heartbeat", body) || !draining {
		return
	}
	e.acked.Do(func() {
		e.world.record.line("the agent of %s acknowledged that it is draining", e.id)
		close(e.drainAcked)
	})
}

// nextBeat returns the body of the next heartbeat, and whether it says that the endpoint is draining.
func (e *endpoint) nextBeat() ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	name := "ready"
	if e.draining {
		name = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.world.address(e.machine.ip, appPort).String(), "zone": zoneName, "version": "v1",
		"slots": slots, "state": name, "warmupLeftMs": 0, "seq": e.beats, "born": e.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return body, e.draining
}

// call makes a call to the agent and reports whether it was acknowledged.
func (e *endpoint) call(parent context.Context, name string, body []byte) bool {
	ctx, cancel := context.WithTimeout(parent, heartbeatLimit)
	defer cancel()
	url := fmt.Sprintf("http://%s/instances/%s/%s", e.world.address(e.machine.ip, controlPort), e.id, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// leave ends the endpoint as planned: it drains, serves on after the acknowledgement, deregisters and exits.
func (e *endpoint) leave(serveOn time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.world.record.line("endpoint %s says that it is draining", e.id)
	e.beat()
	select {
	case <-e.drainAcked:
		group.Sleep(e.ctx, serveOn)
	case <-time.After(5 * time.Second):
	}
	e.mu.Lock()
	e.left = true
	e.mu.Unlock()
	e.call(e.ctx, "deregister", []byte(fmt.Sprintf(`{"born":%d}`, e.born.UnixMilli())))
	e.cancel()
	e.world.record.line("endpoint %s has deregistered and exits", e.id)
}
