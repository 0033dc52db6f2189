package main

import (
	"context"
	"fmt"
	"time"

	"monsoonstep/test/fleet"
)

const (
	// flowsNet is the number of the first fleet; it selects the fleet's loopback addresses.
	flowsNet = 58
	// openingTime is the time from the start of a load until all its flows are open and idle, and also the length of the
	// measurement of idle flows that follows.
	openingTime       = 6 * time.Second
	flowsLoadDuration = 14 * time.Second
)

// benchFlows measures the memory and the processor time that open flows and handshakes cost an agent.
func benchFlows(_ context.Context, dir string) error {
	service := fleet.Service{Name: "atelier", Port: 9443, Slots: 7}
	var memory []float64
	counts := []int{200, 1000}
	for i, n := range counts {
		used, handshake, idle, err := measureFlows(fmt.Sprintf("%s/%d", dir, n), flowsNet+i, service, n)
		if err != nil {
			return err
		}
		fmt.Printf("%d flows: agent's memory %.1f MB, processor %.0f us for a handshake with one request, %.1f us a second for an idle flow with a ping every 2 s\n",
			n, used/(1<<20), 1e6*handshake, 1e6*idle)
		memory = append(memory, used)
	}
	slope := (memory[1] - memory[0]) / float64(counts[1]-counts[0])
	fmt.Printf("memory per flow: %.1f kB\n", slope/1024)
	return nil
}

// measureFlows returns the memory of an agent with n flows in bytes, and the processor seconds that it needs for a
// handshake with one request and for an idle flow each second.
func measureFlows(dir string, number int, service fleet.Service, n int) (memory, handshake, idle float64, err error) {
	f, err := newFleet(dir, number)
	if err != nil {
		return 0, 0, 0, err
	}
	defer f.Close()
	if err := f.StartPlatform(); err != nil {
		return 0, 0, 0, err
	}
	if _, err := f.StartBalancer(1); err != nil {
		return 0, 0, 0, err
	}
	agent, err := f.StartAgent(1, service, time.Millisecond)
	if err != nil {
		return 0, 0, 0, err
	}
	if err := f.PutEntry(service, nil); err != nil {
		return 0, 0, 0, err
	}
	if err := f.StartFabric(service, 1); err != nil {
		return 0, 0, 0, err
	}
	if err := fleet.WaitReady(f.Balancers[0], agent); err != nil {
		return 0, 0, 0, err
	}
	before := fleet.ProcessorTime(agent.Pid())
	_, err = f.StartLoad(service, "--flows", fmt.Sprint(n), "--rate", "0.01", "--duration", flowsLoadDuration.String())
	if err != nil {
		return 0, 0, 0, err
	}
	time.Sleep(openingTime)
	opened := fleet.ProcessorTime(agent.Pid())
	time.Sleep(openingTime)
	after := fleet.ProcessorTime(agent.Pid())
	idle = (after - opened).Seconds() / openingTime.Seconds() / float64(n)
	handshake = (opened-before).Seconds()/float64(n) - idle*openingTime.Seconds()/2
	return float64(fleet.ResidentMemory(agent.Pid())), handshake, idle, nil
}
