package main

import (
	"fmt"
	"slices"
	"time"
)

// playUnnamed: a heartbeat of another writer, with fields missing, arrives at an agent whose endpoint lives. It names no endpoint to use.
func playUnnamed(w *world, trouble bool) error {
	w.checkResets()
	if err := w.deploy(4, 4, 5, 12, 250*time.Millisecond); err != nil {
		return err
	}
	e := w.endpoints[0]
	w.record.note("endpoint %s has %d flows open", e.id, e.openFlows())
	if trouble {
		body := map[string]any{"service": w.service, "state": "ready", "seq": 1, "born": time.Now().UnixMilli()}
		w.record.note("a heartbeat of another writer, without address, zone, version, slots and warmupLeftMs, to %s", e.machine.name)
		acknowledged := w.call(e.machine.at(controlPort), "x-1", "heartbeat", body)
		w.record.note("it was acknowledged: %v", acknowledged)
	}
	time.Sleep(6 * time.Second)
	return nil
}

// playLateDeregister: an endpoint ends as planned, and another starts at its address under its id. The call with which the first one
// deregistered arrives late, seconds after the second has registered.
func playLateDeregister(w *world, trouble bool) error {
	w.checkResets()
	if err := w.deploy(4, 4, 5, 12, 250*time.Millisecond); err != nil {
		return err
	}
	first := w.endpoints[0]
	first.drain()
	time.Sleep(heartbeatInterval + drainTime + time.Second)
	first.end()
	w.endpoints = w.endpoints[1:]
	time.Sleep(time.Second)
	second, err := w.startEndpoint(first.machine, first.id)
	if err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, second)
	time.Sleep(2 * heartbeatInterval)
	for i := range 5 {
		if err := w.startClient(w.address(byte(161+i)), 12, 50*time.Millisecond, 250*time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(2 * contactTime)
	w.record.note("endpoint %s has %d flows open", second.id, second.openFlows())
	if trouble {
		w.record.note("the deregistration of the first %s arrives", first.id)
		w.call(second.machine.at(controlPort), first.id, "deregister", nil)
	}
	time.Sleep(6 * time.Second)
	return nil
}

// playQueued: two endpoints crash, so that their clients open their flows anew at the same moment, and a balancer is restarted as planned
// just then. This happens twice. Some endpoints are released afterwards.
func playQueued(w *world, trouble bool) error {
	w.checkResets()
	w.slots, w.workTime = 7, 55*time.Millisecond
	if err := w.deploy(6, 15, 40, 140, 11*time.Second); err != nil {
		return err
	}
	for round := range 2 {
		detection := w.waitForCrash()
		crashedAt := time.Now()
		crashed := w.endpoints[:2]
		w.endpoints = slices.Clone(w.endpoints[2:])
		for _, e := range crashed {
			w.record.note("endpoint %s crashes with %d open flows", e.id, e.openFlows())
			e.end()
		}
		time.Sleep(time.Until(w.pollAfter(detection)) - 3*pollInterval/2)
		if trouble {
			if err := w.restart(w.balancers()[5-round]); err != nil {
				return err
			}
		}
		w.group.Task(func() {
			time.Sleep(time.Until(crashedAt.Add(crashTime)))
			for _, e := range crashed {
				w.comeBack(e)
			}
		})
		if round == 0 {
			time.Sleep(time.Until(crashedAt.Add(crashTime + time.Second)))
		}
	}
	if err := w.release(6); err != nil {
		return err
	}
	time.Sleep(16 * time.Second)
	return nil
}

// comeBack starts an endpoint again that has crashed, under another id. It takes part in no later step of the case.
func (w *world) comeBack(crashed *endpoint) {
	e, err := w.startEndpoint(crashed.machine, crashed.id+"-again")
	if err != nil {
		w.record.note("%s is not back: %v", crashed.id, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returned = append(w.returned, e)
}

// crashTime is how long an endpoint that crashes is down.
const crashTime = 4500 * time.Millisecond

// detectionTime is how long after the last heartbeat of an endpoint that has crashed its agent checks the address.
const detectionTime = 3*heartbeatInterval/2 + 30*time.Millisecond

// waitForCrash waits until the endpoints have just sent a heartbeat such that the agents of those that crash now will detect that shortly
// before the routers ask the balancers. It returns the time of the detection.
func (w *world) waitForCrash() time.Time {
	seen := w.endpoints[0].lastBeat()
	for {
		time.Sleep(5 * time.Millisecond)
		last := w.endpoints[0].lastBeat()
		if last.Equal(seen) {
			continue
		}
		seen = last
		detection := last.Add(detectionTime)
		margin := w.pollAfter(detection).Sub(detection)
		if margin > 30*time.Millisecond && margin < 170*time.Millisecond {
			return detection
		}
	}
}

// The pace of a release: releaseStep endpoints at a time, with releaseGap between.
const (
	releaseStep = 2
	releaseGap  = time.Second
)

// release replaces the first endpoints, releaseStep at a time: the new ones start first, on machines of their own, and the old ones drain.
func (w *world) release(count int) error {
	const host = 121
	old := slices.Clone(w.endpoints[:count])
	for i := range old {
		m, err := w.addMachine("agent", fmt.Sprintf("side-%d", host+i), byte(host+i))
		if err != nil {
			return err
		}
		e, err := w.startEndpoint(m, fmt.Sprintf("i-%d", host+i))
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
		if (i+1)%releaseStep > 0 {
			continue
		}
		time.Sleep(releaseGap)
		for _, o := range old[i+1-releaseStep : i+1] {
			o.drain()
		}
	}
	time.Sleep(heartbeatInterval + drainTime + 500*time.Millisecond - time.Duration(count/releaseStep-1)*releaseGap)
	for i, e := range old {
		if i > 0 && i%releaseStep == 0 {
			time.Sleep(releaseGap)
		}
		e.end()
		w.call(e.machine.at(controlPort), e.id, "deregister", nil)
		w.remove(e.machine)
	}
	w.endpoints = w.endpoints[count:]
	return nil
}
