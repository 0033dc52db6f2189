// Command stand3 plays the cases of the third review that are scripts: it starts the node programs as the deploy file says, with
// stand-ins for the store, the routers, the endpoints and the clients, and brings one disruption about.
//
//	stand3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it does
// the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// minAnswered is how many requests must have been answered for a case to count.
const minAnswered = 200

// play is one case.
type play func(w *world, trouble bool) error

var plays = map[string]play{"unnamed": playUnnamed, "late-deregister": playLateDeregister, "queued": playQueued}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w, err := newWorld(dir, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.stopOnSignal(exitFailed)
	err = plays[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.stop()
	r.note("%d requests answered", w.answered.Load())
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case w.answered.Load() < minAnswered:
		fmt.Fprintf(os.Stderr, "only %d requests were answered\n", w.answered.Load())
		return exitFailed
	case len(r.broken) > 0:
		fmt.Printf("broken %d times; first: %s\n", len(r.broken), r.broken[0])
		return exitBroken
	}
	fmt.Printf("held; %d requests answered\n", w.answered.Load())
	return exitHeld
}

// deploy starts balancers, and agents with an endpoint each, and then the clients with their flows. It returns once traffic has run for longer than
// contactMs, so that all machines are in touch.
func (w *world) deploy(balancers, agents, clients, flows int, pause time.Duration) error {
	w.configure(7)
	for i := range balancers {
		if _, err := w.addMachine("balancer", fmt.Sprintf("front-%d", i+1), byte(1+i)); err != nil {
			return err
		}
	}
	var sides []*machine
	for i := range agents {
		m, err := w.addMachine("agent", fmt.Sprintf("side-%d", i+1), byte(101+i))
		if err != nil {
			return err
		}
		sides = append(sides, m)
	}
	time.Sleep(500 * time.Millisecond)
	for i, m := range sides {
		e, err := w.startEndpoint(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
	}
	time.Sleep(4 * time.Second)
	const spacing = 50 * time.Millisecond
	for i := range clients {
		if err := w.startClient(w.address(byte(151+i)), flows, spacing, pause); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + 2*time.Second + time.Duration(flows)*spacing)
	return nil
}
