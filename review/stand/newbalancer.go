package main

import (
	"errors"
	"fmt"
	"time"
)

// newBalancer twice stops and starts an agent as planned while its endpoint serves on, and adds a balancer meanwhile.
func newBalancer(w *world, trouble bool) (int, error) {
	service := "huvo11a"
	w.configure([]string{service}, w.routeTo(1, "non_idempotent", service))
	d, err := w.deploy(3, map[string]int{service: 4})
	if err != nil {
		return 0, err
	}
	breaks := 0
	for round := range 2 {
		var flows []*flow
		for n := range 60 {
			f := d.clients[n%len(d.clients)].open(w.virtual(1), nil)
			if f.state() != "open" || f.send(fmt.Sprintf("a-%d-%d", round, n)).wait(5*time.Second) == "" {
				return 0, errors.New("a flow did not open")
			}
			flows = append(flows, f)
		}
		if trouble {
			if err := d.restartAndAdd(d.endpoints[round].machine, round+4); err != nil {
				return 0, err
			}
		}
		// The clients send their next requests one after the other, over a little more than a second.
		for n, f := range flows {
			f.send(fmt.Sprintf("c-%d-%d", round, n))
			time.Sleep(20 * time.Millisecond)
		}
		breaks += d.lost(flows)
		time.Sleep(2 * contact)
	}
	return breaks, nil
}

// restartAndAdd stops and starts an agent as planned, and adds the n-th balancer while it is away.
func (d *deployment) restartAndAdd(agent *instance, n int) error {
	d.world.mu.Lock()
	agent.startAfter = plannedStart
	d.world.mu.Unlock()
	d.world.terminate(agent)
	time.Sleep(600 * time.Millisecond)
	_, err := d.world.add(fmt.Sprintf("front-%s-%d", zoneName, n), "balancer", d.world.ip(1, n), "")
	return err
}
