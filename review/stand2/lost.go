package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// readyAfter is how long after its start a front is expected to be ready.
	readyAfter = 350 * time.Millisecond
	// beforeReturn is how long before the front's return into rotation the side is lost.
	beforeReturn = 150 * time.Millisecond
	// lostOfferFlows is how many flows the clients of the zone open then.
	lostOfferFlows = 160
)

// lostOffer loses a side for good just as a front comes back from a planned restart. Some flows are offered to the lost side by the other
// front of the zone, and open at another endpoint, through the front that has come back. When that front is restarted as planned once more,
// their packets reach the other front. The flows must live on.
func lostOffer(f *fleet, trouble bool) (int, error) {
	clients, err := f.clientsOfZones()
	if err != nil {
		return 0, err
	}
	if err := f.warmUp(clients); err != nil {
		return 0, err
	}
	returning, lost := f.fronts[2], f.sides[0]
	if err := f.restart(returning); err != nil {
		return 0, err
	}
	ready := time.Now().Add(readyAfter)
	var poll time.Time
	for poll.Before(ready) {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		poll = f.nextPoll
		f.mu.Unlock()
	}
	time.Sleep(time.Until(poll.Add(-beforeReturn)))
	if f.inRotation(returning) {
		f.record("the front is back in rotation earlier than expected")
	}
	if trouble {
		f.lose(lost)
	}
	var flows []*clientFlow
	for range lostOfferFlows {
		fl := clients[0].newFlow(f.virtual("atelier"))
		flows = append(flows, fl)
		f.g.Task(func() {
			if fl.open() {
				fl.request(4 * time.Second)
			}
		})
		time.Sleep(500 * time.Microsecond)
	}
	// All machines that are left are in touch again before the second restart.
	time.Sleep(contactTime + time.Second)
	f.all(flows, func(fl *clientFlow) { fl.request(4 * time.Second) })
	before := states(flows)
	f.record("before the second restart: %v", before)
	if before[isOpen] < len(flows)/2 {
		return 0, errors.New("too few flows opened")
	}
	f.signal(returning, syscall.SIGTERM)
	for f.inRotation(returning) {
		time.Sleep(5 * time.Millisecond)
	}
	f.record("requests while %s is out of rotation: %v", returning.name, !f.inRotation(returning))
	f.all(flows, func(fl *clientFlow) { fl.request(4 * time.Second) })
	f.record("after the second restart: %v", states(flows))
	violations := 0
	for _, fl := range flows {
		if fl.state == reset && fl.endpoint != lost.endpoint {
			violations++
			f.record("FLOW broken: %s, open at %s, was reset by %s", fl.key, fl.endpoint, fl.resetBy)
		}
	}
	return violations, nil
}
