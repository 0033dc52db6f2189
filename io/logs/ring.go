package logs

import (
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Ring is a writer that never blocks and whose volume is bounded: lines are buffered in a ring until Run writes them.
// Lines beyond the rate limit or the capacity of the ring are dropped and counted.
type Ring struct {
	lines   chan []byte
	out     io.Writer
	limit   *rate.Limiter
	dropped atomic.Uint64
}

// NewRing returns a ring that buffers at most size lines for out. It accepts a burst of size lines, and linesPerSecond
// on average. Lines are only written while Run runs.
func NewRing(out io.Writer, size int, linesPerSecond float64) *Ring {
	return &Ring{lines: make(chan []byte, size), out: out, limit: rate.NewLimiter(rate.Limit(linesPerSecond), size)}
}

// Write buffers or drops one line. It never fails.
func (r *Ring) Write(line []byte) (int, error) {
	if !r.limit.Allow() {
		r.dropped.Add(1)
		return len(line), nil
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// maxBatchBytes is the batch size from which no further lines are added, which bounds one write call.
const maxBatchBytes = 16 << 10

// Run writes lines until the context ends, and then flushes the ring.
func (r *Ring) Run(ctx context.Context) error {
	for {
		select {
		case line := <-r.lines:
			r.writeBatch(line)
		case <-ctx.Done():
			r.Flush()
			return nil
		}
	}
}

// Flush writes the lines that are buffered now.
func (r *Ring) Flush() {
	for {
		select {
		case line := <-r.lines:
			r.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with those buffered after it. A failed write counts as one dropped line.
func (r *Ring) writeBatch(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if _, err := r.out.Write(batch); err != nil {
		r.dropped.Add(1)
	}
}
