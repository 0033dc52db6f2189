// Package logs provides loggers that write logfmt lines, each with a time, a level and the part of the
// program that wrote it.
//
//	ts=2026-12-04T02:15:22.1Z level=info part=balancer msg="service is served; its socket is open" service=atelier address=10.0.0.7:443
package logs

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger writes log lines for one part of the program.
type Logger struct {
	base log.Logger
}

// New returns a logger that writes lines of at least the minimum level to w.
func New(w io.Writer, minimum string) Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = level.NewFilter(base, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
	return Logger{base: log.With(base, "ts", log.DefaultTimestampUTC)}
}

// Part returns a logger whose lines carry the name of a part.
func (l Logger) Part(name string) Logger {
	return Logger{base: log.With(l.base, "part", name)}
}

// Debug writes a line for developers.
func (l Logger) Debug(msg string, pairs ...any) { l.write(level.Debug(l.base), msg, pairs) }

// Info writes a line about a change that was intended.
func (l Logger) Info(msg string, pairs ...any) { l.write(level.Info(l.base), msg, pairs) }

// Warn writes a line about a fault that the system handles itself.
func (l Logger) Warn(msg string, pairs ...any) { l.write(level.Warn(l.base), msg, pairs) }

// Error writes a line about a fault that needs an operator.
func (l Logger) Error(msg string, pairs ...any) { l.write(level.Error(l.base), msg, pairs) }

func (l Logger) write(to log.Logger, msg string, pairs []any) {
	// A failure to write the log must not stop the process, and there is nowhere else to report it.
	_ = to.Log(append([]any{"msg", msg}, pairs...)...)
}
