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
	viewAgents   = 7
	viewDuration = 15 * time.Second
	// phaseChangeInterval is the time between two phase changes of agents, far shorter than with the required 450
	// changes a day (30 failures and 420 replacements, docs/CAPACITY.md).
	phaseChangeInterval = 500 * time.Millisecond
	// flightsPerBurst is the number of flights that are sent between two pauses of burstPause.
	flightsPerBurst = 8
	burstPause      = time.Millisecond
)

// benchViews sends first flights of two packets, one packet to each of two balancers, while agents start and stop
// draining, and counts the flights whose packets were sent to different agents because the views of the balancers
// differed.
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
	received := &flights{first: make(map[uint64]int)}
	var nodes []*ctrl.Node
	for i := range viewAgents {
		node, err := startCountingAgent(ctx, g, f, i, received)
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
			time.Sleep(phaseChangeInterval)
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
	split := float64(received.split.Load()) / float64(max(1, received.complete.Load()))
	rate := float64(sent) / viewDuration.Seconds()
	fmt.Printf("%d first flights of two packets, %.0f a second, %d arrived completely, %d were split by different views (%.3f%%), with a phase change of an agent every %v\n",
		sent, rate, received.complete.Load(), received.split.Load(), 100*split, phaseChangeInterval)
	checkAtLeast("new_flows_a_second", rate, 2000)
	// A change affects only the new flows of one of viewAgents agents, so the share of split flights times viewAgents
	// is the share of phaseChangeInterval in which the views differed.
	differSeconds := split * viewAgents * phaseChangeInterval.Seconds()
	fmt.Printf("views differ for %.3f s after each change; with the required 450 changes a day this splits %.2g of the first flights\n",
		differSeconds, differSeconds*450/86400/viewAgents)
	checkAtMost("views_differ_seconds_a_change", differSeconds, inForceLimit.Seconds())
	return nil
}

// flights records which agent received each packet of a first flight.
type flights struct {
	mu sync.Mutex
	// first has the agent that received the first packet of a flight, by the flight's number.
	first map[uint64]int
	// complete counts the flights of which both packets arrived; split counts those of them that reached two agents.
	complete atomic.Int64
	split    atomic.Int64
}

// record records that an agent received a packet of a flight.
func (s *flights) record(flight uint64, agent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	other, known := s.first[flight]
	if !known {
		s.first[flight] = agent
		return
	}
	s.complete.Add(1)
	if other != agent {
		s.split.Add(1)
	}
}

// startCountingAgent starts a node that joins the membership as an agent, but only records the packets that it receives.
func startCountingAgent(ctx context.Context, g *group.Group, f *fleet.Fleet, i int, received *flights) (*ctrl.Node, error) {
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
	s.received = func(p []byte) {
		if fr, ok := codec.Decode(p, node.View().Keys); ok && len(fr.Packet) > 14 {
			received.record(binary.BigEndian.Uint64(fr.Packet[6:]), i)
		}
	}
	context.AfterFunc(g.Context(), s.close)
	node.Start(g)
	return node, nil
}

// sendFlights sends first flights for viewDuration and returns how many it sent.
func sendFlights(f *fleet.Fleet) (int, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	one := netip.MustParseAddrPort(f.BalancerIP(1) + ":9443")
	two := netip.MustParseAddrPort(f.BalancerIP(2) + ":9443")
	sent := 0
	for end := time.Now().Add(viewDuration); time.Now().Before(end); sent++ {
		p := openingPacket(rand.Uint64())
		_, _ = conn.WriteToUDPAddrPort(p, one)
		_, _ = conn.WriteToUDPAddrPort(p, two)
		if sent%flightsPerBurst == 0 {
			time.Sleep(burstPause)
		}
	}
	return sent, nil
}
