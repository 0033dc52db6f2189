package agent

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// flows holds this agent's open connections of callers. It is safe for concurrent use.
type flows struct {
	mu   sync.Mutex
	open map[*quic.Conn]*flow
}

// flow is one caller's connection.
type flow struct {
	// requests is the number of requests that are open on the connection.
	requests int
	// lastActive is when a request last started or ended; before the first request, when the connection
	// was accepted.
	lastActive time.Time
	// goAwaySent is when GOAWAY was sent on the connection; zero before that.
	goAwaySent time.Time
}

// connContextKey is the key of a request's connection in the request's context.
type connContextKey struct{}

func newFlows() *flows { return &flows{open: make(map[*quic.Conn]*flow)} }

// add adds a connection, which is removed when it closes.
func (f *flows) add(c *quic.Conn) {
	f.mu.Lock()
	f.open[c] = &flow{lastActive: time.Now()}
	f.mu.Unlock()
	context.AfterFunc(c.Context(), func() {
		f.mu.Lock()
		delete(f.open, c)
		f.mu.Unlock()
	})
}

// count returns the number of open connections.
func (f *flows) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

func (f *flows) requestStarted(ctx context.Context) { f.adjustRequests(ctx, 1) }

func (f *flows) requestEnded(ctx context.Context) { f.adjustRequests(ctx, -1) }

// adjustRequests changes the number of open requests of the connection in a request's context.
func (f *flows) adjustRequests(ctx context.Context, by int) {
	c, ok := ctx.Value(connContextKey{}).(*quic.Conn)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if open, ok := f.open[c]; ok {
		open.requests += by
		open.lastActive = time.Now()
	}
}

// idleSinceGoAway returns how long a flow has had no request since GOAWAY was sent. The time before GOAWAY does
// not count, because a caller that has not received it yet may be sending a request.
func (f *flow) idleSinceGoAway(now time.Time) time.Duration {
	if f.requests > 0 || f.goAwaySent.IsZero() {
		return 0
	}
	since := f.lastActive
	if f.goAwaySent.After(since) {
		since = f.goAwaySent
	}
	return now.Sub(since)
}

// markGoAwaySent records that GOAWAY is sent now on all connections that have not had one.
func (f *flows) markGoAwaySent(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, open := range f.open {
		if open.goAwaySent.IsZero() {
			open.goAwaySent = now
		}
	}
}

// anyWithoutGoAway reports whether there are connections on which GOAWAY has not been sent.
func (f *flows) anyWithoutGoAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, open := range f.open {
		if open.goAwaySent.IsZero() {
			return true
		}
	}
	return false
}

// closeIdle closes the connections that have had no request for longer than the timeout since GOAWAY.
func (f *flows) closeIdle(timeout time.Duration) {
	var idle []*quic.Conn
	f.mu.Lock()
	for c, open := range f.open {
		if open.idleSinceGoAway(time.Now()) > timeout {
			idle = append(idle, c)
		}
	}
	f.mu.Unlock()
	for _, c := range idle {
		_ = c.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}
