package connid

// Packet is what a balancer needs of a QUIC packet's unprotected header.
type Packet struct {
	// ID is the destination connection ID; it points into the packet.
	ID []byte
	// LongHeader is true for a long header: the packets of a handshake.
	LongHeader bool
	// MayOpenFlow is true for a packet that may open a flow (version 1 or 2 MayOpenFlow, or 0-RTT).
	MayOpenFlow bool
}

const (
	longHeaderBit  = 0x80
	fixedBit       = 0x40
	longIDOffset   = 6
	maxIDLength    = 20
	typeShift      = 4
	typeMask       = 0x3
	quicVersion1   = 1
	quicVersion2   = 0x6b3343cf
	minFirstPacket = 1200
)

// ParsePacket reads the header fields of RFC 8999 that every version of QUIC shares, and the type
// bits of versions 1 and 2 (RFC 9000, section 17.2; RFC 9369). It returns false for what is no QUIC
// packet of a length that can be routed.
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
	if length > maxIDLength || len(p) < longIDOffset+length {
		return Packet{}, false
	}
	version := uint32(p[1])<<24 | uint32(p[2])<<16 | uint32(p[3])<<8 | uint32(p[4])
	return Packet{
		ID:          p[longIDOffset : longIDOffset+length],
		LongHeader:  true,
		MayOpenFlow: opensFlow(first, version) && len(p) >= minFirstPacket,
	}, true
}

func opensFlow(first byte, version uint32) bool {
	kind := first >> typeShift & typeMask
	switch version {
	case quicVersion1:
		return kind == 0 || kind == 1
	case quicVersion2:
		return kind == 1 || kind == 2
	default:
		return true
	}
}
