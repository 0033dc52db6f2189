package connid

// Packet has the fields of a QUIC packet's unprotected header that routing needs.
type Packet struct {
	// ID is the destination connection ID. It points into the packet that was parsed.
	ID []byte
	// LongHeader is true for a packet with a long header, as the packets of a handshake have.
	LongHeader bool
	// MayOpenFlow is true for a packet of at least 1,200 bytes that may be the first of a flow: an Initial
	// or 0-RTT packet of version 1 or 2, or any packet with a long header of another version.
	MayOpenFlow bool
}

const (
	longHeaderBit      = 0x80
	fixedBit           = 0x40
	longHeaderIDOffset = 6
	maxIDBytes         = 20
	typeShift          = 4
	typeMask           = 0x3
	quicVersion1       = 1
	quicVersion2       = 0x6b3343cf
	// minOpeningPacketBytes is the least size of a datagram with an Initial packet (RFC 9000, section 14.1).
	minOpeningPacketBytes = 1200
)

// ParsePacket reads the header fields that all versions of QUIC share (RFC 8999) and the packet type of
// versions 1 and 2 (RFC 9000, section 17.2; RFC 9369). It returns false if p is not a QUIC packet or is
// shorter than a short header with a connection ID of Size bytes.
func ParsePacket(p []byte) (Packet, bool) {
	if len(p) < 1+Size {
		return Packet{}, false
	}
	first := p[0]
	if first&fixedBit == 0 {
		return Packet{}, false
	}
	if first&longHeaderBit == 0 {
		return Packet{ID: p[1 : 1+Size]}, true
	}
	length := int(p[5])
	if length > maxIDBytes || len(p) < longHeaderIDOffset+length {
		return Packet{}, false
	}
	version := uint32(p[1])<<24 | uint32(p[2])<<16 | uint32(p[3])<<8 | uint32(p[4])
	return Packet{
		ID:          p[longHeaderIDOffset : longHeaderIDOffset+length],
		LongHeader:  true,
		MayOpenFlow: mayOpenFlow(first, version) && len(p) >= minOpeningPacketBytes,
	}, true
}

// mayOpenFlow reports whether a packet with a long header may open a flow, by the type in its first byte.
// Initial and 0-RTT are types 0 and 1 in version 1, and types 1 and 2 in version 2.
func mayOpenFlow(first byte, version uint32) bool {
	packetType := first >> typeShift & typeMask
	switch version {
	case quicVersion1:
		return packetType == 0 || packetType == 1
	case quicVersion2:
		return packetType == 1 || packetType == 2
	default:
		return true
	}
}
