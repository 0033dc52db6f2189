package main

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"monsoonstep/io/group"
)

// The states of a flow at its client.
const (
	opening  = "opening"
	isOpen   = "open"
	unopened = "unopened"
	reset    = "reset"
	closed   = "closed"
)

// client is a client machine, with a socket at the port at which clients get packets.
type client struct {
	f    *fleet
	ip   string
	zone int
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is a flow at its client.
type clientFlow struct {
	c   *client
	key flowKey
	// The fields below are protected by the client's mu.
	state string
	// next is the client's next sequence number, expected that of the endpoint.
	next, expected uint32
	answer         string
	// endpoint is the id of the endpoint that answered last.
	endpoint string
	resetBy  string
	requests int
	openedAt time.Time
}

func (f *fleet) addClient(ip string, zone int) (*client, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: f.ports.packets})
	if err != nil {
		return nil, err
	}
	c := &client{f: f, ip: ip, zone: zone, conn: conn, flows: make(map[uint16]*clientFlow), port: 1024}
	f.g.Go("client", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		c.receive()
		return nil
	})
	return c, nil
}

// newFlow returns a flow that is not open yet.
func (c *client) newFlow(virtual end) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	fl := &clientFlow{c: c, state: opening, key: flowKey{client: end{ip: ip4(c.ip), port: c.port}, virtual: virtual}, next: uint32(c.port) << 12}
	c.flows[c.port] = fl
	return fl
}

// send sends a packet to the node that the router selects.
func (c *client) send(p packet) {
	if to := c.f.route(c.zone, p); to != "" {
		if address, err := net.ResolveUDPAddr("udp4", at(to, c.f.ports.packets)); err == nil {
			_, _ = c.conn.WriteToUDP(p.encode(), address)
		}
	}
}

// open opens the flow, and reports whether it could.
func (fl *clientFlow) open() bool {
	c := fl.c
	c.f.record("client %s sends SYN", fl.key)
	began := time.Now()
	for n, when := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		for time.Since(began) < when {
			time.Sleep(2 * time.Millisecond)
			c.mu.Lock()
			state := fl.state
			c.mu.Unlock()
			if state != opening {
				return state == isOpen
			}
		}
		if when < 1400*time.Millisecond {
			c.send(packet{flags: flagSyn, src: fl.key.client, dst: fl.key.virtual, seq: fl.next - 1, ack: uint32(n)})
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fl.state == opening {
		fl.state = unopened
		c.f.record("client %s not opened", fl.key)
	}
	return fl.state == isOpen
}

// request sends a request on an open flow and returns the flow's state after the answer, or after the deadline.
func (fl *clientFlow) request(deadline time.Duration) string {
	c := fl.c
	c.mu.Lock()
	if fl.state != isOpen {
		defer c.mu.Unlock()
		return fl.state
	}
	fl.requests++
	fl.answer = ""
	text := fl.key.client.String() + "#" + string(rune('a'+fl.requests))
	p := packet{flags: flagAck, src: fl.key.client, dst: fl.key.virtual, seq: fl.next, ack: fl.expected, data: []byte(text)}
	fl.next += uint32(len(text))
	c.mu.Unlock()
	c.f.record("client %s sends request %s", fl.key, text)
	began := time.Now()
	wait, due := 200*time.Millisecond, time.Duration(0)
	for time.Since(began) < deadline {
		if time.Since(began) >= due {
			c.send(p)
			due += wait
			wait = min(2*wait, 1600*time.Millisecond)
		}
		time.Sleep(2 * time.Millisecond)
		c.mu.Lock()
		state, answer := fl.state, fl.answer
		c.mu.Unlock()
		if state != isOpen || answer != "" {
			return state
		}
	}
	c.f.record("client %s request %s: no answer", fl.key, text)
	return isOpen
}

// receive handles the packets for the client.
func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, genuine := decode(buffer[:n])
		ofSystem := p.flags == flagRst && p.sum == 0 && len(p.data) == 0
		c.mu.Lock()
		fl := c.flows[p.dst.port]
		switch {
		case fl == nil || p.src != fl.key.virtual || fl.state == unopened || fl.state == reset:
		case ofSystem:
			c.f.record("client %s gets a reset from %s while %s at %s", fl.key, from.Addr(), fl.state, fl.endpoint)
			fl.resetBy = from.Addr().String()
			if fl.state == opening {
				fl.state = unopened
			} else {
				fl.state = reset
			}
		case !genuine:
			c.f.record("client %s gets a FORGED packet from %s", fl.key, from)
		case p.flags&flagSyn != 0 && fl.state == opening:
			fl.state, fl.expected, fl.openedAt = isOpen, p.seq+1, time.Now()
			c.f.record("client %s opened", fl.key)
		case p.flags&flagSyn != 0:
			// An answer of another endpoint, or a late one; the flow is open at the one that answered first.
		case len(p.data) > 0 && p.seq == fl.expected:
			c.answered(fl, p)
		}
		c.mu.Unlock()
	}
}

// answered handles an answer; the caller holds mu.
func (c *client) answered(fl *clientFlow, p packet) {
	fl.expected += uint32(len(p.data))
	fl.answer = string(p.data)
	parts := strings.SplitN(fl.answer, "|", 3)
	fl.endpoint = parts[0]
	c.f.record("client %s gets answer %s", fl.key, fl.answer)
	reply := packet{flags: flagAck, src: fl.key.client, dst: fl.key.virtual, seq: fl.next, ack: fl.expected}
	if p.flags&flagFin != 0 {
		fl.expected++
		reply.ack++
		reply.flags |= flagFin
		fl.state = closed
	}
	c.send(reply)
}

// poll checks the readiness of the nodes twice per second, as the platform does.
func (f *fleet) poll(ctx context.Context) error {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		f.mu.Lock()
		f.nextPoll = time.Now().Add(500 * time.Millisecond)
		next := f.nextPoll
		f.mu.Unlock()
		if !group.Sleep(ctx, time.Until(next)) {
			return nil
		}
		var wait sync.WaitGroup
		for _, n := range f.fronts {
			wait.Add(1)
			f.g.Task(func() {
				defer wait.Done()
				ok := false
				if response, err := client.Get("http://" + at(n.ip, f.ports.ready) + "/ready"); err == nil {
					ok = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				was := n.misses < 2
				if n.misses++; ok {
					n.misses = 0
				}
				if is := n.misses < 2; is != was {
					f.recordLocked("router: %s in rotation: %v", n.name, is)
				}
			})
		}
		f.g.Task(wait.Wait)
	}
}

// route returns the address of the node to which the router of a zone sends a packet.
func (f *fleet) route(zone int, p packet) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, in, elsewhere []*node
	for _, n := range f.fronts {
		switch {
		case n.zone != zone:
			if n.misses < 2 {
				elsewhere = append(elsewhere, n)
			}
		default:
			all = append(all, n)
			if n.misses < 2 {
				in = append(in, n)
			}
		}
	}
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		in = elsewhere
	case 2*len(in) < len(all):
		in = all
	}
	if len(in) == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.src.String() + p.dst.String()))
	return in[h.Sum32()%uint32(len(in))].ip
}
