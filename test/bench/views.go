package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/proto/frame"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/ctrl"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
	"monsoonstep/test/fleet"
)

const (
	viewAgents = 7
	viewTime   = 15 * time.Second
	// flipPeriod is the time between two changes of the members: far more often than the 450 a day of letter 1.
	flipPeriod = 500 * time.Millisecond
	// flowBurst flights are sent between two pauses.
	flowBurst = 8
	flowPause = time.Millisecond
)

// benchViews sends first flights of two packets, one to each of two balancers, while agents drain and
// return, and counts the flights whose packets went to different agents.
func benchViews(ctx context.Context, f *fleet.Fleet) error {
	if _, err := f.StartBalancer(2); err != nil {
		return err
	}
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	seen := &flights{first: make(map[uint64]int)}
	var nodes []*ctrl.Node
	for i := range viewAgents {
		node, err := startViewAgent(ctx, g, f, i, seen)
		if err != nil {
			return err
		}
		nodes = append(nodes, node)
	}
	if err := fleet.WaitReady(f.Balancers...); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	g.Go("changes", func(ctx context.Context) error {
		for n := 0; ctx.Err() == nil; n++ {
			time.Sleep(flipPeriod)
			phase := []state.Phase{state.PhaseDraining, state.PhaseServing}[n%2]
			nodes[n/2%viewAgents].Announce(ctx, func(a *state.Announcement) { a.Phase = phase })
		}
		return nil
	})
	sent, err := sendFlights(f)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	split := float64(seen.split.Load()) / float64(max(1, seen.both.Load()))
	rate := float64(sent) / viewTime.Seconds()
	fmt.Printf("%d first flights of two packets, %.0f a second, %d arrived whole, %d met two views (%.3f%%), with a change of members every %v\n",
		sent, rate, seen.both.Load(), seen.split.Load(), 100*split, flipPeriod)
	atLeast("new_flows_a_second", rate, 2000)
	// A change moves the new flows of one agent; those that are split tell for how long views differed.
	differ := split * viewAgents * flipPeriod.Seconds()
	fmt.Printf("views differ for %.3f s a change; at letter 1's 450 changes a day that splits %.2g of the first flights\n",
		differ, differ*450/86400/viewAgents)
	atMost("views_differ_seconds_a_change", differ, inForceLimit.Seconds())
	return nil
}

// flights notes which agent each packet of a first flight reached.
type flights struct {
	mu    sync.Mutex
	first map[uint64]int
	both  atomic.Int64
	split atomic.Int64
}

func (s *flights) note(flight uint64, agent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	other, known := s.first[flight]
	if !known {
		s.first[flight] = agent
		return
	}
	s.both.Add(1)
	if other != agent {
		s.split.Add(1)
	}
}

// startViewAgent takes part in the membership as an agent, and only counts the packets that it is given.
func startViewAgent(ctx context.Context, g *group.Group, f *fleet.Fleet, i int, seen *flights) (*ctrl.Node, error) {
	file, err := f.WriteAgentSettings(20+i, fleet.Service{Name: "atelier", Slots: 2})
	if err != nil {
		return nil, err
	}
	settings, err := conf.LoadAgent(file)
	if err != nil {
		return nil, err
	}
	node, err := ctrl.New(settings.Node, state.Announcement{
		Role: state.RoleAgent, Service: "atelier", Slots: 2, Phase: state.PhaseServing,
	}, logs.New(io.Discard, "error"), metrics.NewSet())
	if err != nil {
		return nil, err
	}
	s, err := newSink(ctx, settings.Flow)
	if err != nil {
		return nil, err
	}
	var codec frame.Codec
	s.seen = func(p []byte) {
		if fr, ok := codec.Decode(p, node.View().Keys); ok && len(fr.Packet) > 14 {
			seen.note(binary.BigEndian.Uint64(fr.Packet[6:]), i)
		}
	}
	context.AfterFunc(g.Context(), s.close)
	node.Start(g)
	return node, nil
}

func sendFlights(f *fleet.Fleet) (int, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	one := netip.MustParseAddrPort(f.BalancerIP(1) + ":9443")
	two := netip.MustParseAddrPort(f.BalancerIP(2) + ":9443")
	sent := 0
	for end := time.Now().Add(viewTime); time.Now().Before(end); sent++ {
		p := openingPacket(rand.Uint64())
		_, _ = conn.WriteToUDPAddrPort(p, one)
		_, _ = conn.WriteToUDPAddrPort(p, two)
		if sent%flowBurst == 0 {
			time.Sleep(flowPause)
		}
	}
	return sent, nil
}
