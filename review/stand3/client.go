package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// clientTick is the time between two looks of a client at what it has to send.
	clientTick = 10 * time.Millisecond
	// connectTimeout is when a client gives up to open a flow.
	connectTimeout = 1400 * time.Millisecond
	// deadline is when a client gives up a request.
	deadline = 5 * time.Second
	// firstRetransmit and longestRetransmit are the intervals between copies of a packet.
	firstRetransmit   = 200 * time.Millisecond
	longestRetransmit = 1600 * time.Millisecond
)

// firstPort is the port before that of a client's first flow.
const firstPort = 20000

// resetWindow is how far the seq of a reset may be from the client's last ack.
const resetWindow = 76800

// openingCopies holds when copies of the opening packet are sent.
var openingCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// client is a stand-in for a client. It keeps flows open for many requests with pauses between them.
type client struct {
	world *world
	ip    netip.Addr
	conn  *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
	// wanted is how many flows the client keeps open. It opens the first ones one every spacing, and later ones at once.
	wanted   int
	spacing  time.Duration
	nextOpen time.Time
	// pause is the least time between an answer and the next request of a flow; a fourth of it may be added.
	pause time.Duration
}

// clientFlow is a flow at its client.
type clientFlow struct {
	key      flowKey
	began    time.Time
	copies   int
	opened   bool
	next     uint32
	received uint32
	requests int
	request  []byte
	// sentAt is when the request was first sent, copiedAt when it was last sent.
	sentAt, copiedAt time.Time
	interval         time.Duration
	// nextRequest is when the next request is due.
	nextRequest time.Time
}

// startClient starts a client with an address of its own.
func (w *world) startClient(ip netip.Addr, wanted int, spacing, pause time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		return err
	}
	c := &client{world: w, ip: ip, conn: conn, port: firstPort, flows: make(map[uint16]*clientFlow), wanted: wanted, spacing: spacing, pause: pause}
	w.group.Go("client's packets", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		c.receive()
		return nil
	})
	w.group.Go("client", func(ctx context.Context) error {
		for ctx.Err() == nil {
			time.Sleep(clientTick)
			c.tick(time.Now())
		}
		return nil
	})
	return nil
}

func (c *client) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.flows) < c.wanted && !now.Before(c.nextOpen) {
		if int(c.port) < firstPort+c.wanted {
			c.nextOpen = now.Add(c.spacing)
		}
		c.port++
		key := flowKey{client: netip.AddrPortFrom(c.ip, c.port), route: c.world.route}
		c.flows[c.port] = &clientFlow{key: key, began: now, next: 1001}
	}
	for port, f := range c.flows {
		if !c.advance(now, f) {
			delete(c.flows, port)
		}
	}
}

// advance sends what is due on a flow; false if the client has given it up.
func (c *client) advance(now time.Time, f *clientFlow) bool {
	if !f.opened {
		if now.Sub(f.began) > connectTimeout {
			c.world.record.note("%s: given up, not opened", f.key)
			return false
		}
		if f.copies < len(openingCopies) && now.Sub(f.began) >= openingCopies[f.copies] {
			c.send(f, packet{flags: flagSyn, seq: 1000, ack: uint32(f.copies)})
			f.copies++
		}
		return true
	}
	if f.request == nil {
		if now.Before(f.nextRequest) {
			return true
		}
		f.requests++
		f.request = fmt.Appendf(nil, "%d-%d/%d", c.ip.As4()[3], f.key.client.Port(), f.requests)
		f.sentAt, f.copiedAt, f.interval = now, now, firstRetransmit
		c.world.record.note("sent %s", f.request)
		c.sendRequest(f)
		return true
	}
	if now.Sub(f.sentAt) > deadline {
		c.world.record.note("%s: %s given up, no answer", f.key, f.request)
		return false
	}
	if now.Sub(f.copiedAt) >= f.interval {
		f.copiedAt, f.interval = now, min(2*f.interval, longestRetransmit)
		c.sendRequest(f)
	}
	return true
}

func (c *client) sendRequest(f *clientFlow) {
	c.send(f, packet{flags: flagAck, seq: f.next, ack: f.received, data: f.request})
}

// send sends a packet through the balancer that the routers choose.
func (c *client) send(f *clientFlow, p packet) {
	p.src, p.dst, p.sum = f.key.client, f.key.route, sound
	if to, ok := c.world.balancerFor(f.key); ok {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, ok := decode(buffer[:n]); ok {
			c.handle(time.Now(), from, p)
		}
	}
}

func (c *client) handle(now time.Time, from netip.AddrPort, p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst.Port()]
	if f == nil || f.key.route != p.src {
		return
	}
	switch {
	case p.flags&flagRst != 0:
		if f.opened && p.seq-f.received+resetWindow > 2*resetWindow {
			c.world.record.note("%s: ignored a reset by %s whose seq is not near the last ack", f.key, from)
			return
		}
		delete(c.flows, p.dst.Port())
		c.world.sawReset(f, from, p)
	case p.flags&flagSyn != 0:
		if !f.opened {
			f.opened = true
			f.received = p.seq + 1
			f.nextRequest = now
		}
	case len(p.data) > 0 && p.seq == f.received && f.request != nil:
		if !strings.HasPrefix(string(p.data), string(f.request)+" done by ") {
			c.world.record.note("%s: unexpected answer %q", f.key, p.data)
			return
		}
		c.world.record.note("answered %s", p.data)
		c.world.answered.Add(1)
		f.received += uint32(len(p.data))
		f.next += uint32(len(f.request))
		f.request = nil
		f.nextRequest = now.Add(c.pause + rand.N(c.pause/4))
		if p.flags&flagFin != 0 {
			c.send(f, packet{flags: flagFin | flagAck, seq: f.next, ack: f.received + 1})
			delete(c.flows, p.dst.Port())
		}
	}
}
