package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// clockAhead is how far the time of day of the new machine was ahead when its endpoint started; it has jumped back since.
	clockAhead = time.Second
	// newFlows is how many flows the clients of a zone open while the new endpoint is young.
	newFlows = 60
)

// clockBack adds a side whose time of day jumps back right after its start, and restarts its node as planned while the endpoint is still
// cold. The flows that are open at the endpoint must live on.
func clockBack(f *fleet, trouble bool) (int, error) {
	clients, err := f.clientsOfZones()
	if err != nil {
		return 0, err
	}
	if err := f.warmUp(clients); err != nil {
		return 0, err
	}
	added := &node{name: "side-1-9", role: "agent", ip: f.ip(1, 49), zone: 0, service: "atelier"}
	f.mu.Lock()
	f.sides = append(f.sides, added)
	f.mu.Unlock()
	if err := f.startNode(added); err != nil {
		return 0, err
	}
	time.Sleep(250 * time.Millisecond)
	ahead := time.Duration(0)
	if trouble {
		ahead = clockAhead
	}
	if err := f.startEndpoint(added, ahead); err != nil {
		return 0, err
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	var flows []*clientFlow
	for range newFlows {
		for _, c := range clients[:2] {
			fl := c.newFlow(f.virtual("atelier"))
			flows = append(flows, fl)
			f.g.Task(func() {
				if fl.open() {
					fl.request(4 * time.Second)
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(400 * time.Millisecond)))
	f.signal(added, syscall.SIGTERM)
	time.Sleep(contactTime + 2*time.Second)
	f.record("requests")
	before := states(flows)
	if before[isOpen] < len(flows)/2 {
		return 0, errors.New("too few flows opened")
	}
	f.all(flows, func(fl *clientFlow) { fl.request(4 * time.Second) })
	f.record("after the requests: %v", states(flows))
	violations, atAdded := 0, 0
	for _, fl := range flows {
		if fl.endpoint == added.endpoint {
			atAdded++
		}
		if fl.state == reset {
			violations++
			f.record("FLOW broken: %s, open at %s, was reset by %s", fl.key, fl.endpoint, fl.resetBy)
		}
	}
	f.record("%d flows were open at %s", atAdded, added.endpoint)
	if atAdded == 0 {
		return 0, errors.New("no flow opened at the new endpoint")
	}
	return violations, nil
}
