// Package front is the balancer: it takes callers' packets from the fabric, asks package route where
// each goes, and hands it to an agent; agents' answers go back out the same way.
//
//	fabric -> service socket -> (route) -> flow socket -> agent
//	fabric <- service socket <--------- flow socket <- agent
//
// One goroutine reads each service's socket and one reads the flow socket, in batches. Nothing is
// kept for a flow.
package front

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/ipv4"

	"monsoonstep/core/coord/route"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/connid"
	"monsoonstep/core/proto/frame"
	"monsoonstep/core/state"
	"monsoonstep/io/ctrl"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	batchSize    = 32
	maxPacket    = 2048
	socketBuffer = 4 << 20
)

// Forwarder forwards packets. Views reach it through Update.
type Forwarder struct {
	log    logs.Logger
	group  *group.Group
	listen netip.Addr
	view   func() *ctrl.View
	flow   *net.UDPConn

	// sockets maps the services that are served to their sockets; it is replaced, never changed.
	sockets atomic.Pointer[map[state.ServiceID]*socket]
	mu      sync.Mutex
	counts  counts
}

// socket is one service's socket.
type socket struct {
	service state.ServiceID
	name    state.ServiceName
	address netip.AddrPort
	conn    *net.UDPConn
}

type counts struct {
	outcomes [route.OutcomeCount]*metrics.Counter
	forged   *metrics.Counter
	answers  *metrics.Counter
	strayed  *metrics.Counter
}

// New returns a balancer that sends to agents from the flow address. A valid listen address replaces
// the IP number of every entry's address.
func New(g *group.Group, flow netip.AddrPort, listen netip.Addr, view func() *ctrl.View, log logs.Logger, set *metrics.Set) (*Forwarder, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(flow))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "flowAddress %s can't be listened on", flow)
	}
	grow(conn)
	f := &Forwarder{
		log:    log.Part("balancer"),
		group:  g,
		listen: listen,
		view:   view,
		flow:   conn,
		counts: newCounts(set),
	}
	f.sockets.Store(&map[state.ServiceID]*socket{})
	g.Go("answer forwarder", f.forwardAnswers)
	return f, nil
}

// Update opens and closes sockets so that they match the catalogue.
func (f *Forwarder) Update(v *ctrl.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *f.sockets.Load()
	fresh := make(map[state.ServiceID]*socket, len(v.Entries))
	for id, e := range v.Entries {
		address := f.listenAddress(e)
		if s, ok := old[id]; ok && s.address == address {
			fresh[id] = s
			continue
		}
		s, err := f.open(id, e.Service, address)
		if err != nil {
			f.log.Error("a service can't be served", "service", e.Service, "address", address, "err", errs.Text(err))
			continue
		}
		fresh[id] = s
	}
	f.sockets.Store(&fresh)
	for id, s := range old {
		if fresh[id] != s {
			f.log.Info("a service is no longer served", "service", s.name, "address", s.address)
			_ = s.conn.Close()
		}
	}
}

// ServicesServed returns how many services have a socket.
func (f *Forwarder) ServicesServed() int { return len(*f.sockets.Load()) }

func (f *Forwarder) listenAddress(e state.Entry) netip.AddrPort {
	if f.listen.IsValid() {
		return netip.AddrPortFrom(f.listen, e.Address.Port())
	}
	return e.Address
}

func (f *Forwarder) open(id state.ServiceID, name state.ServiceName, address netip.AddrPort) (*socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "address can't be listened on")
	}
	grow(conn)
	s := &socket{service: id, name: name, address: address, conn: conn}
	f.log.Info("a service is served", "service", name, "address", address)
	f.group.Go("packet forwarder of "+string(name), func(ctx context.Context) error {
		f.forwardPackets(ctx, s)
		return nil
	})
	return s, nil
}

// forwardPackets reads callers' packets of one service and hands each to an agent.
func (f *Forwarder) forwardPackets(ctx context.Context, s *socket) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	in := ipv4.NewPacketConn(s.conn)
	out := ipv4.NewPacketConn(f.flow)
	var (
		reader   connid.Reader
		codec    frame.Codec
		received = newBatch(frame.Overhead)
		sending  = make([]ipv4.Message, 0, batchSize)
	)
	for {
		n, err := in.ReadBatch(received.messages, 0)
		if err != nil {
			return
		}
		v := f.view()
		sending = sending[:0]
		for i := range n {
			packet := received.packet(i)
			to, outcome := v.Table.Decide(v.Keys, &reader, s.service, packet)
			f.counts.outcomes[outcome].Inc()
			if outcome.Dropped() {
				continue
			}
			encoded := codec.Encode(received.whole[i], v.Keys, frame.Frame{
				Kind:    frame.KindToAgent,
				Service: s.service,
				Caller:  received.from(i),
				Packet:  packet,
			})
			sending = append(sending, message(encoded, to))
		}
		writeAll(out, sending)
	}
}

// forwardAnswers reads agents' frames and sends their packets to the callers.
func (f *Forwarder) forwardAnswers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.flow.Close() })
	defer stop()
	in := ipv4.NewPacketConn(f.flow)
	var codec frame.Codec
	received := newBatch(0)
	for {
		n, err := in.ReadBatch(received.messages, 0)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		v := f.view()
		sockets := *f.sockets.Load()
		for i := range n {
			answer, ok := codec.Decode(received.packet(i), v.Keys)
			if !ok || answer.Kind != frame.KindToCaller {
				f.counts.forged.Inc()
				continue
			}
			s, ok := sockets[answer.Service]
			if !ok {
				f.counts.strayed.Inc()
				continue
			}
			f.counts.answers.Inc()
			// A packet that the system does not take is lost like one that the network drops.
			_, _ = s.conn.WriteToUDPAddrPort(answer.Packet, answer.Caller)
		}
	}
}

func newCounts(set *metrics.Set) counts {
	c := counts{
		forged:  set.NewCounter("monsoonstep_answers_forged_total"),
		answers: set.NewCounter("monsoonstep_answers_total"),
		strayed: set.NewCounter("monsoonstep_answers_strayed_total"),
	}
	for o := range route.OutcomeCount {
		c.outcomes[o] = set.NewCounter(`monsoonstep_packets_total{outcome="` + o.String() + `"}`)
	}
	return c
}
