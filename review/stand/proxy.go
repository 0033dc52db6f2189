package main

import (
	"net"
	"sync"
	"time"

	"monsoonstep/io/group"
)

// proxy forwards connections to the store. It can make the open ones silent for good, while new ones work.
type proxy struct {
	group    *group.Group
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns map[*proxied]struct{}
	// partitioned is true while no byte passes, on new connections neither.
	partitioned bool
}

// proxied is one forwarded connection.
type proxied struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(g *group.Group, listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{group: g, listener: listener, to: to, conns: make(map[*proxied]struct{})}
	g.Task(p.accept)
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", p.to, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxied{client: client, server: server}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		c.silent = p.partitioned
		p.mu.Unlock()
		p.group.Task(func() { p.copy(c, server, client) })
		p.group.Task(func() { p.copy(c, client, server) })
	}
}

// copy passes bytes on in one direction until an end closes. The bytes of a silent connection are dropped.
func (p *proxy) copy(c *proxied, to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !silent || from == c.client {
				p.remove(c)
			}
			return
		}
	}
}

func (p *proxy) remove(c *proxied) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.client.Close()
	_ = c.server.Close()
}

// silence makes all open connections silent and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.cut()
}

// partition begins a partition from the store, in which open and new connections are silent, or ends it. Connections of a partition
// stay silent.
func (p *proxy) partition(begin bool) {
	p.mu.Lock()
	p.partitioned = begin
	p.mu.Unlock()
	if begin {
		p.silence()
	}
}

// cut closes all open connections and returns how many there were.
func (p *proxy) cut() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
	return len(p.conns)
}

// open returns how many connections are open.
func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}
