// Command demo runs a fleet of real processes on loopback. While callers of a service hold feeds open and make
// bookings, half of the balancers are stopped or killed, half of the targets are drained, and the catalogue
// entry is edited. It checks that no feed breaks, every booking is answered, and no booking runs twice.
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

// atelier is the service of the demo.
var atelier = fleet.Service{Name: "atelier", Port: 9443, Slots: 7}

const (
	balancers      = 4
	agents         = 4
	callers        = 60
	callerDuration = 22 * time.Second
	// inForceLimit is the required time within which an accepted edit is in force on all processes.
	inForceLimit = 11 * time.Second
	// fleetNumber is the second byte of the IP addresses, before FLEET_NET is added.
	fleetNumber = 90
)

// demo holds the fleet and the results of the run.
type demo struct {
	fleet  *fleet.Fleet
	report fleet.CallerReport
	// editDelay is the time from the edit of the entry until it was in force in all processes.
	editDelay time.Duration
	// drainDelay is the time from the drain command to the last booking that a drained target started.
	drainDelay   time.Duration
	failedChecks []string
}

func main() {
	keep := flag.Bool("keep", false, "keep the directory with the logs")
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
	if len(d.failedChecks) > 0 {
		fmt.Println("FAILED CHECKS:", d.failedChecks)
		os.Exit(1)
	}
	fmt.Println("all guarantees held")
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "demo:", err)
	os.Exit(1)
}

func (d *demo) run(dir string) error {
	if err := fleet.Build(".", dir); err != nil {
		return err
	}
	runDir := dir + "/run"
	if err := os.Mkdir(runDir, 0o755); err != nil {
		return err
	}
	var err error
	if d.fleet, err = fleet.New(runDir, dir, fleetNumber); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	logStep("%d balancers and %d agents with their targets are ready", balancers, agents)
	caller, err := d.fleet.StartCaller(atelier, "--callers", fmt.Sprint(callers), "--duration", callerDuration.String())
	if err != nil {
		return err
	}
	logStep("%d callers hold feeds open and make bookings", callers)
	time.Sleep(4 * time.Second)
	if err := d.changeFleet(); err != nil {
		return err
	}
	out, err := caller.Wait(callerDuration + 20*time.Second)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(out, &d.report); err != nil {
		return err
	}
	return d.checkResults()
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
	// Only agents that have been known for keySettleMillis own idempotency keys.
	time.Sleep(f.KeySettle + time.Second)
	return nil
}

// changeFleet stops or kills half of the balancers, drains half of the agents and edits the service's catalogue entry.
func (d *demo) changeFleet() error {
	f := d.fleet
	f.Balancers[0].Stop()
	f.Balancers[1].Kill()
	logStep("balancer 1 was asked to stop, balancer 2 was killed")
	time.Sleep(2 * time.Second)
	drainedAt := time.Now()
	for i := agents/2 + 1; i <= agents; i++ {
		if out, code := f.OperatorCommand("drain", fmt.Sprintf("agent-%d", i)); code != 0 {
			return fmt.Errorf("drain: %s", out)
		}
	}
	logStep("agents %d to %d were asked to drain", agents/2+1, agents)
	time.Sleep(3 * time.Second)
	editedAt := time.Now()
	err := f.PutEntry(atelier, func(entry map[string]any) {
		entry["limits"] = map[string]any{"slots": atelier.Slots, "queue": 48}
	})
	if err != nil {
		return err
	}
	if err := d.waitUntilEditInForce(); err != nil {
		return err
	}
	d.editDelay = time.Since(editedAt)
	logStep("the edit of the catalogue entry is in force in all processes")
	time.Sleep(3 * time.Second)
	for i := agents / 2; i < agents; i++ {
		var j targetJournal
		if err := fleet.GetJSON(f.Targets[i].Admin, "/journal", &j); err != nil {
			return err
		}
		d.drainDelay = max(d.drainDelay, j.LastRun.Sub(drainedAt))
	}
	return nil
}

// waitUntilEditInForce waits until every running agent and balancer reports the latest edit of the entry.
func (d *demo) waitUntilEditInForce() error {
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

// targetJournal is the part of a target's /journal that the demo reads.
type targetJournal struct {
	Runs    map[string]int
	LastRun time.Time
}

// checkResults prints the results and checks the guarantees.
func (d *demo) checkResults() error {
	duplicateRuns := 0
	total := 0
	perTarget := make([]int, agents)
	for i, t := range d.fleet.Targets {
		var j targetJournal
		if err := fleet.GetJSON(t.Admin, "/journal", &j); err != nil {
			return err
		}
		for _, n := range j.Runs {
			perTarget[i] += n
			total += n
			duplicateRuns += n - 1
		}
	}
	r := d.report
	fmt.Printf("\n%-34s %8d\n", "callers, each with a feed", r.Flows)
	fmt.Printf("%-34s %8d\n", "broken feeds", r.FeedsBroken)
	fmt.Printf("%-34s %8d\n", "bookings", r.Bookings)
	fmt.Printf("%-34s %8d\n", "bookings answered completely", r.Answered)
	fmt.Printf("%-34s %8d\n", "bookings unknown or not run", len(r.Unknown)+len(r.NotRun))
	fmt.Printf("%-34s %8d\n", "wrong answers", r.Wrong)
	fmt.Printf("%-34s %8d\n", "duplicate runs of bookings", duplicateRuns)
	fmt.Printf("%-34s %8.1f\n", "seconds until edit in force", d.editDelay.Seconds())
	fmt.Printf("%-34s %8.1f\n", "seconds from drain to last run", d.drainDelay.Seconds())
	fmt.Printf("%-34s %8d / %d ms\n", "booking time p50 / p99", r.P50Millis, r.P99Millis)
	for i, n := range perTarget {
		fmt.Printf("runs on target %d (%d slots)%8s %8d  (%.0f%%)\n", i+1, atelier.Slots, "", n, 100*float64(n)/float64(max(1, total)))
	}
	d.check(r.FeedsBroken == 0 && r.FeedsOpen == callers, "feeds stay open")
	d.check(r.Answered == r.Bookings && r.Bookings > 0 && r.Wrong == 0, "every booking is answered completely and correctly")
	d.check(duplicateRuns == 0, "a booking runs at most once")
	d.check(d.drainDelay < 5*time.Second, "a drained target gets no new bookings after 5 s")
	if len(r.FeedErrors)+len(r.AttemptErrors) > 0 {
		fmt.Println("breaks:", firstFive(r.FeedErrors), "\nattempt errors:", firstFive(r.AttemptErrors))
	}
	return nil
}

// check records the name of a check that failed.
func (d *demo) check(passed bool, name string) {
	if !passed {
		d.failedChecks = append(d.failedChecks, name)
	}
}

func firstFive(list []string) []string { return list[:min(5, len(list))] }

func logStep(format string, args ...any) { fmt.Printf("- "+format+"\n", args...) }
