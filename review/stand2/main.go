// Command stand2 has the stand-ins for the cases of this review that are scripts: the platform's store and routers, endpoints and clients.
// It starts the project's node programs by the commands of the deploy file, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand2 assumed-open|lost-offer|clock-back RECORD | endpoint ...")
		os.Exit(notRun)
	}
	switch os.Args[1] {
	case "endpoint":
		if err := runEndpoint(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "endpoint:", err)
			os.Exit(notRun)
		}
	case "clock-back":
		os.Exit(play(os.Args[2], 0, 40*time.Millisecond, clockBack))
	case "lost-offer":
		os.Exit(play(os.Args[2], 1, 40*time.Millisecond, lostOffer))
	case "assumed-open":
		os.Exit(play(os.Args[2], 0, 150*time.Millisecond, assumedOpen))
	default:
		os.Exit(notRun)
	}
}

// play starts a deployment, plays a case on it, and returns the exit code.
func play(record string, spares int, work time.Duration, run func(f *fleet, trouble bool) (violations int, err error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(record, spares, work)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return notRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	f.g.Task(func() {
		select {
		case <-signals:
			f.stop()
			os.Exit(notRun)
		case <-f.g.Context().Done():
		}
	})
	violations, err := run(f, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		f.record("could not run: %v", err)
		return notRun
	case violations > 0:
		fmt.Println("broken:", violations)
		f.record("broken: %d", violations)
		return broken
	default:
		fmt.Println("held")
		f.record("held")
		return held
	}
}
