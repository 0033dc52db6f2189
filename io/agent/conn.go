package agent

import (
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/connid"
	"monsoonstep/core/proto/frame"
	"monsoonstep/core/state"
	"monsoonstep/io/ctrl"
)

const (
	maxPacketSize    = 2048
	socketBufferSize = 4 << 20
	// maxRecentNewFlows is the number of recent new flows that are kept, so that this agent processes all packets
	// of a flow's first flight even if it stops accepting flows meanwhile.
	maxRecentNewFlows = 8192
	// minResetTriggerSize is the size in bytes to which padForReset pads shorter packets, so that quic-go may
	// reply with a stateless reset: the reset must be shorter than the packet that triggers it (RFC 9000,
	// section 10.3).
	minResetTriggerSize = 48
)

// packetConn is the net.PacketConn of the QUIC transport. It reads callers' packets from the frames that
// balancers send, and sends packets to callers through a balancer. It does not embed *net.UDPConn, because
// quic-go would then read from the socket directly and bypass ReadFrom.
type packetConn struct {
	udp     *net.UDPConn
	ids     *idGenerator
	id      state.InstanceID
	service state.ServiceID
	view    func() *ctrl.View
	// acceptsFlows reports whether this agent accepts new flows; if not, they are forwarded to another agent.
	acceptsFlows func() bool

	readBuffer [maxPacketSize + frame.Overhead]byte
	codec      frame.Codec
	reader     connid.Reader
	// recentNewFlows holds the hashes of the destination connection IDs in the first packets of recent new
	// flows.
	recentNewFlows *lru.Cache[uint64, struct{}]
	// lastBalancer maps each caller to the balancer that delivered its last packet.
	lastBalancer *lru.Cache[netip.AddrPort, netip.AddrPort]
	sender       frameSender
	counters     connCounters
}

type connCounters struct {
	forged     *metrics.Counter
	foreign    *metrics.Counter
	forwarded  *metrics.Counter
	noBalancer *metrics.Counter
}

func newPacketConn(address netip.AddrPort, id state.InstanceID, service state.ServiceID, maxTrackedCallers int,
	view func() *ctrl.View, acceptsFlows func() bool, set *metrics.Set,
) (*packetConn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "can't listen on flowAddress %s", address)
	}
	_ = udp.SetReadBuffer(socketBufferSize)
	_ = udp.SetWriteBuffer(socketBufferSize)
	lastBalancer, err := lru.New[netip.AddrPort, netip.AddrPort](maxTrackedCallers)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't create the cache of callers' balancers")
	}
	recentNewFlows, err := lru.New[uint64, struct{}](maxRecentNewFlows)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "can't create the cache of recent new flows")
	}
	return &packetConn{
		udp:            udp,
		ids:            newIDGenerator(view, address, service),
		id:             id,
		service:        service,
		view:           view,
		acceptsFlows:   acceptsFlows,
		recentNewFlows: recentNewFlows,
		lastBalancer:   lastBalancer,
		sender:         newFrameSender(),
		counters: connCounters{
			forged:     set.NewCounter(`monsoonstep_frames_dropped_total{reason="forged"}`),
			foreign:    set.NewCounter(`monsoonstep_frames_dropped_total{reason="foreign"}`),
			forwarded:  set.NewCounter("monsoonstep_flows_passed_total"),
			noBalancer: set.NewCounter(`monsoonstep_frames_dropped_total{reason="noBalancer"}`),
		},
	}, nil
}

// ReadFrom returns the next packet of a caller. Forged frames and frames of another service are dropped and
// counted; the first packet of a new flow may be forwarded to another agent.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(c.readBuffer[:])
		if err != nil {
			return 0, nil, err
		}
		v := c.view()
		f, ok := c.codec.Decode(c.readBuffer[:n], v.Keys)
		if !ok || f.Kind == frame.KindToCaller {
			c.counters.forged.Inc()
			continue
		}
		if f.Service != c.service {
			c.counters.foreign.Inc()
			continue
		}
		if c.forwardNewFlow(v, f) {
			c.counters.forwarded.Inc()
			continue
		}
		if f.Kind == frame.KindToAgent {
			c.lastBalancer.Add(f.Caller, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
		size := copy(p, f.Packet)
		return c.padForReset(v, p, size), net.UDPAddrFromAddrPort(f.Caller), nil
	}
}

// forwardNewFlow forwards the first packet of a new flow to another agent if this one accepts no new flows,
// and reports whether it did. A packet is forwarded at most once.
func (c *packetConn) forwardNewFlow(v *ctrl.View, f frame.Frame) bool {
	packet, ok := connid.ParsePacket(f.Packet)
	if !ok || !packet.MayOpenFlow {
		return false
	}
	hash := xxhash.Sum64(packet.ID)
	if c.acceptsFlows() {
		c.recentNewFlows.Add(hash, struct{}{})
		return false
	}
	if f.Kind == frame.KindForwarded || c.recentNewFlows.Contains(hash) {
		return false
	}
	if r, ours := c.reader.Read(v.Keys, packet.ID); ours && c.ids.isOwn(r) {
		return false
	}
	to, ok := v.Table.ChooseOther(c.service, hash, c.id)
	if !ok {
		return false
	}
	f.Kind = frame.KindForwarded
	c.sender.send(c.udp, v, f, to.Flow)
	return true
}

// padForReset pads a short packet of a flow that belonged to another process, which no longer runs, and
// returns the packet's new size. quic-go replies to an unknown connection ID with a stateless reset only if the
// packet is longer than the reset, and the packet of a keepalive is shorter. The reset can't cause a loop of
// resets, because the packet is not a reset itself: its connection ID was made by this fleet.
func (c *packetConn) padForReset(v *ctrl.View, p []byte, size int) int {
	if size >= minResetTriggerSize || len(p) < minResetTriggerSize {
		return size
	}
	packet, ok := connid.ParsePacket(p[:size])
	if !ok || packet.LongHeader {
		return size
	}
	if r, ours := c.reader.Read(v.Keys, packet.ID); !ours || c.ids.isOwn(r) {
		return size
	}
	clear(p[size:minResetTriggerSize])
	return minResetTriggerSize
}

// WriteTo sends a packet to a caller through the balancer that delivered the caller's last packet, or
// through any other if that one is no longer available.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	udp, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, errs.New(errs.Internal, "address %v is not a UDP address", to)
	}
	caller := udp.AddrPort()
	caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
	v := c.view()
	balancer, ok := c.balancerFor(v, caller)
	if !ok {
		c.counters.noBalancer.Inc()
		return len(p), nil
	}
	c.sender.send(c.udp, v, frame.Frame{
		Kind:    frame.KindToCaller,
		Service: c.service,
		Caller:  caller,
		Packet:  p,
	}, balancer)
	return len(p), nil
}

// balancerFor returns the balancer for packets to a caller: the one that delivered the caller's last packet while
// it forwards packets, otherwise one that is chosen by the caller's port.
func (c *packetConn) balancerFor(v *ctrl.View, caller netip.AddrPort) (netip.AddrPort, bool) {
	last, known := c.lastBalancer.Get(caller)
	if known && v.IsBalancer[last] {
		return last, true
	}
	if len(v.Balancers) == 0 {
		return last, known
	}
	hash := state.Mix(uint64(caller.Port()))
	return v.Balancers[hash%uint64(len(v.Balancers))], true
}

// Close closes the socket.
func (c *packetConn) Close() error { return c.udp.Close() }

// LocalAddr returns the socket's address.
func (c *packetConn) LocalAddr() net.Addr { return c.udp.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.udp.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(t time.Time) error { return c.udp.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(t time.Time) error { return c.udp.SetWriteDeadline(t) }

// SetReadBuffer lets quic-go set the size of the socket's buffer. It does nothing, because newPacketConn has
// set the size.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, for the same reason as SetReadBuffer.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// frameSender encodes and sends frames. It is safe for concurrent use: each send has a buffer of its own.
type frameSender struct {
	free chan *sendBuffer
}

type sendBuffer struct {
	codec frame.Codec
	bytes [maxPacketSize + frame.Overhead]byte
}

// maxFreeBuffers is how many buffers a frameSender keeps for reuse.
const maxFreeBuffers = 64

func newFrameSender() frameSender { return frameSender{free: make(chan *sendBuffer, maxFreeBuffers)} }

// send encodes and sends a frame. Errors are ignored: QUIC recovers from the loss of the packet as it does
// from a loss in the network.
func (o frameSender) send(udp *net.UDPConn, v *ctrl.View, f frame.Frame, to netip.AddrPort) {
	var b *sendBuffer
	select {
	case b = <-o.free:
	default:
		b = new(sendBuffer)
	}
	if len(f.Packet) <= maxPacketSize {
		_, _ = udp.WriteToUDPAddrPort(b.codec.Encode(b.bytes[:], v.Keys, f), to)
	}
	select {
	case o.free <- b:
	default:
	}
}
