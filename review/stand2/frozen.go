package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the side stands still.
	freezeTime = 3500 * time.Millisecond
	// contactTime is contactMs.
	contactTime = 4 * time.Second
	// rollGap is the time between two planned restarts.
	rollGap = time.Second
	// flowsPerZone is how many flows the clients of a zone open.
	flowsPerZone = 60
)

// all calls a function for each flow at once and waits until all calls have returned.
func (f *fleet) all(flows []*clientFlow, call func(fl *clientFlow)) {
	var wait sync.WaitGroup
	for _, fl := range flows {
		wait.Add(1)
		f.g.Task(func() {
			defer wait.Done()
			call(fl)
		})
	}
	wait.Wait()
}

// states counts flows by their state.
func states(flows []*clientFlow) map[string]int {
	counts := make(map[string]int)
	for _, fl := range flows {
		fl.c.mu.Lock()
		counts[fl.state]++
		fl.c.mu.Unlock()
	}
	return counts
}

// clientsOfZones adds a client machine in each zone.
func (f *fleet) clientsOfZones() ([]*client, error) {
	var clients []*client
	for z := range zones {
		c, err := f.addClient(f.ip(20, z+1), z)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	return clients, nil
}

// warmUp waits until the deployment serves a request in each zone, and then until all endpoints are warm.
func (f *fleet) warmUp(clients []*client) error {
	time.Sleep(6 * time.Second)
	for _, c := range clients {
		fl := c.newFlow(f.virtual("atelier"))
		if !fl.open() || fl.request(4*time.Second) != isOpen || fl.endpoint == "" {
			return fmt.Errorf("zone %d is not served", c.zone+1)
		}
	}
	return nil
}

// frozenOffer freezes a side while flows open, so that some are offered to its endpoint first and open at another one. Later the fronts
// are restarted in turn as planned, and the endpoint of that side leaves as planned. Flows at all other endpoints must live on.
func frozenOffer(f *fleet, trouble bool) (int, error) {
	clients, err := f.clientsOfZones()
	if err != nil {
		return 0, err
	}
	if err := f.warmUp(clients); err != nil {
		return 0, err
	}
	frozen := f.sides[0]
	if trouble {
		f.freeze(frozen, true)
	}
	begin := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	var flows []*clientFlow
	for n := range flowsPerZone {
		for _, c := range clients {
			fl := c.newFlow(f.virtual("atelier"))
			flows = append(flows, fl)
			f.g.Task(func() {
				time.Sleep(time.Duration(n) * 3 * time.Millisecond)
				if fl.open() {
					fl.request(4 * time.Second)
				}
			})
		}
	}
	until(freezeTime)
	if trouble {
		f.freeze(frozen, false)
	}
	// All machines are in touch again before the planned work begins.
	until(freezeTime + contactTime + 200*time.Millisecond)
	f.all(flows, func(fl *clientFlow) { fl.request(4 * time.Second) })
	before := states(flows)
	f.record("before the planned work: %v", before)
	if before[isOpen] < len(flows)/2 {
		return 0, errors.New("too few flows opened")
	}
	planned := time.Now()
	for i, n := range f.fronts {
		time.Sleep(time.Until(planned.Add(time.Duration(i) * rollGap)))
		f.signal(n, syscall.SIGTERM)
		if i == 4 {
			f.remove(frozen)
		}
	}
	time.Sleep(time.Until(planned.Add(8800 * time.Millisecond)))
	f.record("requests after the planned work")
	f.all(flows, func(fl *clientFlow) { fl.request(4 * time.Second) })
	f.record("after the planned work: %v", states(flows))
	violations := 0
	for _, fl := range flows {
		if fl.state == reset && fl.endpoint != frozen.endpoint {
			violations++
			f.record("FLOW broken: %s, open at %s, was reset by %s", fl.key, fl.endpoint, fl.resetBy)
		}
	}
	return violations, nil
}
