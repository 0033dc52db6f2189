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
	maxPacket    = 2048
	socketBuffer = 4 << 20
	// recentOpenings is how many new flows are remembered, so that all packets of a first flight stay here.
	recentOpenings = 8192
	// minReset is a length of packet for which QUIC's rules allow a stateless reset to be sent.
	minReset = 48
)

// packetConn gives QUIC the callers' packets that balancers deliver in frames, and sends its packets
// back by way of a balancer. It embeds no *net.UDPConn, because quic-go would then read past it.
type packetConn struct {
	udp     *net.UDPConn
	ids     *idGenerator
	id      state.InstanceID
	service state.ServiceID
	view    func() *ctrl.View
	// takesNew reports whether new flows are taken here or passed on.
	takesNew func() bool

	in     [maxPacket + frame.Overhead]byte
	codec  frame.Codec
	reader connid.Reader
	// openings holds the hashes of the first connection IDs of recent new flows.
	openings *lru.Cache[uint64, struct{}]
	// via holds for each caller the balancer that delivered its last packet.
	via   *lru.Cache[netip.AddrPort, netip.AddrPort]
	out   outgoing
	count connCounts
}

type connCounts struct {
	forged  *metrics.Counter
	foreign *metrics.Counter
	passed  *metrics.Counter
	noWay   *metrics.Counter
}

func newPacketConn(address netip.AddrPort, id state.InstanceID, service state.ServiceID, flows int,
	view func() *ctrl.View, takesNew func() bool, set *metrics.Set,
) (*packetConn, error) {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "flowAddress %s can't be listened on", address)
	}
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	via, err := lru.New[netip.AddrPort, netip.AddrPort](flows)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "table of callers")
	}
	openings, err := lru.New[uint64, struct{}](recentOpenings)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "table of new flows")
	}
	return &packetConn{
		udp:      udp,
		ids:      newIDGenerator(view, address, service),
		id:       id,
		service:  service,
		view:     view,
		takesNew: takesNew,
		openings: openings,
		via:      via,
		out:      newOutgoing(),
		count: connCounts{
			forged:  set.NewCounter(`monsoonstep_frames_dropped_total{reason="forged"}`),
			foreign: set.NewCounter(`monsoonstep_frames_dropped_total{reason="foreign"}`),
			passed:  set.NewCounter("monsoonstep_flows_passed_total"),
			noWay:   set.NewCounter(`monsoonstep_frames_dropped_total{reason="noBalancer"}`),
		},
	}, nil
}

// ReadFrom returns the next packet of a caller. Frames that are forged, or of another service, are
// dropped and counted.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.udp.ReadFromUDPAddrPort(c.in[:])
		if err != nil {
			return 0, nil, err
		}
		v := c.view()
		f, ok := c.codec.Decode(c.in[:n], v.Keys)
		if !ok || f.Kind == frame.KindToCaller {
			c.count.forged.Inc()
			continue
		}
		if f.Service != c.service {
			c.count.foreign.Inc()
			continue
		}
		if c.passOn(v, f) {
			c.count.passed.Inc()
			continue
		}
		if f.Kind == frame.KindToAgent {
			c.via.Add(f.Caller, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
		size := copy(p, f.Packet)
		return c.lengthen(v, p, size), net.UDPAddrFromAddrPort(f.Caller), nil
	}
}

// passOn hands the first packet of a new flow to another agent when this one takes no new flows. A
// packet is passed on once at most.
func (c *packetConn) passOn(v *ctrl.View, f frame.Frame) bool {
	packet, ok := connid.ParsePacket(f.Packet)
	if !ok || !packet.MayOpenFlow {
		return false
	}
	hash := xxhash.Sum64(packet.ID)
	if c.takesNew() {
		c.openings.Add(hash, struct{}{})
		return false
	}
	if f.Kind == frame.KindForwarded || c.openings.Contains(hash) {
		return false
	}
	if r, ours := c.reader.Read(v.Keys, packet.ID); ours && c.ids.made(r) {
		return false
	}
	to, ok := v.Table.ChooseOther(c.service, hash, c.id)
	if !ok {
		return false
	}
	f.Kind = frame.KindForwarded
	c.out.send(c.udp, v, f, to.Flow)
	return true
}

// lengthen pads a short packet of a flow that another process held which is gone. QUIC answers an unknown connection ID with a
// stateless reset only if the packet is longer than the reset, which a keepalive is not; and such a
// packet can't be an answer to a reset, because its ID is one that the fleet made.
func (c *packetConn) lengthen(v *ctrl.View, p []byte, size int) int {
	if size >= minReset || len(p) < minReset {
		return size
	}
	packet, ok := connid.ParsePacket(p[:size])
	if !ok || packet.LongHeader {
		return size
	}
	if r, ours := c.reader.Read(v.Keys, packet.ID); !ours || c.ids.made(r) {
		return size
	}
	clear(p[size:minReset])
	return minReset
}

// WriteTo sends a packet to a caller by way of the balancer that delivered the caller's last packet,
// or of any other one if that is gone.
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
		c.count.noWay.Inc()
		return len(p), nil
	}
	c.out.send(c.udp, v, frame.Frame{
		Kind:    frame.KindToCaller,
		Service: c.service,
		Caller:  caller,
		Packet:  p,
	}, balancer)
	return len(p), nil
}

func (c *packetConn) balancerFor(v *ctrl.View, caller netip.AddrPort) (netip.AddrPort, bool) {
	last, known := c.via.Get(caller)
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

// SetReadBuffer tells quic-go that the buffer's size can be set; it has been.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer tells quic-go that the buffer's size can be set; it has been.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// outgoing encodes frames for several goroutines.
type outgoing struct {
	free chan *outBuffer
}

type outBuffer struct {
	codec frame.Codec
	bytes [maxPacket + frame.Overhead]byte
}

const freeBuffers = 64

func newOutgoing() outgoing { return outgoing{free: make(chan *outBuffer, freeBuffers)} }

// send encodes and sends a frame. One that the system does not take is lost like one that the network
// drops.
func (o outgoing) send(udp *net.UDPConn, v *ctrl.View, f frame.Frame, to netip.AddrPort) {
	var b *outBuffer
	select {
	case b = <-o.free:
	default:
		b = new(outBuffer)
	}
	if len(f.Packet) <= maxPacket {
		_, _ = udp.WriteToUDPAddrPort(b.codec.Encode(b.bytes[:], v.Keys, f), to)
	}
	select {
	case o.free <- b:
	default:
	}
}
