// Package proc is what all long-running processes have in common: the group of their duties, logs, metrics, and the
// signals by which they are asked to stop or to read their settings again.
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
	// logLines is how many log lines wait to be written; more are dropped and counted.
	logLines = 1024
	// logLinesPerSecond bounds the volume of the log: about 100 kB a second.
	logLinesPerSecond = 500
)

// Process is a running process.
type Process struct {
	Group   *group.Group
	Log     logs.Logger
	Metrics *metrics.Set
	ring    *logs.Ring
	signals chan os.Signal
}

// New returns a process that logs to out.
func New(out io.Writer, level string) (*Process, error) {
	g, err := group.New(context.Background())
	if err != nil {
		return nil, err
	}
	ring := logs.NewRing(out, logLines, logLinesPerSecond)
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

// Abort stops the group after a failed start.
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

// Run waits for the group to end. The first SIGTERM or SIGINT begins a graceful stop, the second stops at once.
func (p *Process) Run(version string, stop func(context.Context)) error {
	log := p.Log.Part("process")
	log.Info("the process has started", "pid", os.Getpid(), "version", version)
	p.Group.Go("signals", func(ctx context.Context) error {
		if !p.awaitStop(ctx, log) {
			return nil
		}
		p.Group.Task(func() {
			stop(ctx)
			p.Group.Stop()
		})
		if p.awaitStop(ctx, log) {
			log.Warn("the process stops at once; what is open is cut")
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

// awaitStop waits for a signal to stop and reports whether one came. The settings of a running process do not change, so
// SIGHUP is only noted.
func (p *Process) awaitStop(ctx context.Context, log logs.Logger) bool {
	for {
		select {
		case s := <-p.signals:
			if s == syscall.SIGHUP {
				log.Info("settings are read at the next start")
				continue
			}
			log.Info("a stop was asked for", "signal", s)
			return true
		case <-ctx.Done():
			return false
		}
	}
}
