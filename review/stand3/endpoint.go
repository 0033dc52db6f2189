package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeatMs of the deployment.
	heartbeatInterval = 1200 * time.Millisecond
	// heartbeatTimeout is how long an endpoint waits for the answer to a call.
	heartbeatTimeout = time.Second
)

// endpoint is a stand-in for an endpoint beside an agent.
type endpoint struct {
	world   *world
	machine *machine
	id      string
	serial  uint32
	born    time.Time
	conn    *net.UDPConn
	health  net.Listener
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	flows map[flowKey]*heldFlow
	// state is what the endpoint says of itself: ready or draining.
	state string
	seq   int
	// running is how many requests the endpoint processes, waiting has those that wait for a slot.
	running int
	waiting []func()
	// drainAckedAt is when a heartbeat that says draining was first acknowledged.
	drainAckedAt time.Time
	ended        bool
	// beatAt is when the last heartbeat was acknowledged.
	beatAt time.Time
}

// heldFlow is a flow at its endpoint. It is open once the client has acknowledged the endpoint's opening packet.
type heldFlow struct {
	first, next, received uint32
	open                  bool
	lastAnswer            []byte
}

// startEndpoint starts an endpoint on a machine under an id.
func (w *world) startEndpoint(m *machine, id string) (*endpoint, error) {
	e := &endpoint{
		world: w, machine: m, id: id, serial: w.serial.Add(1), born: time.Now(), state: "ready", flows: make(map[flowKey]*heldFlow),
	}
	var err error
	if e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at(appPort))); err != nil {
		return nil, err
	}
	if e.health, err = net.Listen("tcp4", m.at(appPort).String()); err != nil {
		return nil, err
	}
	e.ctx, e.cancel = context.WithCancel(w.group.Context())
	context.AfterFunc(e.ctx, func() {
		_ = e.conn.Close()
		_ = e.health.Close()
	})
	w.group.Go("packets of an endpoint", e.receive)
	w.group.Go("health of an endpoint", e.serveHealth)
	w.group.Go("heartbeats", e.sendHeartbeats)
	w.record.note("endpoint %s of %s started on %s", id, w.service, m.name)
	return e, nil
}

// end ends the endpoint: it drops its flows and its sockets.
func (e *endpoint) end() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.cancel()
	_ = e.conn.Close()
	_ = e.health.Close()
	e.world.record.note("endpoint %s ended", e.id)
}

// drain makes the endpoint say that it is draining from its next heartbeat on.
func (e *endpoint) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = "draining"
}

// holds reports whether the endpoint lives and has a flow open.
func (e *endpoint) holds(k flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[k]
	return !e.ended && f != nil && f.open
}

// openFlows returns how many flows are open at the endpoint.
func (e *endpoint) openFlows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, f := range e.flows {
		if f.open {
			count++
		}
	}
	return count
}

func (e *endpoint) serveHealth(context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: heartbeatTimeout}
	_ = server.Serve(e.health)
	return nil
}

func (e *endpoint) receive(context.Context) error {
	buffer := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil
		}
		if p, ok := decode(buffer[:n]); ok {
			e.handle(p, buffer[:n])
		}
	}
}

// send sends a packet to the agent, which forwards it.
func (e *endpoint) send(raw []byte) {
	_, _ = e.conn.WriteToUDPAddrPort(raw, e.machine.at(outboundPort))
}

// handle handles a packet. One of a flow that the endpoint does not hold is returned.
func (e *endpoint) handle(p packet, raw []byte) {
	key := flowKey{client: p.src, route: p.dst}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	if p.flags&flagSyn != 0 {
		if f == nil {
			first := e.serial<<20 + uint32(len(e.flows))*64
			f = &heldFlow{first: first, next: first + 1, received: p.seq + 1}
			e.flows[key] = f
			e.tookOpening(key)
		}
		e.send(packet{flags: flagSyn | flagAck, src: p.dst, dst: p.src, seq: f.first, ack: p.seq + 1, sum: sound}.encode())
		return
	}
	if f == nil || !f.open && p.ack != f.first+1 {
		returned := append([]byte(nil), raw...)
		returned[0] |= flagBounced
		e.send(returned)
		return
	}
	if p.flags&(flagRst|flagFin) != 0 {
		delete(e.flows, key)
		if p.flags&flagFin != 0 {
			e.send(packet{flags: flagFin | flagAck, src: p.dst, dst: p.src, seq: f.next, ack: p.seq + 1, sum: sound}.encode())
		}
		return
	}
	if !f.open {
		f.open = true
		e.world.record.note("%s opened at %s", key, e.id)
	}
	switch {
	case len(p.data) == 0:
	case p.seq == f.received:
		f.received += uint32(len(p.data))
		f.lastAnswer = nil
		e.run(f, p)
	case f.lastAnswer != nil:
		e.send(f.lastAnswer)
	}
}

// tookOpening notes an opening packet that the endpoint took; the caller holds mu.
func (e *endpoint) tookOpening(key flowKey) {
	if e.drainAckedAt.IsZero() {
		return
	}
	late := time.Since(e.drainAckedAt)
	e.world.record.note("endpoint %s took the opening packet of %s %.3f s after its draining was acknowledged", e.id, key, late.Seconds())
	e.world.tookAfterDrain(e, key, late)
}

// run processes a request as soon as a slot is free; the caller holds mu.
func (e *endpoint) run(f *heldFlow, p packet) {
	work := func() {
		e.world.record.note("%s runs %s", e.id, p.data)
		time.AfterFunc(e.world.workTime, func() { e.finish(f, p) })
	}
	if e.running >= e.world.slots {
		e.waiting = append(e.waiting, work)
		return
	}
	e.running++
	work()
}

// finish answers a request and starts the next one that waits. An endpoint that is draining closes the flow with the answer.
func (e *endpoint) finish(f *heldFlow, p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	data := fmt.Appendf(nil, "%s done by %s", p.data, e.id)
	answer := packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.next, ack: f.received, sum: sound, data: data}
	if e.state == "draining" {
		answer.flags |= flagFin
	}
	f.next += uint32(len(data))
	f.lastAnswer = answer.encode()
	e.send(f.lastAnswer)
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		next()
	}
}

// heartbeat returns the body of the next heartbeat.
func (e *endpoint) heartbeat() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	return map[string]any{
		"service": e.world.service, "address": e.machine.at(appPort).String(), "zone": e.machine.zone, "version": "v1", "slots": e.world.slots,
		"state": e.state, "warmupLeftMs": 0, "seq": e.seq, "born": e.born.UnixMilli(),
	}
}

// acknowledged notes that a heartbeat was acknowledged.
func (e *endpoint) acknowledged(now time.Time, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beatAt = now
	if draining && e.drainAckedAt.IsZero() {
		e.drainAckedAt = now
		e.world.record.note("endpoint %s: draining acknowledged", e.id)
	}
}

// lastBeat returns when the last heartbeat was acknowledged.
func (e *endpoint) lastBeat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beatAt
}

func (e *endpoint) sendHeartbeats(context.Context) error {
	for {
		body := e.heartbeat()
		acknowledged := e.world.call(e.machine.at(controlPort), e.id, "heartbeat", body)
		if acknowledged {
			e.acknowledged(time.Now(), body["state"] == "draining")
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(heartbeatInterval):
		}
	}
}

// call makes a call to an agent and reports whether it was acknowledged.
func (w *world) call(to netip.AddrPort, id, name string, body map[string]any) bool {
	raw := []byte{}
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(w.group.Context(), heartbeatTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/instances/%s/%s", to, id, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.http.Do(request)
	if err != nil {
		w.record.note("%s of %s: no answer", name, id)
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		w.record.note("%s of %s: answered with %d", name, id, response.StatusCode)
	}
	return response.StatusCode/100 == 2
}
