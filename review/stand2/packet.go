package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// headBytes is the length of a packet's head, whose fields PROTOCOL.md gives.
const headBytes = 34

// The bits of the flags.
const (
	flagSyn     = 64
	flagAck     = 128
	flagFin     = 8
	flagRst     = 16
	flagBounced = 4
)

// sumKey is the key of the sums, which only the two ends of a flow know.
const sumKey = 0x5eed1e55c0ffee11

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func (e end) String() string { return fmt.Sprintf("%s:%d", netip.AddrFrom4(e.ip), e.port) }

// flowKey names a flow by its two ends.
type flowKey struct{ client, virtual end }

func (k flowKey) String() string { return k.client.String() + ">" + k.virtual.String() }

// packet is a packet of a flow.
type packet struct {
	flags    byte
	pad      [3]byte
	src, dst end
	seq, ack uint32
	sum      uint32
	echo     uint32
	data     []byte
}

// encode returns the packet's bytes with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	b[0] = p.flags
	copy(b[4:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[8:], p.src.port)
	copy(b[10:], p.dst.ip[:])
	binary.BigEndian.PutUint16(b[14:], p.dst.port)
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	binary.BigEndian.PutUint16(b[28:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[24:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	h := fnv.New64a()
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], sumKey)
	_, _ = h.Write(key[:])
	_, _ = h.Write([]byte{b[0] &^ flagBounced})
	_, _ = h.Write(b[4:24])
	_, _ = h.Write(b[28:30])
	_, _ = h.Write(b[headBytes:])
	sum := h.Sum64()
	return uint32(sum>>32) ^ uint32(sum) | 1
}

// decode returns a packet, and whether its sender wrote it so: that its length and its sum are right. A reset of the system has sum 0.
func decode(b []byte) (packet, bool) {
	if len(b) < headBytes {
		return packet{}, false
	}
	p := packet{
		flags: b[0],
		pad:   [3]byte(b[1:4]),
		src:   end{ip: [4]byte(b[4:8]), port: binary.BigEndian.Uint16(b[8:])},
		dst:   end{ip: [4]byte(b[10:14]), port: binary.BigEndian.Uint16(b[14:])},
		seq:   binary.BigEndian.Uint32(b[16:]),
		ack:   binary.BigEndian.Uint32(b[20:]),
		sum:   binary.BigEndian.Uint32(b[24:]),
		echo:  binary.BigEndian.Uint32(b[30:]),
		data:  append([]byte(nil), b[headBytes:]...),
	}
	length := int(binary.BigEndian.Uint16(b[28:]))
	return p, length == len(p.data) && p.sum == sumOf(b)
}
