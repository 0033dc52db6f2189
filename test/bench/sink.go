package main

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"monsoonstep/io/group"
)

// sink counts the packets that arrive at an address.
type sink struct {
	conn  *net.UDPConn
	group *group.Group
	count atomic.Int64
	// received, if set, is called with each packet.
	received func([]byte)
}

// newSink starts a sink at an address.
func newSink(ctx context.Context, address netip.AddrPort) (*sink, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(8 << 20)
	g, err := group.New(ctx)
	if err != nil {
		return nil, err
	}
	s := &sink{conn: conn, group: g}
	g.Go("sink", func(context.Context) error {
		packets := ipv4.NewPacketConn(conn)
		batch := newMessages(64)
		for {
			n, err := packets.ReadBatch(batch, 0)
			if err != nil {
				return nil
			}
			s.count.Add(int64(n))
			for i := range n {
				if s.received != nil {
					s.received(batch[i].Buffers[0][:batch[i].N])
				}
			}
		}
	})
	return s, nil
}

func (s *sink) close() {
	_ = s.conn.Close()
	s.group.Stop()
	_ = s.group.Wait()
}

// flood sends copies of a packet for relayRoundDuration, from floodSenders senders, each as fast as it can.
func flood(ctx context.Context, packet []byte, to netip.AddrPort) error {
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	end := time.Now().Add(relayRoundDuration)
	for range floodSenders {
		g.Go("sender", func(context.Context) error {
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			packets := ipv4.NewPacketConn(conn)
			batch := newMessages(32)
			for i := range batch {
				batch[i].Buffers[0] = packet
				batch[i].Addr = net.UDPAddrFromAddrPort(to)
			}
			for time.Now().Before(end) {
				_, _ = packets.WriteBatch(batch, 0)
			}
			return nil
		})
	}
	return g.Wait()
}

// newMessages returns a batch of n messages with buffers for whole packets.
func newMessages(n int) []ipv4.Message {
	batch := make([]ipv4.Message, n)
	for i := range batch {
		batch[i].Buffers = [][]byte{make([]byte, 2048)}
	}
	return batch
}
