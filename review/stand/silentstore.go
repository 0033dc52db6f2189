package main

import (
	"errors"
	"fmt"
	"time"
)

// silentStore lets the open connections to the store go silent for good, and moves a route right after it.
func silentStore(w *world, trouble bool) (int, error) {
	services := []string{"huvo11a", "wuno96b"}
	w.store.onWatch = func(string) { w.record.line("the store begins a watch") }
	w.configure(services, w.routeTo(1, "safe", services[0]))
	d, err := w.deploy(6, map[string]int{services[0]: 2, services[1]: 2})
	if err != nil {
		return 0, err
	}
	w.configure(services, w.routeTo(1, "safe", services[0]), w.routeTo(2, "safe", services[0]))
	time.Sleep(configApply / 10)
	silentAt := time.Now()
	if trouble {
		w.silenceStore()
	}
	time.Sleep(200 * time.Millisecond)
	acknowledgedAt := w.configure(services, w.routeTo(1, "safe", services[1]), w.routeTo(2, "safe", services[0]))
	// Before this moment the machines are not in touch, since their connections were disturbed.
	inTouchAt := silentAt.Add(contact)
	breaks := 0
	for n := 0; time.Since(acknowledgedAt) < 7*time.Second; n++ {
		for _, i := range w.of("balancer") {
			breaks += d.probeRoute(n, i, acknowledgedAt, inTouchAt, services)
		}
		time.Sleep(200 * time.Millisecond)
	}
	last := d.clients[0].open(w.virtual(1), nil)
	if last.send("last").wait(4*time.Second) == "" || d.serviceOf(last) != services[1] {
		return 0, errors.New("the new version is not in force at the end")
	}
	return breaks, nil
}

// probeRoute sends a request through one balancer over a new flow of the moved route. It returns 1 if the request was handled as only
// the older version allows although it was sent later than the rule allows, by a machine in touch.
func (d *deployment) probeRoute(n int, balancer *instance, acknowledgedAt, inTouchAt time.Time, services []string) int {
	sentAt := time.Now()
	f := d.clients[0].open(d.world.virtual(1), balancer)
	id := fmt.Sprintf("p-%d-%s", n, balancer.name)
	if f.state() != "open" || f.send(id).wait(4*time.Second) == "" {
		d.world.record.line("no answer to %s", id)
		return 0
	}
	f.finish()
	late := sentAt.Sub(acknowledgedAt)
	if d.serviceOf(f) != services[0] || late <= configApply || !sentAt.After(inTouchAt) {
		return 0
	}
	d.world.record.line("BROKEN: CONFIG: request %s, sent through %s %.3f s after the acknowledgement, was run by the old service; in touch for %.3f s",
		id, balancer.name, late.Seconds(), sentAt.Sub(inTouchAt).Seconds())
	return 1
}
