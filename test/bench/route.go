package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"time"

	"monsoonstep/core/proto/connid"
	"monsoonstep/core/state"
	"monsoonstep/test/fleet"
)

const (
	// maxDecisionNanos is the longest accepted time of a decision in nanoseconds.
	maxDecisionNanos = 200
	// minRelayRateShare is the lowest accepted packet rate of a balancer, as a share of the bare relay's.
	minRelayRateShare = 0.8
	// routeNet is the number of the fleet; it selects the fleet's loopback addresses.
	routeNet = 80
	// packetBytes is the size of the packets that are sent.
	packetBytes        = 1200
	relayRounds        = 5
	relayRoundDuration = 2 * time.Second
	floodSenders       = 2
)

// benchRoute measures the routing decision, the throughput of a balancer, and how long the views of two balancers
// differ.
func benchRoute(ctx context.Context, dir string) error {
	if err := benchDecisions(); err != nil {
		return err
	}
	f, err := newFleet(dir, routeNet)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := benchRelay(ctx, f); err != nil {
		return err
	}
	return benchViews(ctx, f)
}

// benchRelay compares a complete balancer with a bare relay, with the same senders and the same receiver.
func benchRelay(ctx context.Context, f *fleet.Fleet) error {
	service := fleet.Service{Name: "atelier", Port: 9443, Slots: 7}
	if err := f.StartPlatform(); err != nil {
		return err
	}
	balancer, err := f.StartBalancer(1)
	if err != nil {
		return err
	}
	if err := f.PutEntry(service, nil); err != nil {
		return err
	}
	if err := fleet.WaitReady(balancer); err != nil {
		return err
	}
	sinkAddress := netip.MustParseAddrPort(f.AgentIP(1) + ":7402")
	relayAddress := netip.MustParseAddrPort(f.BalancerIP(9) + ":9443")
	relay := exec.Command(os.Args[0], "relay", relayAddress.String(), sinkAddress.String())
	if err := relay.Start(); err != nil {
		return err
	}
	defer func() {
		_ = relay.Process.Kill()
		_ = relay.Wait()
	}()
	set, err := f.Keys()
	if err != nil {
		return err
	}
	packet := establishedPackets(set, []state.ServiceID{state.ServiceName("atelier").ID()}, 1)[0].bytes
	packet = append(packet, make([]byte, packetBytes-len(packet))...)
	idRoute := connid.Route{Agent: sinkAddress, Service: state.ServiceName("atelier").ID(), Serial: 1}
	copy(packet[1:], connid.Append(nil, set, idRoute))
	return compareForwarders(ctx, packet, sinkAddress, map[string]forwarder{
		"balancer": {netip.MustParseAddrPort(f.BalancerIP(1) + ":9443"), balancer.Pid()},
		"relay":    {relayAddress, relay.Process.Pid},
	})
}

// forwarder is a process that forwards packets, and the address at which it receives them.
type forwarder struct {
	address netip.AddrPort
	pid     int
}

// compareForwarders floods the relay and the balancer in turn, and compares the medians of their packet rates and of
// their processor time for a packet.
func compareForwarders(ctx context.Context, packet []byte, sinkAddress netip.AddrPort, forwarders map[string]forwarder) error {
	sink, err := newSink(ctx, sinkAddress)
	if err != nil {
		return err
	}
	defer sink.close()
	rates, costs := map[string][]float64{}, map[string][]float64{}
	for range relayRounds {
		for _, name := range []string{"relay", "balancer"} {
			before, cpu := sink.count.Load(), fleet.ProcessorTime(forwarders[name].pid)
			if err := flood(ctx, packet, forwarders[name].address); err != nil {
				return err
			}
			n := float64(sink.count.Load() - before)
			spent := fleet.ProcessorTime(forwarders[name].pid) - cpu
			rates[name] = append(rates[name], n/relayRoundDuration.Seconds())
			costs[name] = append(costs[name], float64(spent.Nanoseconds())/max(1, n))
		}
	}
	for _, name := range []string{"relay", "balancer"} {
		fmt.Printf("%-10s packets a second %v, processor ns a packet %v\n", name, rounded(rates[name]), rounded(costs[name]))
	}
	checkAtLeast("balancer_packets_of_bare_relay", median(rates["balancer"])/median(rates["relay"]), minRelayRateShare)
	checkAtMost("balancer_processor_of_bare_relay", median(costs["balancer"])/median(costs["relay"]), 1/minRelayRateShare)
	return nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)/2]
}

func rounded(values []float64) []int {
	out := make([]int, 0, len(values))
	for _, v := range values {
		out = append(out, int(v))
	}
	return out
}
