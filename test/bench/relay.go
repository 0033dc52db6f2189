package main

import (
	"context"
	"net"
	"net/netip"
	"os"

	"golang.org/x/net/ipv4"
)

// runBareRelay forwards all packets that arrive at one address to another, in batches of the same size as the
// balancer's. It is the baseline of benchRelay. The two addresses are the arguments after "relay".
func runBareRelay(ctx context.Context, _ string) error {
	from, to := netip.MustParseAddrPort(os.Args[2]), netip.MustParseAddrPort(os.Args[3])
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(from))
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetReadBuffer(4 << 20)
	_ = conn.SetWriteBuffer(4 << 20)
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	_ = out.SetWriteBuffer(4 << 20)
	inPackets, outPackets := ipv4.NewPacketConn(conn), ipv4.NewPacketConn(out)
	batch := newMessages(32)
	forward := make([]ipv4.Message, 0, 32)
	for {
		n, err := inPackets.ReadBatch(batch, 0)
		if err != nil {
			return nil
		}
		forward = forward[:0]
		for i := range n {
			forward = append(forward, ipv4.Message{
				Buffers: [][]byte{batch[i].Buffers[0][:batch[i].N]},
				Addr:    net.UDPAddrFromAddrPort(to),
			})
		}
		for len(forward) > 0 {
			sent, err := outPackets.WriteBatch(forward, 0)
			if err != nil {
				sent = max(sent, 0) + 1
			}
			forward = forward[min(sent, len(forward)):]
		}
	}
}
