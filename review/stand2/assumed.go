package main

import (
	"syscall"
	"time"
)

const (
	// rollGap is the time between two planned restarts in a zone.
	rollGap = time.Second
	// idleFlowsPerZone is how many flows the clients of a zone keep open.
	idleFlowsPerZone = 20
)

// roll restarts machines as planned: in each zone one after the other.
func (f *fleet) roll(machines []*node) {
	began := time.Now()
	for step := 0; ; step++ {
		found := false
		for _, n := range machines {
			if indexInZone(machines, n) == step {
				f.signal(n, syscall.SIGTERM)
				found = true
			}
		}
		if !found {
			return
		}
		time.Sleep(time.Until(began.Add(time.Duration(step+1) * rollGap)))
	}
}

// indexInZone returns how many of the machines before n are in its zone.
func indexInZone(machines []*node, n *node) int {
	index := 0
	for _, other := range machines {
		if other == n {
			return index
		}
		if other.zone == n.zone {
			index++
		}
	}
	return index
}

// assumedOpen restarts all sides and then all fronts as planned, while flows are idle. Right before the clients go on, one endpoint is lost
// for good, and its machine is taken away a second later. The flows at all other endpoints must live on.
func assumedOpen(f *fleet, trouble bool) (int, error) {
	clients, err := f.clientsOfZones()
	if err != nil {
		return 0, err
	}
	if err := f.warmUp(clients); err != nil {
		return 0, err
	}
	lost := f.sides[0]
	var flows []*clientFlow
	for range idleFlowsPerZone {
		for _, c := range clients {
			flows = append(flows, c.newFlow(f.virtual("atelier")))
		}
	}
	f.all(flows, func(fl *clientFlow) {
		if fl.open() {
			fl.request(4 * time.Second)
		}
	})
	f.record("planned restarts of the sides")
	f.roll(f.sides)
	time.Sleep(time.Second)
	f.record("planned restarts of the fronts")
	f.roll(f.fronts)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		f.record("endpoint %s is lost for good", lost.endpoint)
		_ = lost.app.Process.Kill()
	}
	time.Sleep(200 * time.Millisecond)
	f.record("first requests after the planned work")
	f.g.Task(func() {
		f.all(flows, func(fl *clientFlow) { fl.request(900 * time.Millisecond) })
	})
	time.Sleep(time.Second)
	f.record("after the first requests: %v", states(flows))
	if trouble {
		f.mu.Lock()
		lost.gone = true
		f.mu.Unlock()
		f.signal(lost, syscall.SIGTERM)
	}
	time.Sleep(contactTime)
	f.record("second requests")
	f.all(flows, func(fl *clientFlow) { fl.request(4 * time.Second) })
	f.record("after the second requests: %v", states(flows))
	violations := 0
	for _, fl := range flows {
		if fl.state == reset && fl.endpoint != lost.endpoint {
			violations++
			f.record("FLOW broken: %s, open at %s, was reset by %s", fl.key, fl.endpoint, fl.resetBy)
		}
	}
	return violations, nil
}
