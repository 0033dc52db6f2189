package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// rollGap is the time between two planned stops.
	rollGap = 1300 * time.Millisecond
	// pause is how long clients send nothing on their flows, which is less than idleTimeout.
	pause = 13 * time.Second
)

// deployment is a running world with endpoints and clients.
type deployment struct {
	world     *world
	endpoints []*endpoint
	clients   []*client
}

// deploy starts balancers, and agents with endpoints for each service, within 0.3 s, and waits until traffic may begin.
func (w *world) deploy(balancers int, endpoints map[string]int) (*deployment, error) {
	d := &deployment{world: w}
	for n := range balancers {
		if _, err := w.add(fmt.Sprintf("front-%s-%d", zoneName, n+1), "balancer", w.ip(1, n+1), ""); err != nil {
			return nil, err
		}
	}
	services := make([]string, 0, len(endpoints))
	for s := range endpoints {
		services = append(services, s)
	}
	slices.Sort(services)
	for _, s := range services {
		for range endpoints[s] {
			if err := d.addEndpoint(s); err != nil {
				return nil, err
			}
		}
	}
	for n := range 3 {
		c, err := w.startClient(w.ip(3, n+1))
		if err != nil {
			return nil, err
		}
		d.clients = append(d.clients, c)
	}
	w.group.Task(w.watchReadiness)
	time.Sleep(trafficDelay)
	for _, i := range w.of("balancer") {
		if !w.isReady(i) {
			return nil, errors.New(i.name + " was not ready when traffic began")
		}
	}
	return d, nil
}

// addEndpoint adds a machine with an agent and an endpoint.
func (d *deployment) addEndpoint(service string) error {
	n := len(d.endpoints) + 1
	machine, err := d.world.add(fmt.Sprintf("side-%s-%d", zoneName, n), "agent", d.world.ip(2, n), service)
	if err != nil {
		return err
	}
	e, err := d.world.startEndpoint(fmt.Sprintf("i-%d", n), machine)
	d.endpoints = append(d.endpoints, e)
	return err
}

// serviceOf returns the service of the endpoint that answered last on a flow.
func (d *deployment) serviceOf(f *flow) string {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	service, _, _ := strings.Cut(f.answeredBy, "/")
	return service
}

// holderOf returns the running endpoint at which a flow is open; empty if there is none.
func (d *deployment) holderOf(f *flow) string {
	for _, e := range d.endpoints {
		if e.holds(f.key) {
			return e.id
		}
	}
	return ""
}

// roll stops the processes of a role in turn, as planned; each starts again when it has ended.
func (d *deployment) roll(role string, gap time.Duration) {
	for _, i := range d.world.of(role) {
		d.world.terminate(i)
		time.Sleep(gap)
	}
}
