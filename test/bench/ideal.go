package main

import (
	"time"

	"monsoonstep/test/fleet"
)

// idealGoodput returns how many important bookings a single queue that feeds all slots would finish within their
// deadlines. Important bookings go first, each booking goes to the fastest free slot, and none is started after its
// deadline.
func idealGoodput(s serviceModel, arrivals []fleet.Arrival) float64 {
	var free []slot
	for _, speed := range s.speeds {
		for range s.slots {
			free = append(free, slot{speed: speed})
		}
	}
	q := &idealQueue{slots: free}
	for _, a := range arrivals {
		q.runUntil(a.At)
		q.queued = append(q.queued, a)
		q.startQueued(a.At)
	}
	q.runUntil(time.Hour)
	return float64(q.good)
}

// slot is a slot of a target with the target's speed.
type slot struct {
	speed     float64
	busyUntil time.Duration
}

// idealQueue simulates a single queue in front of all slots.
type idealQueue struct {
	slots  []slot
	queued []fleet.Arrival
	good   int
}

// runUntil advances the time to end: it starts queued bookings in the order in which slots become free.
func (q *idealQueue) runUntil(end time.Duration) {
	for len(q.queued) > 0 {
		next := end
		for _, s := range q.slots {
			next = min(next, s.busyUntil)
		}
		if next >= end {
			return
		}
		before := len(q.queued)
		q.startQueued(next)
		if len(q.queued) == before {
			return
		}
	}
}

// startQueued starts queued bookings at the given time while there are free slots.
func (q *idealQueue) startQueued(now time.Duration) {
	for len(q.queued) > 0 {
		best := -1
		for i, s := range q.slots {
			if s.busyUntil <= now && (best < 0 || s.speed > q.slots[best].speed) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		a, ok := q.dequeue(now)
		if !ok {
			return
		}
		finished := now + time.Duration(float64(a.Work)/q.slots[best].speed)
		q.slots[best].busyUntil = finished
		if a.Important && finished <= a.At+requestDeadline {
			q.good++
		}
	}
}

// dequeue removes and returns the next booking: the oldest important one, else the oldest. Bookings whose deadline
// has passed are dropped.
func (q *idealQueue) dequeue(now time.Duration) (fleet.Arrival, bool) {
	for len(q.queued) > 0 {
		next := 0
		for i, a := range q.queued {
			if a.Important {
				next = i
				break
			}
		}
		a := q.queued[next]
		q.queued = append(q.queued[:next:next], q.queued[next+1:]...)
		if a.At+requestDeadline > now {
			return a, true
		}
	}
	return fleet.Arrival{}, false
}
