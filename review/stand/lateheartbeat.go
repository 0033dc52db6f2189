package main

import (
	"time"
)

const (
	// crashTime is how long a machine is without an endpoint after a crash.
	crashTime = 4500 * time.Millisecond
	// holdTime is how long the former endpoint's heartbeat is held up.
	holdTime = 6700 * time.Millisecond
)

// lateHeartbeat lets an endpoint crash, whose last heartbeat is held up. Another one starts at its address and opens flows, and the agent
// beside it is stopped and started as planned. Then the late heartbeat arrives.
func lateHeartbeat(w *world, trouble bool) (int, error) {
	service := "huvo11a"
	w.configure([]string{service}, w.routeTo(1, "non_idempotent", service))
	d, err := w.deploy(3, map[string]int{service: 7})
	if err != nil {
		return 0, err
	}
	former := d.endpoints[0]
	held, _ := former.nextBeat()
	heldAt := time.Now()
	former.cancel()
	w.record.line("endpoint %s crashes; its last heartbeat is held up: %s", former.id, held)
	time.Sleep(crashTime)
	present, err := w.startEndpoint("i-9", former.machine)
	if err != nil {
		return 0, err
	}
	d.endpoints = append(d.endpoints, present)
	time.Sleep(300 * time.Millisecond)
	flows, err := d.openMany(42, former)
	if err != nil {
		return 0, err
	}
	// The agent returns between the second and the third heartbeat of the present endpoint.
	time.Sleep(time.Until(present.born.Add(heartbeatPeriod + 100*time.Millisecond)))
	w.terminate(former.machine)
	time.Sleep(time.Until(heldAt.Add(holdTime)))
	if trouble {
		acknowledged := former.call(w.group.Context(), "heartbeat", held)
		w.record.line("the late heartbeat of %s arrives; acknowledged: %t", former.id, acknowledged)
	}
	time.Sleep(2 * time.Second)
	return d.resume(flows), nil
}
