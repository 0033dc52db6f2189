package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/queue"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/state"
)

const (
	service   state.ServiceName = "atelier"
	objective                   = 150 * time.Millisecond
)

var (
	start   = time.Unix(1_000_000, 0)
	virtual = state.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	minor   = state.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}
)

// newQueue returns a queue with a route to virtual and a less important one to minor.
func newQueue() *queue.Queue {
	q := queue.New(func(state.ServiceName) time.Duration { return 30 * time.Millisecond })
	routes := make(map[state.Endpoint]state.Route)
	for priority, endpoint := range []state.Endpoint{virtual, minor} {
		routes[endpoint] = state.Route{
			Virtual: endpoint, Priority: priority, LatencyObjective: objective,
			Services: []state.WeightedService{{Service: service, Weight: 1}},
		}
	}
	q.Configure(state.Config{Version: 1, Routes: routes})
	return q
}

// flowOf returns a flow of a caller.
func flowOf(caller byte, port uint16, to state.Endpoint) *queue.Flow {
	id := state.FlowID{Client: state.Endpoint{IP: [4]byte{100, 64, 0, caller}, Port: port}, Virtual: to}
	return &queue.Flow{Segment: state.Segment{Flow: id, Opens: true, Packet: []byte("syn")}, Reason: relay.ReasonFull}
}

// anyFlow accepts every flow.
func anyFlow(*queue.Flow, bool) bool { return true }

// Guards against flows of a minor route that take the turns of an important one's, and against two orders: that of a scan and that of
// a sort.
func TestImportantFlowsComeFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Add(start, flowOf(4, 300, minor))
	for n := range uint16(10) {
		q.Add(start.Add(time.Duration(n)), flowOf(1, n, virtual))
	}
	is.Equal(q.Counts(start)[service], queue.Counts{InTime: 11})
	sorted := q.Sorted(start)
	for n := range 11 {
		f := q.Next(start, service, anyFlow)
		is.Equal(f, sorted[n])
		is.Equal(f.Segment.Flow.Virtual == minor, n == 10)
		q.Remove(f.Segment.Flow)
	}
	is.Equal(len(q.Counts(start)), 0)
}

// Guards against flows that can't be answered in time and delay those that can.
func TestLateFlowsComeLast(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	q.Add(start, flowOf(1, 1, virtual))
	now := start.Add(objective)
	q.Add(now, flowOf(2, 2, minor))
	is.Equal(q.Next(now, service, anyFlow).Segment.Flow.Client.Port, uint16(2))
	is.Equal(q.Counts(now)[service], queue.Counts{InTime: 1, Late: 1})
}

// Guards against an overloaded service that answers every flow just too late: while flows are late, the youngest in time goes first.
func TestYoungestGoesFirstUnderOverload(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	now := start.Add(objective)
	for n := range uint16(3) {
		q.Add(now.Add(time.Duration(n)), flowOf(1, n, virtual))
	}
	is.Equal(q.Next(now, service, anyFlow).Segment.Flow.Client.Port, uint16(0))
	q.Add(start, flowOf(2, 9, virtual))
	q.Tick(now)
	is.Equal(q.Next(now, service, anyFlow).Segment.Flow.Client.Port, uint16(2))
}

// BenchmarkNext finds the first of 200 queued flows.
func BenchmarkNext(b *testing.B) {
	q := newQueue()
	for n := range uint16(200) {
		q.Add(start, flowOf(byte(n%50), n, virtual))
	}
	for range b.N {
		q.Next(start, service, anyFlow)
	}
}

// BenchmarkTick does the work of a tick with 200 queued flows.
func BenchmarkTick(b *testing.B) {
	q := newQueue()
	for n := range uint16(200) {
		q.Add(start, flowOf(byte(n%50), n, virtual))
	}
	for range b.N {
		q.Tick(start)
		q.Sorted(start)
	}
}
