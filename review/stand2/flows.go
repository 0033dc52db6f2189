package main

import (
	"fmt"
	"sync"
	"time"
)

// contactTime is contactMs.
const contactTime = 4 * time.Second

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

// warmUp waits until the deployment serves a request in each zone and all endpoints are warm.
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
