package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// openLimit is how long a client tries to open a flow; synCopies are the times of the copies of the opening packet.
	openLimit = 1400 * time.Millisecond
	// resetWindow is how far the number of a reset may be from the client's last acknowledgement.
	resetWindow = 76800
	clientTick  = 10 * time.Millisecond
)

var synCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// client is a stand-in for a client machine; its flows differ by their ports.
type client struct {
	world *world
	ip    netip.Addr
	conn  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*flow
}

// flow is the client's end of a flow.
type flow struct {
	client *client
	key    flowKey
	// direct is the balancer to which all packets are sent; if it is not set the router chooses.
	direct *instance

	startedAt time.Time
	// next is the next sequence number to send, ack the last acknowledgement.
	next, ack uint32
	opened    bool
	closed    bool
	// resetBy is the instance whose reset ended the flow.
	resetBy string
	// foreign are resets that the client ignored.
	foreign int
	// answeredBy is the endpoint that answered last, after its service.
	answeredBy string
	synsSent   int
	// lastPacket is when the last packet passed before the latest request; idle is how long there was none then.
	lastPacket time.Time
	idle       time.Duration
	request    *request
}

// request is a request that has no answer yet, or the last one that had.
type request struct {
	id       string
	packet   packet
	sentAt   time.Time
	nextSend time.Time
	sent     int
	done     chan struct{}
	answer   string
}

func (w *world) startClient(ip string) (*client, error) {
	address := w.address(ip, packetPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{world: w, ip: address.Addr(), conn: conn, port: 40000, flows: make(map[flowKey]*flow)}
	w.group.Task(c.receive)
	w.group.Task(c.tick)
	return c, nil
}

// open starts to open a flow and waits until it is open, was reset or has failed.
func (c *client) open(virtual netip.AddrPort, direct *instance) *flow {
	f := c.start(virtual, direct)
	for !f.settled() {
		time.Sleep(clientTick)
	}
	return f
}

// start starts to open a flow from a new port.
func (c *client) start(virtual netip.AddrPort, direct *instance) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{client: c, key: flowKey{client: netip.AddrPortFrom(c.ip, c.port), virtual: virtual}, direct: direct, startedAt: time.Now(), next: rand.Uint32()}
	c.flows[f.key] = f
	c.advance(time.Now(), f)
	return f
}

// settled reports whether the attempt to open the flow has ended.
func (f *flow) settled() bool {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.opened || f.closed
}

// send sends a request on an open flow; the result is in the returned request.
func (f *flow) send(id string) *request {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	text := "POST /work HTTP/1.1\r\nMonsoonstep-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	r := &request{id: id, sentAt: time.Now(), done: make(chan struct{})}
	r.packet = packet{flags: flagAck, src: f.key.client, dst: f.key.virtual, seq: f.next, ack: f.ack, data: []byte(text)}
	f.next += uint32(len(text))
	f.request = r
	if !f.lastPacket.IsZero() {
		f.idle = time.Since(f.lastPacket)
	}
	f.client.world.record.line("client sends request %s on %s", id, f.key)
	f.client.advance(time.Now(), f)
	return r
}

// wait waits for the answer and returns it; empty if the flow was reset or the deadline passed.
func (r *request) wait(deadline time.Duration) string {
	select {
	case <-r.done:
	case <-time.After(time.Until(r.sentAt.Add(deadline))):
	}
	return r.answer
}

// finish closes the flow.
func (f *flow) finish() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	f.sendFin()
}

// sendFin sends the client's FIN; the caller holds mu.
func (f *flow) sendFin() {
	f.transmit(packet{flags: flagFin | flagAck, src: f.key.client, dst: f.key.virtual, seq: f.next, ack: f.ack})
	f.next++
	f.closed = true
}

// tick sends what is due on all flows.
func (c *client) tick() {
	for c.world.group.Context().Err() == nil {
		time.Sleep(clientTick)
		c.mu.Lock()
		for _, f := range c.flows {
			c.advance(time.Now(), f)
		}
		c.mu.Unlock()
	}
}

// advance sends what is due on a flow; the caller holds mu.
func (c *client) advance(now time.Time, f *flow) {
	switch {
	case f.closed:
	case !f.opened && now.Sub(f.startedAt) > openLimit:
		f.closed = true
		c.world.record.line("flow %s did not open", f.key)
	case !f.opened && f.synsSent < len(synCopies) && now.Sub(f.startedAt) >= synCopies[f.synsSent]:
		f.transmit(packet{flags: flagSyn, src: f.key.client, dst: f.key.virtual, seq: f.next, ack: uint32(f.synsSent)})
		f.synsSent++
	case f.opened && f.request != nil && f.request.answer == "" && !now.Before(f.request.nextSend):
		r := f.request
		r.nextSend = now.Add(min(lastResend, firstResend<<r.sent))
		r.sent++
		f.transmit(r.packet)
	}
}

// transmit sends a packet through a balancer; the caller holds mu.
func (f *flow) transmit(p packet) {
	f.lastPacket = time.Now()
	to := f.direct
	if to == nil {
		to = f.client.world.route(f.key)
	}
	if to != nil {
		_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), f.client.world.address(to.ip, packetPort))
	}
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		c.handle(p, c.world.nameAt(from.Addr().String()))
		c.mu.Unlock()
	}
}

// handle handles a packet that an instance sent; the caller holds mu.
func (c *client) handle(p packet, from string) {
	f := c.flows[flowKey{client: p.dst, virtual: p.src}]
	switch {
	case f == nil:
	case p.has(flagRst):
		c.handleReset(f, p, from)
	case !p.intact():
		c.world.record.line("MIXED: client got a packet of %s that its sender didn't write so", f.key)
	case p.has(flagSyn | flagAck):
		c.handleSynAck(f, p)
	case f.opened && len(p.data) > 0 && !f.closed:
		c.handleAnswer(f, p)
	case f.opened && p.has(flagFin):
		c.handleFin(f, p)
	}
}

// handleReset ends a flow that is not open yet, or whose last acknowledgement is near the reset's number.
func (c *client) handleReset(f *flow, p packet, from string) {
	distance := int64(int32(p.seq - f.ack))
	valid := !f.opened || distance <= resetWindow && distance >= -resetWindow
	kind := "the system's own"
	if p.sum != 0 {
		kind = "an endpoint's"
	}
	c.world.record.line("client got a reset (%s) of %s from %s; open %t, valid %t", kind, f.key, from, f.opened, valid)
	if !valid || f.closed {
		f.foreign++
		return
	}
	f.closed = true
	f.resetBy = from
	if f.request != nil && f.request.answer == "" {
		close(f.request.done)
	}
}

func (c *client) handleSynAck(f *flow, p packet) {
	if f.opened || f.closed {
		return
	}
	f.opened = true
	f.next++
	f.ack = p.seq + 1
	f.transmit(packet{flags: flagAck, src: f.key.client, dst: f.key.virtual, seq: f.next, ack: f.ack})
}

// handleFin closes the flow if its endpoint closes it, and acknowledges that.
func (c *client) handleFin(f *flow, p packet) {
	f.ack = p.seq + 1
	if !f.closed {
		f.sendFin()
		return
	}
	f.transmit(packet{flags: flagAck, src: f.key.client, dst: f.key.virtual, seq: f.next, ack: f.ack})
}

func (c *client) handleAnswer(f *flow, p packet) {
	if p.seq == f.ack {
		f.ack += uint32(len(p.data))
		c.complete(f, string(p.data))
	}
	f.transmit(packet{flags: flagAck, src: f.key.client, dst: f.key.virtual, seq: f.next, ack: f.ack})
}

// complete ends the request of a flow with its answer.
func (c *client) complete(f *flow, answer string) {
	r := f.request
	if r == nil || r.answer != "" || !strings.HasSuffix(answer, " for "+r.id) {
		c.world.record.line("MIXED: client got an answer on %s that belongs to no request of it: %q", f.key, answer)
		return
	}
	r.answer = answer
	_, rest, _ := strings.Cut(answer, "Monsoonstep-Response-Signature: ")
	f.answeredBy, _, _ = strings.Cut(rest, "/"+r.id)
	c.world.record.line("client got the answer to %s on %s from %s", r.id, f.key, f.answeredBy)
	close(r.done)
}

// state returns the state of the flow for a log line.
func (f *flow) state() string {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	switch {
	case f.resetBy != "":
		return fmt.Sprintf("reset by %s", f.resetBy)
	case f.closed:
		return "closed"
	case f.opened:
		return "open"
	default:
		return "opening"
	}
}

// idleBefore returns how long the flow was idle before its latest request.
func (f *flow) idleBefore() time.Duration {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.idle
}

// reset returns the instance whose reset ended the flow; empty if there was none.
func (f *flow) reset() string {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.resetBy
}
