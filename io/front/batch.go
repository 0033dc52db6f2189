package front

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// batch holds the buffers for the packets of one batched read.
type batch struct {
	messages []ipv4.Message
	// buffers has the whole buffer of each packet, with free bytes before the packet for the header of a frame, so that the
	// packet is framed without copying it: messages[i].Buffers[0] is buffers[i] without these free bytes.
	buffers [][]byte
}

// newBatch returns a batch that leaves overhead bytes free before each packet.
func newBatch(overhead int) batch {
	b := batch{
		messages: make([]ipv4.Message, batchSize),
		buffers:  make([][]byte, batchSize),
	}
	for i := range b.messages {
		b.buffers[i] = make([]byte, overhead+maxPacketBytes)
		b.messages[i].Buffers = [][]byte{b.buffers[i][overhead:]}
	}
	return b
}

// packet returns the i-th packet of the last read.
func (b batch) packet(i int) []byte { return b.messages[i].Buffers[0][:b.messages[i].N] }

// sender returns the address from which the i-th packet came, or the zero address if it is not known.
func (b batch) sender(i int) netip.AddrPort {
	udp, ok := b.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := udp.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// newMessage returns a message that sends packet to an address.
func newMessage(packet []byte, to netip.AddrPort) ipv4.Message {
	return ipv4.Message{Buffers: [][]byte{packet}, Addr: net.UDPAddrFromAddrPort(to)}
}

// writeAll sends messages in batches. After a send error it skips the message that failed, which counts as lost in the network.
func writeAll(conn *ipv4.PacketConn, messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := conn.WriteBatch(messages, 0)
		if err != nil {
			n = max(n, 0) + 1
		}
		messages = messages[min(n, len(messages)):]
	}
}

// enlargeSocketBuffers requests large socket buffers. Errors are ignored, and the operating system may grant less.
func enlargeSocketBuffers(conn *net.UDPConn) {
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
}
