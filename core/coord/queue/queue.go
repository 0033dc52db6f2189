// Package queue holds the new flows of a balancer that no target could be given at once, and decides their order. It knows no targets.
//
// A queue is deterministic: its methods receive the current time.
package queue

import (
	"time"

	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

// MaxFlows limits the number of queued flows.
const MaxFlows = 1024

// Flow is a new flow that could not be placed at once.
type Flow struct {
	// Segment is the opening packet.
	Segment state.Segment
	// Since is when the flow was first queued. A flow that was queued before, and then offered without success, keeps it.
	Since time.Time
	// Unanswered is true if a target was offered the flow and did not answer: it may still accept it.
	Unanswered bool
	// Reason is why the flow could not be placed.
	Reason relay.Reason
	// Route and Service are those of the configuration in force; Routed is false if it has no route for the flow.
	Route   state.Route
	Service state.ServiceName
	Routed  bool

	// line holds the flow, at index.
	line  *line
	index int
	// number orders flows by when they were added.
	number uint64
	// lateAfter is until when the flow can be answered within its latency objective, by the service time at the last Tick.
	lateAfter time.Time
}

// line is the queue of one service.
type line struct {
	flows []*Flow
	// overloaded is true if flows were late at the last Tick.
	overloaded bool
}

// Queue holds the queued flows of a balancer. It is not safe for concurrent use.
type Queue struct {
	// serviceTime returns the mean service time of a service's targets; zero if it is not known.
	serviceTime func(state.ServiceName) time.Duration
	config      state.Config
	flows       map[state.FlowID]*Flow
	// lines holds each queued flow once, by service, which is empty for the flows without a route; a line may be empty.
	lines map[state.ServiceName]*line
	added uint64
}

// New returns an empty queue. The function returns the mean service time of a service's targets; zero if it is not known.
func New(serviceTime func(state.ServiceName) time.Duration) *Queue {
	return &Queue{
		serviceTime: serviceTime,
		flows:       make(map[state.FlowID]*Flow),
		lines:       make(map[state.ServiceName]*line),
	}
}

// Configure looks up the routes of all queued flows in a new configuration.
func (q *Queue) Configure(c state.Config) {
	q.config = c
	for _, f := range q.flows {
		q.leave(f)
		q.route(f)
		q.join(f)
	}
}

// Len returns the number of queued flows.
func (q *Queue) Len() int { return len(q.flows) }

// Contains reports whether a flow is queued.
func (q *Queue) Contains(id state.FlowID) bool { return q.flows[id] != nil }

// Full reports whether the queue holds MaxFlows flows.
func (q *Queue) Full() bool { return len(q.flows) >= MaxFlows }

// Add queues a flow with a copy of its packet. Since is set to now if it is zero. The flow must not be queued already.
func (q *Queue) Add(now time.Time, f *Flow) {
	if f.Since.IsZero() {
		f.Since = now
	}
	f.Segment.Packet = append([]byte(nil), f.Segment.Packet...)
	q.added++
	f.number = q.added
	q.flows[f.Segment.Flow] = f
	q.route(f)
	q.join(f)
}

// Remove removes a flow, if it is queued.
func (q *Queue) Remove(id state.FlowID) {
	f := q.flows[id]
	if f == nil {
		return
	}
	delete(q.flows, id)
	q.leave(f)
}

// Tick updates what the order depends on: lateness and overload.
func (q *Queue) Tick(now time.Time) {
	for _, l := range q.lines {
		l.overloaded = false
		for _, f := range l.flows {
			q.updateLateAfter(f)
			l.overloaded = l.overloaded || f.late(now)
		}
	}
}

// Counts are how many flows are queued for a service.
type Counts struct {
	// InTime is the number of flows that can still be answered within their latency objectives, Late that of the others.
	InTime int
	Late   int
	// Priority is the highest priority of the flows; 0 is the highest.
	Priority int
}

// Counts returns what is queued for each service that has queued flows, those without a route aside.
func (q *Queue) Counts(now time.Time) map[state.ServiceName]Counts {
	counts := make(map[state.ServiceName]Counts)
	for _, f := range q.flows {
		if !f.Routed {
			continue
		}
		c, known := counts[f.Service]
		if !known || f.Route.Priority < c.Priority {
			c.Priority = f.Route.Priority
		}
		if f.late(now) {
			c.Late++
		} else {
			c.InTime++
		}
		counts[f.Service] = c
	}
	return counts
}

// route looks up the route of a flow.
func (q *Queue) route(f *Flow) {
	f.Route, f.Routed = q.config.Routes[f.Segment.Flow.Virtual]
	f.Service = f.Route.SelectService(f.Segment.Flow)
	q.updateLateAfter(f)
}

// join adds a flow to the line of its service.
func (q *Queue) join(f *Flow) {
	l := q.lines[f.Service]
	if l == nil {
		l = new(line)
		q.lines[f.Service] = l
	}
	f.line, f.index = l, len(l.flows)
	l.flows = append(l.flows, f)
}

// leave removes a flow from its line.
func (*Queue) leave(f *Flow) {
	flows := f.line.flows
	last := len(flows) - 1
	flows[f.index] = flows[last]
	flows[f.index].index = f.index
	flows[last] = nil
	f.line.flows = flows[:last]
}

// updateLateAfter determines until when a flow can be answered within its latency objective.
func (q *Queue) updateLateAfter(f *Flow) {
	f.lateAfter = f.startedAt().Add(f.Route.LatencyObjective - q.serviceTime(f.Service))
}

// startedAt is when the client of a flow began to open it, as far as is known.
func (f *Flow) startedAt() time.Time { return f.Since.Add(-f.Segment.ConnectAge) }

// late reports whether a flow can no longer be answered within its latency objective, even if a target accepts it now. A flow
// whose client has not waited yet is not late, however long the service time is.
func (f *Flow) late(now time.Time) bool {
	return f.Route.LatencyObjective > 0 && now.After(f.lateAfter) && now.After(f.startedAt())
}
