// Command demo shows monsoonstep at work on loopback: a service with open feeds and bookings loses half
// of its balancers and half of its targets, its entry is edited, and no caller notices.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"monsoonstep/io/ctrl"
	"monsoonstep/test/fleet"
)

var atelier = fleet.Service{Name: "atelier", Port: 9443, Slots: 7}

const (
	balancers    = 4
	agents       = 4
	callers      = 60
	callTime     = 22 * time.Second
	inForceLimit = 11 * time.Second
	demoNet      = 90
)

// demo collects what the run showed.
type demo struct {
	fleet   *fleet.Fleet
	report  fleet.CallerReport
	inForce time.Duration
	lateRun time.Duration
	broken  []string
}

func main() {
	keep := flag.Bool("keep", false, "keep the folder with the logs")
	flag.Parse()
	fleet.ExitOnSignal()
	dir, err := os.MkdirTemp("", "monsoonstep-demo-")
	if err != nil {
		fail(err)
	}
	d := &demo{}
	err = d.run(dir)
	if d.fleet != nil {
		d.fleet.Close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo: logs are in", dir)
		fail(err)
	}
	if !*keep {
		_ = os.RemoveAll(dir)
	}
	if len(d.broken) > 0 {
		fmt.Println("PROMISES BROKEN:", d.broken)
		os.Exit(1)
	}
	fmt.Println("all promises held")
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "demo:", err)
	os.Exit(1)
}

func (d *demo) run(dir string) error {
	if err := fleet.Build(".", dir); err != nil {
		return err
	}
	work := dir + "/run"
	if err := os.Mkdir(work, 0o755); err != nil {
		return err
	}
	var err error
	if d.fleet, err = fleet.New(work, dir, demoNet); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	say("%d balancers, %d agents and targets are ready", balancers, agents)
	caller, err := d.fleet.StartCaller(atelier, "--callers", fmt.Sprint(callers), "--duration", callTime.String())
	if err != nil {
		return err
	}
	say("%d callers hold feeds and book", callers)
	time.Sleep(4 * time.Second)
	if err := d.shrink(); err != nil {
		return err
	}
	out, err := caller.Wait(callTime + 20*time.Second)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(out, &d.report); err != nil {
		return err
	}
	return d.judge()
}

func (d *demo) start() error {
	f := d.fleet
	if err := f.StartPlatform(); err != nil {
		return err
	}
	for i := 1; i <= balancers; i++ {
		if _, err := f.StartBalancer(i); err != nil {
			return err
		}
	}
	for i := 1; i <= agents; i++ {
		if _, err := f.StartAgent(i, atelier, 15*time.Millisecond); err != nil {
			return err
		}
	}
	if err := f.PutEntry(atelier, nil); err != nil {
		return err
	}
	if err := f.StartFabric(atelier, balancers); err != nil {
		return err
	}
	if err := fleet.WaitReady(append(f.Balancers, f.Agents...)...); err != nil {
		return err
	}
	// Keys belong to agents that have been known for keySettleMillis.
	time.Sleep(f.KeySettle + time.Second)
	return nil
}

// shrink removes half of the balancers, drains half of the targets and edits the entry.
func (d *demo) shrink() error {
	f := d.fleet
	f.Balancers[0].Stop()
	f.Balancers[1].Kill()
	say("balancer 1 is stopped, balancer 2 is killed")
	time.Sleep(2 * time.Second)
	drained := time.Now()
	for i := agents/2 + 1; i <= agents; i++ {
		if out, code := f.OperatorCommand("drain", fmt.Sprintf("agent-%d", i)); code != 0 {
			return fmt.Errorf("drain: %s", out)
		}
	}
	say("agents %d to %d are asked to drain", agents/2+1, agents)
	time.Sleep(3 * time.Second)
	edited := time.Now()
	err := f.PutEntry(atelier, func(entry map[string]any) {
		entry["limits"] = map[string]any{"slots": atelier.Slots, "queue": 48}
	})
	if err != nil {
		return err
	}
	if err := d.waitInForce(); err != nil {
		return err
	}
	d.inForce = time.Since(edited)
	say("the edit of the entry is in force everywhere")
	time.Sleep(3 * time.Second)
	for i := agents / 2; i < agents; i++ {
		var j journal
		if err := fleet.GetJSON(f.Targets[i].Admin, "/journal", &j); err != nil {
			return err
		}
		d.lateRun = max(d.lateRun, j.LastRun.Sub(drained))
	}
	return nil
}

// waitInForce waits until every process that runs reports the newest edit of the entry.
func (d *demo) waitInForce() error {
	var entry struct{ Edit struct{ ID string } }
	out, _ := d.fleet.OperatorCommand("catalogue", "get", atelier.Name)
	if err := json.Unmarshal([]byte(out), &entry); err != nil {
		return err
	}
	return fleet.WaitUntil(inForceLimit, func() bool {
		for _, p := range append(d.fleet.Balancers, d.fleet.Agents...) {
			var state struct{ Control ctrl.Dump }
			if !p.Running() {
				continue
			}
			if fleet.GetJSON(p.Admin, "/state", &state) != nil || len(state.Control.Services) != 1 ||
				state.Control.Services[0].EditID != entry.Edit.ID {
				return false
			}
		}
		return true
	})
}

type journal struct {
	Runs    map[string]int
	LastRun time.Time
}

func (d *demo) judge() error {
	doubles := 0
	total := 0
	perTarget := make([]int, agents)
	for i, t := range d.fleet.Targets {
		var j journal
		if err := fleet.GetJSON(t.Admin, "/journal", &j); err != nil {
			return err
		}
		for _, n := range j.Runs {
			perTarget[i] += n
			total += n
			doubles += n - 1
		}
	}
	r := d.report
	fmt.Printf("\n%-34s %8d\n", "callers with an open feed", r.Flows)
	fmt.Printf("%-34s %8d\n", "feeds broken", r.FeedsBroken)
	fmt.Printf("%-34s %8d\n", "bookings made", r.Bookings)
	fmt.Printf("%-34s %8d\n", "answered whole", r.Answered)
	fmt.Printf("%-34s %8d\n", "given up as unknown or not run", len(r.Unknown)+len(r.NotRun))
	fmt.Printf("%-34s %8d\n", "wrong answers", r.Wrong)
	fmt.Printf("%-34s %8d\n", "runs twice", doubles)
	fmt.Printf("%-34s %8.1f\n", "seconds until the edit is in force", d.inForce.Seconds())
	fmt.Printf("%-34s %8.1f\n", "seconds until drained get no work", d.lateRun.Seconds())
	fmt.Printf("%-34s %8d / %d ms\n", "booking time p50 / p99", r.P50Millis, r.P99Millis)
	for i, n := range perTarget {
		fmt.Printf("work of target %d (%d slots)%8s %8d  (%.0f%%)\n", i+1, atelier.Slots, "", n, 100*float64(n)/float64(max(1, total)))
	}
	d.promise(r.FeedsBroken == 0 && r.FeedsOpen == callers, "feeds stay open")
	d.promise(r.Answered == r.Bookings && r.Bookings > 0 && r.Wrong == 0, "bookings are answered whole")
	d.promise(doubles == 0, "at most one run")
	d.promise(d.lateRun < 5*time.Second, "a drained target gets no new work")
	if len(r.FeedErrors)+len(r.AttemptErrors) > 0 {
		fmt.Println("breaks:", first(r.FeedErrors), "\ntries that failed:", first(r.AttemptErrors))
	}
	return nil
}

func (d *demo) promise(held bool, name string) {
	if !held {
		d.broken = append(d.broken, name)
	}
}

func first(list []string) []string { return list[:min(5, len(list))] }

func say(format string, args ...any) { fmt.Printf("- "+format+"\n", args...) }
