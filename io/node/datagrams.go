package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/hops"
	"monsoonstep/core/state"
)

// source is the kind of sender from which a datagram was received; each has a socket of its own.
type source uint8

// The sources.
const (
	fromNodes source = iota
	fromClients
	fromTarget
	sourceCount
)

// String returns the name of the source in metrics.
func (s source) String() string { return [...]string{"nodes", "clients", "target"}[s] }

// datagram is a received datagram. Its contents are the first length bytes of buffer.
type datagram struct {
	source source
	from   netip.AddrPort
	buffer []byte
	length int
}

// listen opens a UDP socket on an address. The name says in the error which address of the settings it is.
func listen(address netip.AddrPort, name string) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, errs.BadSettings, "can't listen on %s address %s", name, address)
	}
	return conn, nil
}

// startReceiver starts a goroutine that reads a socket and queues the datagrams for the event loop.
func (n *node) startReceiver(name string, conn *net.UDPConn, from source) {
	n.group.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		for {
			buffer := n.buffer()
			length, sender, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				if errors.Is(err, net.ErrClosed) {
					return errs.Wrap(err, errs.Internal, "%s", name)
				}
				// If nothing listens on the port of an earlier datagram's destination, the system reports it as an error of the
				// next read. The socket remains usable.
				continue
			}
			n.enqueue(datagram{source: from, from: sender, buffer: buffer, length: length})
		}
	})
}

// enqueue queues a datagram for the event loop, or drops and counts it if the queue is full.
func (n *node) enqueue(d datagram) {
	select {
	case n.queues[d.source] <- d:
	default:
		n.dropped[d.source].Inc()
		if d.source == fromNodes {
			n.droppedFromNodes.Add(1)
		}
		n.recycle(d.buffer)
	}
}

// buffer returns a free receive buffer, or a new one.
func (n *node) buffer() []byte {
	select {
	case b := <-n.freeBuffers:
		return b
	default:
		return make([]byte, maxDatagramBytes)
	}
}

// recycle makes a receive buffer available for reuse.
func (n *node) recycle(b []byte) {
	select {
	case n.freeBuffers <- b:
	default:
	}
}

// handleDatagram decodes a datagram and passes it to the handler for its source and type.
func (n *node) handleDatagram(now time.Time, d datagram) {
	packet := d.buffer[:d.length]
	if d.source != fromNodes {
		decode := n.codec.Decode
		if d.source == fromTarget {
			decode = n.codec.DecodeOutbound
		}
		seg, err := decode(packet)
		if err != nil {
			n.unreadable.Inc()
			return
		}
		n.onPacket(now, d.source, seg)
		return
	}
	messageType, ok := hops.TypeOf(packet)
	if !ok {
		n.unreadable.Inc()
		return
	}
	n.onNodeHeard(now)
	if messageType == hops.TypeGossip {
		n.handleGossip(now, d.from, packet)
		return
	}
	n.handleRelay(now, d.from, packet)
}

// handleGossip handles a gossip message. A sender that meant it for another instance, such as one that had this address before, is
// sent an introduction so that it learns which instance is at the address now.
func (n *node) handleGossip(now time.Time, from netip.AddrPort, packet []byte) {
	m, err := hops.DecodeGossip(packet)
	if err != nil {
		n.unreadable.Inc()
		return
	}
	n.traffic.received[gossipKind].Add(len(packet))
	n.sendGossip(n.fleet.receive(now, from, m))
	n.updateMembers(now)
	n.notePeer()
	if m.To != "" && m.To != n.fleet.machine.Self().ID {
		n.sendGossip(n.fleet.introduce(now, from))
	}
}

// notePeer closes heardPeer at the first call.
func (n *node) notePeer() {
	select {
	case <-n.heardPeer:
	default:
		close(n.heardPeer)
	}
}

// handleRelay handles a message about flows.
func (n *node) handleRelay(now time.Time, from netip.AddrPort, packet []byte) {
	m, err := hops.DecodeRelay(packet)
	if err != nil {
		n.unreadable.Inc()
		return
	}
	n.traffic.received[m.Kind].Add(len(packet))
	var seg state.Segment
	if len(m.Packet) > 0 {
		if seg, err = n.codec.Decode(m.Packet); err != nil {
			n.unreadable.Inc()
			return
		}
	}
	n.sendGossip(n.fleet.introduce(now, from))
	n.onRelay(now, from, m, seg)
}

// send sends a message to another node. Only the event loop may call it.
func (n *node) send(to netip.AddrPort, m relay.Message) {
	n.scratch = hops.AppendRelay(n.scratch[:0], m)
	n.traffic.sent[m.Kind].Add(len(n.scratch))
	n.write(n.internal, to, n.scratch)
}

// sendGossip sends gossip messages. Only the event loop may call it.
func (n *node) sendGossip(sends []gossip.Send) {
	for _, s := range sends {
		n.scratch = hops.AppendGossip(n.scratch[:0], s.Message)
		n.traffic.sent[gossipKind].Add(len(n.scratch))
		n.write(n.internal, s.To, n.scratch)
	}
}

// write sends a datagram. One that can't be sent is counted and otherwise treated like one that the network lost.
func (n *node) write(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil && !errors.Is(err, os.ErrClosed) {
		n.unsent.Inc()
	}
}
