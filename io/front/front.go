// Package front is the balancer. It receives callers' packets from the fabric and forwards each of them, in a frame, to the
// agent that package route chooses. In the other direction, it forwards the packets in agents' frames to the callers.
//
//	fabric -> service socket -> (route) -> flow socket -> agent
//	fabric <- service socket <--------- flow socket <- agent
//
// One goroutine reads each service's socket and one reads the flow socket, in batches. No state is kept per flow.
package front

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

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
	// batchSize is how many packets one system call reads at most.
	batchSize         = 32
	maxPacketBytes    = 2048
	socketBufferBytes = 4 << 20
	// reroutePause is the pause between two kept packets that are rerouted: an agent queues few packets to answer with
	// stateless resets.
	reroutePause = 2 * time.Millisecond
)

// Forwarder forwards packets between callers and agents. Update adapts its sockets to the catalogue.
type Forwarder struct {
	log   logs.Logger
	group *group.Group
	// listenIP replaces the IP address of every entry if it is valid.
	listenIP netip.Addr
	// view returns the latest view.
	view func() *ctrl.View
	// flow is the socket on the flow address, on which frames are exchanged with agents.
	flow *net.UDPConn

	// sockets has the socket of each service that is served. The map is replaced as a whole and never modified.
	sockets atomic.Pointer[map[state.ServiceID]*socket]
	// mu serialises calls of Update.
	mu     sync.Mutex
	counts counts

	// keptMu protects kept.
	keptMu sync.Mutex
	// kept holds packets of callers whose agents are suspected to be dead.
	kept *route.Kept
}

// socket receives callers' packets for one service and sends them the answers.
type socket struct {
	service state.ServiceID
	name    state.ServiceName
	address netip.AddrPort
	conn    *net.UDPConn
}

// counts are the counters of forwarded and dropped packets.
type counts struct {
	// outcomes counts callers' packets by how they were routed or why they were dropped.
	outcomes [route.OutcomeCount]*metrics.Counter
	// forged counts frames from agents that were dropped because they are malformed, forged or not meant for a caller.
	forged *metrics.Counter
	// answers counts packets that were forwarded to callers.
	answers *metrics.Counter
	// unknownService counts packets to callers that were dropped because their service has no socket here.
	unknownService *metrics.Counter
}

// New returns a forwarder that exchanges frames with agents on the flow address. If listenIP is valid, the service sockets
// listen on it instead of on the IP addresses of the catalogue entries.
func New(g *group.Group, flow netip.AddrPort, listenIP netip.Addr, view func() *ctrl.View, log logs.Logger, set *metrics.Set) (*Forwarder, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(flow))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "can't listen on flowAddress %s", flow)
	}
	enlargeSocketBuffers(conn)
	f := &Forwarder{
		log:      log.Part("balancer"),
		group:    g,
		listenIP: listenIP,
		view:     view,
		flow:     conn,
		counts:   newCounts(set),
		kept:     route.NewKept(),
	}
	f.sockets.Store(&map[state.ServiceID]*socket{})
	g.Go("answer forwarder", f.forwardAnswers)
	return f, nil
}

// Update opens and closes sockets so that they match the catalogue entries of a view, and reroutes the kept packets of the
// agents that are dead in it. If a socket can't be opened, the next Update tries again.
func (f *Forwarder) Update(v *ctrl.View) {
	f.rerouteKept(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *f.sockets.Load()
	updated := make(map[state.ServiceID]*socket, len(v.Entries))
	for id, e := range v.Entries {
		address := f.listenAddress(e)
		if s, ok := old[id]; ok && s.address == address {
			updated[id] = s
			continue
		}
		s, err := f.openSocket(id, e.Service, address)
		if err != nil {
			f.log.Error("service is not served: its socket can't be opened; the next view tries again", "service", e.Service, "address", address, "err", errs.Text(err))
			continue
		}
		updated[id] = s
	}
	f.sockets.Store(&updated)
	for id, s := range old {
		if updated[id] != s {
			f.log.Info("service is no longer served at this address; its socket is closed", "service", s.name, "address", s.address)
			_ = s.conn.Close()
		}
	}
}

// ServicesServed returns the number of services that have a socket.
func (f *Forwarder) ServicesServed() int { return len(*f.sockets.Load()) }

// listenAddress returns the address on which the socket of an entry's service listens.
func (f *Forwarder) listenAddress(e state.Entry) netip.AddrPort {
	if f.listenIP.IsValid() {
		return netip.AddrPortFrom(f.listenIP, e.Address.Port())
	}
	return e.Address
}

// openSocket opens the socket of a service and starts to forward the packets that arrive on it.
func (f *Forwarder) openSocket(id state.ServiceID, name state.ServiceName, address netip.AddrPort) (*socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't listen on the service's address")
	}
	enlargeSocketBuffers(conn)
	s := &socket{service: id, name: name, address: address, conn: conn}
	f.log.Info("service is served; its socket is open", "service", name, "address", address)
	f.group.Go("packet forwarder of "+string(name), func(ctx context.Context) error {
		f.forwardPackets(ctx, s)
		return nil
	})
	return s, nil
}

// forwardPackets forwards callers' packets for one service to agents until a read fails, as it does when the socket is
// closed.
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
			if outcome == route.Established && v.Table.Suspects(to) {
				f.keep(to, s.service, received.sender(i), packet)
			}
			encoded := codec.Encode(received.buffers[i], v.Keys, frame.Frame{
				Kind:    frame.KindToAgent,
				Service: s.service,
				Caller:  received.sender(i),
				Packet:  packet,
			})
			sending = append(sending, newMessage(encoded, to))
		}
		writeAll(out, sending)
	}
}

// keep keeps a packet that is forwarded to a suspected agent.
func (f *Forwarder) keep(agent netip.AddrPort, service state.ServiceID, caller netip.AddrPort, packet []byte) {
	f.keptMu.Lock()
	defer f.keptMu.Unlock()
	f.kept.Keep(agent, service, caller, packet)
}

// rerouteKept routes the kept packets of the agents that are dead in a view to other agents, which reset their callers.
func (f *Forwarder) rerouteKept(v *ctrl.View) {
	f.keptMu.Lock()
	packets := f.kept.TakeOfDead(v.Table)
	f.keptMu.Unlock()
	if len(packets) == 0 {
		return
	}
	f.log.Info("rerouting packets of callers whose agents are dead, so that other agents reset them", "packets", len(packets))
	f.group.Task(func() {
		var reader connid.Reader
		var codec frame.Codec
		out := ipv4.NewPacketConn(f.flow)
		for _, p := range packets {
			f.reroute(v, &reader, &codec, out, p)
			if !group.Sleep(f.group.Context(), reroutePause) {
				return
			}
		}
	})
}

// reroute routes one kept packet with the table of a view.
func (f *Forwarder) reroute(v *ctrl.View, reader *connid.Reader, codec *frame.Codec, out *ipv4.PacketConn, p route.KeptPacket) {
	to, outcome := v.Table.Decide(v.Keys, reader, p.Service, p.Packet)
	f.counts.outcomes[outcome].Inc()
	if outcome != route.Rerouted {
		return
	}
	encoded := codec.Encode(make([]byte, frame.Overhead+len(p.Packet)), v.Keys, frame.Frame{
		Kind: frame.KindToAgent, Service: p.Service, Caller: p.Caller, Packet: p.Packet,
	})
	writeAll(out, []ipv4.Message{newMessage(encoded, to)})
}

// forwardAnswers forwards the packets in agents' frames to callers until the context ends.
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
				f.counts.unknownService.Inc()
				continue
			}
			f.counts.answers.Inc()
			// A send error is ignored: the packet counts as lost in the network.
			_, _ = s.conn.WriteToUDPAddrPort(answer.Packet, answer.Caller)
		}
	}
}

// newCounts registers the counters in set.
func newCounts(set *metrics.Set) counts {
	c := counts{
		forged:         set.NewCounter("monsoonstep_answers_forged_total"),
		answers:        set.NewCounter("monsoonstep_answers_total"),
		unknownService: set.NewCounter("monsoonstep_answers_strayed_total"),
	}
	for o := range route.OutcomeCount {
		c.outcomes[o] = set.NewCounter(`monsoonstep_packets_total{outcome="` + o.String() + `"}`)
	}
	return c
}
