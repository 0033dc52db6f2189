package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The header of a packet and its flags, as PROTOCOL.md gives them.
const (
	headerBytes = 34
	flagSyn     = 64
	flagAck     = 128
	flagFin     = 8
	flagRst     = 16
	flagBounced = 4
)

// sumKey is the key of the checksum, which the node programs don't know.
const sumKey = "review-of-monsoonstep"

// packet is one datagram of a flow.
type packet struct {
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

// header returns the encoded header with a checksum.
func (p packet) header(sum uint32) []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	b[0] = p.flags
	putAddress(b[4:], p.src)
	putAddress(b[10:], p.dst)
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	binary.BigEndian.PutUint32(b[24:], sum)
	binary.BigEndian.PutUint16(b[28:], uint16(len(p.data)))
	return b
}

// checksum returns the keyed sum over all fields except echo, pad and BOUNCED.
func (p packet) checksum() uint32 {
	p.flags &^= flagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(p.header(0))
	_, _ = h.Write(p.data)
	return h.Sum32()
}

// encode returns the packet as bytes, with its checksum.
func (p packet) encode() []byte { return append(p.header(p.checksum()), p.data...) }

// decode parses a packet; it returns false if the header is incomplete or the length is wrong.
func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[28:])) != len(b)-headerBytes {
		return packet{}, false
	}
	return packet{
		flags: b[0],
		src:   addressAt(b[4:]),
		dst:   addressAt(b[10:]),
		seq:   binary.BigEndian.Uint32(b[16:]),
		ack:   binary.BigEndian.Uint32(b[20:]),
		sum:   binary.BigEndian.Uint32(b[24:]),
		data:  append([]byte(nil), b[headerBytes:]...),
	}, true
}

// intact reports whether the packet is as its sender wrote it.
func (p packet) intact() bool { return p.sum == p.checksum() }

// has reports whether all the given flags are set.
func (p packet) has(flags byte) bool { return p.flags&flags == flags }

func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func addressAt(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}

// flowKey identifies a flow by the client's end and the route's address.
type flowKey struct{ client, virtual netip.AddrPort }

func (k flowKey) String() string { return k.client.String() + "->" + k.virtual.String() }
