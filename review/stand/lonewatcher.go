package main

import (
	"errors"
	"time"
)

// cutTime is how long a machine is partitioned from the store.
const cutTime = 5500 * time.Millisecond

// loneWatcher lets the store cut the watches that are waiting, which it may do at any time. A second later it partitions the one
// machine from the store that has watched it since, and moves a route.
func loneWatcher(w *world, trouble bool) (int, error) {
	services := []string{"huvo11a", "wuno96b"}
	w.configure(services, w.routeTo(1, "safe", services[0]))
	d, err := w.deploy(5, map[string]int{services[0]: 2, services[1]: 2})
	if err != nil {
		return 0, err
	}
	// The machines count as in touch contact after this, should the cut watches count as a reset of their connections.
	inTouchAt := time.Now().Add(contact)
	for _, i := range w.of("balancer") {
		if count := i.proxy.cut(); count > 0 {
			w.record.line("the store cuts the waiting watch of %s", i.name)
		}
	}
	time.Sleep(time.Second)
	var watcher *instance
	for _, i := range w.of("balancer") {
		if i.proxy.open() > 0 {
			w.record.line("%s watches the store", i.name)
			watcher = i
		}
	}
	if watcher == nil {
		return 0, errors.New("nobody watches the store")
	}
	if trouble {
		w.record.line("%s is partitioned from the store", watcher.name)
		watcher.proxy.partition(true)
		time.AfterFunc(cutTime, func() {
			w.record.line("the partition of %s ends", watcher.name)
			watcher.proxy.partition(false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	acknowledgedAt := w.configure(services, w.routeTo(1, "safe", services[1]))
	breaks := 0
	for n := 0; time.Since(acknowledgedAt) < 7*time.Second; n++ {
		for _, i := range w.of("balancer") {
			if i != watcher {
				breaks += d.probeRoute(n, i, acknowledgedAt, inTouchAt, services)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return breaks, nil
}
