// Command stand runs the stand-ins for the surroundings of monsoonstep in tests and the demo: the platform's
// key-value service, the network fabric, a target, callers, an open-loop load generator and a TCP relay that
// injects faults. Each runs as a separate process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// standIns maps the name of each stand-in to the function that runs it.
var standIns = map[string]func(ctx context.Context, args []string) error{
	"platform": runPlatform,
	"fabric":   runFabric,
	"target":   runTarget,
	"caller":   runCaller,
	"load":     runLoad,
	"relay":    runRelay,
}

func main() {
	if len(os.Args) < 2 || standIns[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand platform|fabric|target|caller|load|relay [flags]")
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := standIns[os.Args[1]](ctx, os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		os.Exit(1)
	}
}
