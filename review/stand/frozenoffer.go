package main

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

// freezeTime is how long a machine stands still.
const freezeTime = 3500 * time.Millisecond

// frozenOffer freezes an agent while clients open flows, which then open at other endpoints. Later all balancers are restarted in turn, and
// the endpoint beside that agent leaves, both as planned.
func frozenOffer(w *world, trouble bool) (int, error) {
	service := "huvo11a"
	w.configure([]string{service}, w.routeTo(1, "non_idempotent", service))
	d, err := w.deploy(3, map[string]int{service: 7})
	if err != nil {
		return 0, err
	}
	leaving := d.endpoints[0]
	frozenAt := time.Now()
	if trouble {
		w.signal(leaving.machine, syscall.SIGSTOP)
		w.group.Task(func() {
			time.Sleep(freezeTime)
			w.signal(leaving.machine, syscall.SIGCONT)
		})
	}
	time.Sleep(50 * time.Millisecond)
	flows, err := d.openMany(84, leaving)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime + contact)))
	for n, f := range flows {
		f.send(fmt.Sprintf("b-%d", n))
	}
	for _, f := range flows {
		if f.request.wait(5*time.Second) == "" {
			return 0, errors.New("an open flow was not served after the freeze")
		}
	}
	pausedAt := time.Now()
	w.group.Task(func() {
		time.Sleep(rollGap)
		leaving.leave(4 * time.Second)
		w.remove(leaving.machine)
	})
	d.roll("balancer", rollGap)
	time.Sleep(time.Until(pausedAt.Add(pause)))
	w.record.line("the clients go on after a pause of %.1f s", time.Since(pausedAt).Seconds())
	return d.resume(flows), nil
}

// openMany opens flows at the same time, sends a request on each, and returns those that are not open at an endpoint.
func (d *deployment) openMany(count int, except *endpoint) ([]*flow, error) {
	var all, kept []*flow
	for n := range count {
		all = append(all, d.clients[n%len(d.clients)].start(d.world.virtual(1), nil))
	}
	for n, f := range all {
		for !f.settled() {
			time.Sleep(clientTick)
		}
		if f.state() == "open" {
			f.send(fmt.Sprintf("a-%d", n))
			kept = append(kept, f)
		}
	}
	for _, f := range kept {
		if f.request.wait(5*time.Second) == "" {
			return nil, errors.New("an open flow was not served at first")
		}
	}
	kept = slices.DeleteFunc(kept, func(f *flow) bool { return d.holderOf(f) == except.id })
	if len(kept) < count/2 {
		return nil, fmt.Errorf("only %d flows opened elsewhere", len(kept))
	}
	return kept, nil
}
