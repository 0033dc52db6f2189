package logs

import (
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Ring is a writer that never blocks and whose volume is bounded: lines wait in a bounded ring for the duty that writes
// them. Lines beyond the rate, or beyond the ring, are dropped and counted.
type Ring struct {
	lines   chan []byte
	out     io.Writer
	limit   *rate.Limiter
	dropped atomic.Uint64
}

// NewRing returns a ring of at most size lines before out, which takes so many lines a second after a burst of as many as the ring
// holds. Run must be started for lines to be written.
func NewRing(out io.Writer, size int, linesPerSecond float64) *Ring {
	return &Ring{lines: make(chan []byte, size), out: out, limit: rate.NewLimiter(rate.Limit(linesPerSecond), size)}
}

// Write takes one line. It never fails.
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

// Dropped returns how many lines were dropped.
func (r *Ring) Dropped() uint64 { return r.dropped.Load() }

// batchBytes bounds how much is written in one call.
const batchBytes = 16 << 10

// Run writes lines until the context ends, and then what is left.
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

// Flush writes what waits now.
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

// writeBatch writes a line together with those that wait behind it.
func (r *Ring) writeBatch(batch []byte) {
	for len(batch) < batchBytes {
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
