// Package proc holds what all long-running processes have in common: the group of their goroutines, the logs, the
// metrics, and the handling of signals.
package proc

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// maxBufferedLogLines bounds the log lines that are buffered until they are written; further lines are dropped and
	// counted.
	maxBufferedLogLines = 1024
	// maxLogLinesPerSecond limits the volume of the log to about 100 kB/s.
	maxLogLinesPerSecond = 500
)

// Process is a running process.
type Process struct {
	Group   *group.Group
	Log     logs.Logger
	Metrics *metrics.Set
	ring    *logs.Ring
	signals chan os.Signal
}

// New returns a process that logs to out, and starts its log writer and the reception of signals.
func New(out io.Writer, level string) (*Process, error) {
	g, err := group.New(context.Background())
	if err != nil {
		return nil, err
	}
	ring := logs.NewRing(out, maxBufferedLogLines, maxLogLinesPerSecond)
	p := &Process{
		Group:   g,
		Log:     logs.New(ring, level),
		Metrics: metrics.NewSet(),
		ring:    ring,
		signals: make(chan os.Signal, 4),
	}
	p.Metrics.NewGauge("monsoonstep_log_lines_dropped", func() float64 { return float64(ring.Dropped()) })
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	g.Go("log writer", ring.Run)
	return p, nil
}

// Abort stops the group after a failed start, waits for its goroutines and returns the cause.
func (p *Process) Abort(cause error) error {
	p.Group.Stop()
	_ = p.Group.Wait()
	return cause
}

// StopWhen stops the group when done is closed.
func (p *Process) StopWhen(done <-chan struct{}) {
	p.Group.Go("finish", func(ctx context.Context) error {
		select {
		case <-done:
			p.Group.Stop()
		case <-ctx.Done():
		}
		return nil
	})
}

// Run waits for the group to end and returns its first failure. The first SIGTERM or SIGINT starts a graceful stop by
// the given function, the second stops at once.
func (p *Process) Run(version string, stop func(context.Context)) error {
	log := p.Log.Part("process")
	log.Info("the process has started", "pid", os.Getpid(), "version", version)
	p.Group.Go("signals", func(ctx context.Context) error {
		if !p.awaitStopSignal(ctx, log) {
			return nil
		}
		p.Group.Task(func() {
			stop(ctx)
			p.Group.Stop()
		})
		if p.awaitStopSignal(ctx, log) {
			log.Warn("stopping at once after a second stop signal; work in progress is cut off")
			p.Group.Stop()
		}
		return nil
	})
	<-p.Group.Context().Done()
	err := p.Group.Wait()
	log.Info("the process has ended")
	p.ring.Flush()
	return err
}

// awaitStopSignal waits for SIGTERM or SIGINT and reports whether one came before the context ended. SIGHUP is only
// logged, since the settings of a running process do not change.
func (p *Process) awaitStopSignal(ctx context.Context, log logs.Logger) bool {
	for {
		select {
		case s := <-p.signals:
			if s == syscall.SIGHUP {
				log.Info("SIGHUP is ignored: settings are only read when the process starts")
				continue
			}
			log.Info("received a stop signal", "signal", s)
			return true
		case <-ctx.Done():
			return false
		}
	}
}
