// Package proofs_test proves with real processes, under failures, what must always hold. docs/PROOFS.md
// lists which test proves which point. Bounds come from the brief and the letters.
package proofs_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/io/agent"
	"monsoonstep/io/ctrl"
	"monsoonstep/test/fleet"
)

// The bounds.
const (
	// inForceLimit is letter 1's time for a change to be in force everywhere.
	inForceLimit = 11 * time.Second
	// drainLimit is "a few seconds" of the brief.
	drainLimit = 5 * time.Second
	// silenceLimit is the stated time within which a silent connection is noticed.
	silenceLimit = 15 * time.Second
	// deathLimit is the time within which a dead agent's callers learn it; the idle timeout is 30 s.
	deathLimit = 12 * time.Second
)

var (
	bin       string
	atelier   = fleet.Service{Name: "atelier", Port: 9443, Slots: 7}
	galerie   = fleet.Service{Name: "galerie", Port: 9444, Slots: 7}
	firstNet  = 100
	usedFleet = 0
)

func TestMain(m *testing.M) {
	var err error
	bin, err = os.MkdirTemp("", "monsoonstep-proofs-")
	if err == nil {
		err = fleet.Build("../..", bin)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fleet.ExitOnSignal()
	code := m.Run()
	fleet.KillAll()
	_ = os.RemoveAll(bin)
	os.Exit(code)
}

// scale multiplies the length of the tests; make proofs sets it.
func scale() int {
	n, err := strconv.Atoi(os.Getenv("PROOFS_SCALE"))
	if err != nil {
		return 1
	}
	return n
}

// newFleet makes a fleet that is ended with the test. Its logs are kept if the test fails and
// PROOFS_KEEP is set.
func newFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	dir := t.TempDir()
	if keep := os.Getenv("PROOFS_KEEP"); keep != "" {
		dir = keep + "/" + t.Name()
		_ = os.RemoveAll(dir)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	usedFleet++
	f, err := fleet.New(dir, bin, firstNet+usedFleet)
	if err != nil {
		t.Fatal(err)
	}
	f.KeySettle = 3 * time.Second
	t.Cleanup(f.Close)
	return f
}

// startAll starts a platform, balancers, and agents of one service, and waits until all serve and own keys.
func startAll(t *testing.T, f *fleet.Fleet, balancers, agents int, work time.Duration) {
	t.Helper()
	is := is.New(t)
	is.NoErr(f.StartPlatform())
	for i := 1; i <= balancers; i++ {
		_, err := f.StartBalancer(i)
		is.NoErr(err)
	}
	for i := 1; i <= agents; i++ {
		_, err := f.StartAgent(i, atelier, work)
		is.NoErr(err)
	}
	is.NoErr(f.PutEntry(atelier, nil))
	is.NoErr(f.StartFabric(atelier, balancers+4))
	is.NoErr(fleet.WaitReady(append(append([]*fleet.Process{}, f.Balancers...), f.Agents...)...))
	time.Sleep(f.KeySettle + time.Second)
}

// startCaller starts callers and returns a function that waits for their report.
func startCaller(t *testing.T, f *fleet.Fleet, s fleet.Service, duration time.Duration, args ...string) func() fleet.CallerReport {
	t.Helper()
	p, err := f.StartCaller(s, append([]string{"--duration", duration.String()}, args...)...)
	if err != nil {
		t.Fatal(err)
	}
	return func() fleet.CallerReport {
		t.Helper()
		out, err := p.Wait(duration + 40*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var r fleet.CallerReport
		if err := json.Unmarshal(out, &r); err != nil {
			t.Fatal(err)
		}
		t.Logf("feeds: %d open, %d broken; bookings: %d asked, %d answered, %d wrong, %d not run, %d unknown, %d keys refused, %d tries; p50 %d ms, p99 %d ms, max %d ms",
			r.FeedsOpen, r.FeedsBroken, r.Bookings, r.Answered, r.Wrong, len(r.NotRun), len(r.Unknown), len(r.ReplacedKeys), r.Attempts, r.P50Millis, r.P99Millis, r.SlowestMillis)
		if len(r.FeedErrors)+len(r.AttemptErrors) > 0 {
			t.Logf("breaks: %v\nfailed tries: %v", firstOf(r.FeedErrors), firstOf(r.AttemptErrors))
		}
		return r
	}
}

func firstOf(list []string) []string { return list[:min(4, len(list))] }

type journal struct {
	Runs    map[string]int
	Peak    int
	LastRun time.Time
}

func readJournal(t *testing.T, p *fleet.Process) journal {
	t.Helper()
	var j journal
	if err := fleet.GetJSON(p.Admin, "/journal", &j); err != nil {
		t.Fatal(err)
	}
	return j
}

// runs adds up how often each booking ran at any target.
func runs(t *testing.T, f *fleet.Fleet) map[string]int {
	t.Helper()
	all := map[string]int{}
	for _, target := range f.Targets {
		for id, n := range readJournal(t, target).Runs {
			all[id] += n
		}
	}
	return all
}

// checkRuns compares what callers were told with what the targets ran.
func checkRuns(t *testing.T, f *fleet.Fleet, r fleet.CallerReport) {
	t.Helper()
	ran := runs(t, f)
	for id, n := range ran {
		if n > 1 {
			t.Errorf("booking %s ran %d times", id, n)
		}
	}
	for _, id := range append(r.NotRun, r.ReplacedKeys...) {
		if ran[id] > 0 {
			t.Errorf("booking %s was refused as not run, but ran", id)
		}
	}
	for _, id := range r.AnsweredKeys {
		if ran[id] != 1 {
			t.Errorf("booking %s was answered, but ran %d times", id, ran[id])
		}
	}
	if r.Wrong > 0 {
		t.Errorf("%d answers were not the caller's own or not whole", r.Wrong)
	}
}

func control(p *fleet.Process) (ctrl.Dump, error) {
	var dump struct{ Control ctrl.Dump }
	err := fleet.GetJSON(p.Admin, "/state", &dump)
	return dump.Control, err
}

func agentState(p *fleet.Process) (agent.Dump, error) {
	var dump agent.Dump
	err := fleet.GetJSON(p.Admin, "/state", &dump)
	return dump, err
}

// editID returns the ID of an entry's present edit.
func editID(t *testing.T, f *fleet.Fleet, service string) string {
	t.Helper()
	var entry struct{ Edit struct{ ID string } }
	out, code := f.OperatorCommand("catalogue", "get", service)
	if code != 0 {
		t.Fatal(out)
	}
	if err := json.Unmarshal([]byte(out), &entry); err != nil {
		t.Fatal(err)
	}
	return entry.Edit.ID
}

// inForce reports whether a process has an edit in force.
func inForce(p *fleet.Process, service, edit string) bool {
	d, err := control(p)
	if err != nil {
		return false
	}
	for _, s := range d.Services {
		if s.Service == service {
			return s.EditID == edit
		}
	}
	return false
}

func running(processes ...[]*fleet.Process) []*fleet.Process {
	var out []*fleet.Process
	for _, list := range processes {
		for _, p := range list {
			if p.Running() {
				out = append(out, p)
			}
		}
	}
	return out
}

// counter reads a metric of a process; 0 if it has none.
func counter(p *fleet.Process, name string) float64 {
	text, err := fleet.GetText(p.Admin, "/metrics")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

func queue(n int) func(map[string]any) {
	return func(entry map[string]any) { entry["limits"] = map[string]any{"slots": atelier.Slots, "queue": n} }
}
