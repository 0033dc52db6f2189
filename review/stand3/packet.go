package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// headerBytes is the size of a packet's header.
const headerBytes = 34

// The flags of a packet.
const (
	flagBounced = 4
	flagFin     = 8
	flagRst     = 16
	flagSyn     = 64
	flagAck     = 128
)

// sound is the sum that the stand-ins write. The system's own resets have the sum zero.
const sound = 0xa1b2c3d5

// packet is one datagram between a client and an endpoint.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

// encode returns the packet as it is on the wire.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	b[0] = p.flags
	copy(b[4:], src[:])
	binary.BigEndian.PutUint16(b[8:], p.src.Port())
	copy(b[10:], dst[:])
	binary.BigEndian.PutUint16(b[14:], p.dst.Port())
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	binary.BigEndian.PutUint32(b[24:], p.sum)
	binary.BigEndian.PutUint16(b[28:], uint16(len(p.data)))
	return append(b, p.data...)
}

// decode parses a packet; it fails if the header is incomplete.
func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes {
		return packet{}, false
	}
	return packet{
		flags: b[0],
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[14:])),
		seq:   binary.BigEndian.Uint32(b[16:]),
		ack:   binary.BigEndian.Uint32(b[20:]),
		sum:   binary.BigEndian.Uint32(b[24:]),
		data:  append([]byte(nil), b[headerBytes:]...),
	}, true
}

// flowKey identifies a flow by the client's address and the address of the route.
type flowKey struct{ client, route netip.AddrPort }

// String returns the key as it stands in the record.
func (k flowKey) String() string { return fmt.Sprintf("%s>%s", k.client, k.route) }
