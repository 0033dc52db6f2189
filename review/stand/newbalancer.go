package main

import (
	"errors"
	"fmt"
	"time"
)

// newBalancer stops and starts an agent as planned while its endpoint serves on, and adds a balancer meanwhile.
func newBalancer(w *world, trouble bool) (int, error) {
	service := "huvo11a"
	w.configure([]string{service}, w.routeTo(1, "non_idempotent", service))
	d, err := w.deploy(3, map[string]int{service: 4})
	if err != nil {
		return 0, err
	}
	var flows []*flow
	for n := range 60 {
		f := d.clients[n%len(d.clients)].open(w.virtual(1), nil)
		if f.state() != "open" || f.send(fmt.Sprintf("a-%d", n)).wait(5*time.Second) == "" {
			return 0, errors.New("a flow did not open")
		}
		flows = append(flows, f)
	}
	if trouble {
		restarted := d.endpoints[0].machine
		w.mu.Lock()
		restarted.startAfter = plannedStart
		w.mu.Unlock()
		w.terminate(restarted)
		time.Sleep(600 * time.Millisecond)
		if _, err := w.add(fmt.Sprintf("front-%s-%d", zoneName, 4), "balancer", w.ip(1, 4), ""); err != nil {
			return 0, err
		}
	}
	// The clients send their next requests one after the other, over a little more than a second.
	for n, f := range flows {
		f.send(fmt.Sprintf("c-%d", n))
		time.Sleep(20 * time.Millisecond)
	}
	return d.lost(flows), nil
}
