package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// movedRoute plays a planned change of a route followed by a planned restart of all node processes, while clients keep flows open. With
// MOVE=0 the route stays as it is.
func movedRoute(w *world, trouble bool) (int, error) {
	services := []string{"huvo11a", "wuno96b"}
	w.configure(services, w.routeTo(1, "non_idempotent", services[0]))
	d, err := w.deploy(3, map[string]int{services[0]: 2, services[1]: 1})
	if err != nil {
		return 0, err
	}
	var flows []*flow
	for n := range 8 {
		f := d.clients[n%len(d.clients)].open(w.virtual(1), nil)
		if f.state() != "open" || f.send(fmt.Sprintf("a-%d", n)).wait(5*time.Second) == "" {
			return 0, errors.New("a flow did not open on the first version")
		}
		flows = append(flows, f)
	}
	moved := services[1]
	if os.Getenv("MOVE") == "0" {
		moved = services[0]
	}
	w.configure(services, w.routeTo(1, "non_idempotent", moved))
	time.Sleep(configApply + contact)
	fresh := d.clients[0].open(w.virtual(1), nil)
	if fresh.send("fresh").wait(5*time.Second) == "" || d.serviceOf(fresh) != moved {
		return 0, errors.New("a new flow did not go to the new service")
	}
	for n, f := range flows {
		if f.send(fmt.Sprintf("b-%d", n)).wait(5*time.Second) == "" || d.serviceOf(f) != services[0] {
			return 0, errors.New("an open flow did not stay where it was")
		}
	}
	pausedAt := time.Now()
	if trouble {
		d.roll("agent", rollGap)
		d.roll("balancer", rollGap)
	}
	time.Sleep(time.Until(pausedAt.Add(pause)))
	w.record.line("the clients go on after a pause of %.1f s", time.Since(pausedAt).Seconds())
	return d.resume(flows), nil
}

// resume sends a request on each flow and counts the flows that were lost.
func (d *deployment) resume(flows []*flow) int {
	for n, f := range flows {
		f.send(fmt.Sprintf("c-%d", n))
	}
	return d.lost(flows)
}

// lost waits for the answers on flows and counts the flows that the system reset although their endpoints hold them.
func (d *deployment) lost(flows []*flow) int {
	breaks := 0
	for _, f := range flows {
		answer := f.request.wait(5 * time.Second)
		holder, resetBy, age := d.holderOf(f), f.reset(), time.Since(f.startedAt)
		switch {
		case resetBy != "" && holder != "" && age < flowTTL && f.idleBefore() < idleTimeout:
			breaks++
			d.world.record.line("BROKEN: FLOW: %s was reset by %s, and endpoint %s still holds it; it is %.1f s old and was idle for %.1f s", f.key, resetBy, holder,
				age.Seconds(), f.idleBefore().Seconds())
		case answer == "":
			d.world.record.line("no answer on %s: %s, held by %q", f.key, f.state(), holder)
		}
	}
	return breaks
}
