// Stand starts the project's node programs with stand-ins for the store, the routers, the endpoints and the clients, plays one case of
// the review and judges it. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//
// Usage: stand CASE FOLDER. With TROUBLE=0 in the environment the disruption is left out. KEEP=1 keeps the logs of the processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runLimit ends a run that takes too long.
const runLimit = 110 * time.Second

// The exit codes.
const (
	held    = 0
	broken  = 1
	failure = 2
)

// scenario plays a case and reports how often the rule was broken. An error means that the case could not run.
type scenario func(w *world, trouble bool) (int, error)

var scenarios = map[string]scenario{
	"frozen-offer":   frozenOffer,
	"lone-watcher":   loneWatcher,
	"moved-route":    movedRoute,
	"late-heartbeat": lateHeartbeat,
	"new-balancer":   newBalancer,
	"silent-store":   silentStore,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return failure
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failure
	}
	defer record.close()
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failure
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	w.group.Task(func() { result <- play(w, scenarios[os.Args[1]]) })
	code := failure
	select {
	case code = <-result:
	case <-time.After(runLimit):
		record.line("the run took too long")
	case <-stopped:
		record.line("stopped by a signal")
	}
	w.shutDown()
	return code
}

// play plays a scenario and returns the exit code.
func play(w *world, s scenario) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w.record.line("the case runs; disruption: %t", trouble)
	breaks, err := s(w, trouble)
	switch {
	case err != nil:
		w.record.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return failure
	case breaks > 0:
		w.record.line("RESULT: the rule was broken %d times", breaks)
		fmt.Println("broken:", breaks)
		return broken
	default:
		w.record.line("RESULT: the rule held")
		fmt.Println("held")
		return held
	}
}
