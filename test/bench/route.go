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
	decisionTarget = 200
	relayTarget    = 0.8
	routeNet       = 80
	packetBytes    = 1200
	relayRounds    = 5
	relayTime      = 2 * time.Second
	senders        = 2
)

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

// benchRelay compares a whole balancer with a bare relay: in turn, the same senders and the same sink.
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
	named := connid.Route{Agent: sinkAddress, Service: state.ServiceName("atelier").ID(), Serial: 1}
	copy(packet[1:], connid.Append(nil, set, named))
	return compareRelays(ctx, packet, sinkAddress, map[string]relayed{
		"balancer": {netip.MustParseAddrPort(f.BalancerIP(1) + ":9443"), balancer.Pid()},
		"relay":    {relayAddress, relay.Process.Pid},
	})
}

type relayed struct {
	address netip.AddrPort
	pid     int
}

func compareRelays(ctx context.Context, packet []byte, sinkAddress netip.AddrPort, by map[string]relayed) error {
	sink, err := newSink(ctx, sinkAddress)
	if err != nil {
		return err
	}
	defer sink.close()
	rates, costs := map[string][]float64{}, map[string][]float64{}
	for range relayRounds {
		for _, name := range []string{"relay", "balancer"} {
			before, cpu := sink.count.Load(), fleet.ProcessorTime(by[name].pid)
			if err := flood(ctx, packet, by[name].address); err != nil {
				return err
			}
			n := float64(sink.count.Load() - before)
			spent := fleet.ProcessorTime(by[name].pid) - cpu
			rates[name] = append(rates[name], n/relayTime.Seconds())
			costs[name] = append(costs[name], float64(spent.Nanoseconds())/max(1, n))
		}
	}
	for _, name := range []string{"relay", "balancer"} {
		fmt.Printf("%-10s packets a second %v, processor ns a packet %v\n", name, rounded(rates[name]), rounded(costs[name]))
	}
	atLeast("balancer_packets_of_bare_relay", median(rates["balancer"])/median(rates["relay"]), relayTarget)
	atMost("balancer_processor_of_bare_relay", median(costs["balancer"])/median(costs["relay"]), 1/relayTarget)
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
