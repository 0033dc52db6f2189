package steer

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	// waitLimit is how long a new flow waits for a configuration or a target; clients give up on an opening packet a
	// little later.
	waitLimit = time.Second
	// startTime is how long after its start a balancer expects targets to appear: their agents may have started with it
	// and hear from their targets within a heartbeat.
	startTime = 4 * time.Second
	// maxWaiting bounds the new flows that wait; further ones are refused.
	maxWaiting = 1024
)

// opening is a new flow that waits.
type opening struct {
	segment state.Segment
	since   time.Time
}

// wait keeps a new flow for a moment, or refuses it if too many wait.
func (b *Balancer) wait(now time.Time, seg state.Segment) {
	if _, known := b.waiting[seg.Flow]; known {
		return
	}
	if len(b.waiting) >= maxWaiting {
		b.refuse(seg, relay.ReasonNotReady, len(b.waiting))
		return
	}
	seg.Packet = append([]byte(nil), seg.Packet...)
	b.waiting[seg.Flow] = &opening{segment: seg, since: now}
}

// expects reports whether a target of a service may appear within moments: this balancer has just started, or an agent
// of the service runs and has not heard from its target yet.
func (b *Balancer) expects(now time.Time, service state.ServiceName) bool {
	if now.Sub(b.started) < startTime {
		return true
	}
	for _, t := range b.targets {
		if t.service == service && t.isStarting(now) {
			return true
		}
	}
	return false
}

// serveWaiting places the flows that waited once there is a target, and refuses those that waited too long.
func (b *Balancer) serveWaiting(now time.Time) {
	for id, o := range b.waiting {
		route, ok := b.config.Routes[id.Virtual]
		switch {
		case b.config.Version != 0 && !ok:
			b.refuseRoute(o.segment)
		case ok && b.canServe(now, route, id):
			delete(b.waiting, id)
			b.place(now, route, o.segment, &place{since: now})
		case now.Sub(o.since) >= waitLimit:
			delete(b.waiting, id)
			b.refuse(o.segment, relay.ReasonNotReady, 0)
		}
	}
}

func (b *Balancer) canServe(now time.Time, route state.Route, id state.FlowID) bool {
	t, _ := b.choose(now, route.Choose(id), id, nil)
	return t != nil
}
