// Package proofs_test checks the system's guarantees with real processes while processes, connections and
// the platform fail. docs/PROOFS.md lists which test checks which guarantee. The limits come from the
// requirements: docs/PROOFS.md has the guarantees, docs/CAPACITY.md the size that the system is designed for.
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

const (
	// inForceLimit is the required time (docs/CAPACITY.md) within which an accepted edit is in force on every node.
	inForceLimit = 11 * time.Second
	// drainLimit is the time after which a draining target gets no new work; the requirement says "a few seconds".
	drainLimit = 5 * time.Second
	// unresponsiveLimit is the documented time within which an open connection that passes no more data is detected.
	unresponsiveLimit = 15 * time.Second
	// agentDeathResetLimit is the time within which the callers of a killed agent are reset; their idle timeout
	// of 30 s would detect it later.
	agentDeathResetLimit = 12 * time.Second
)

var (
	bin              string // the directory of the built programs
	atelier          = fleet.Service{Name: "atelier", Port: 9443, Slots: 7}
	galerie          = fleet.Service{Name: "galerie", Port: 9444, Slots: 7}
	firstFleetNumber = 100
	fleetsCreated    = 0 // each fleet has its own number, which selects its loopback addresses
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

// repeatFactor returns how many times the repeated parts of tests run: PROOFS_SCALE, which make proofs sets, or 1.
func repeatFactor() int {
	n, err := strconv.Atoi(os.Getenv("PROOFS_SCALE"))
	if err != nil {
		return 1
	}
	return n
}

// newFleet creates a fleet that is closed when the test ends. If PROOFS_KEEP names a directory, the fleet's
// files and logs are kept in a folder there that has the test's name and is emptied first; otherwise they are
// removed with the test.
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
	fleetsCreated++
	f, err := fleet.New(dir, bin, firstFleetNumber+fleetsCreated)
	if err != nil {
		t.Fatal(err)
	}
	f.KeySettle = 3 * time.Second
	t.Cleanup(f.Close)
	return f
}

// startFleet starts a platform, balancers, and agents of the atelier service, whose targets have the given mean
// service time. It waits until all processes are ready and own their part of the idempotency keys.
func startFleet(t *testing.T, f *fleet.Fleet, balancers, agents int, work time.Duration) {
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

// startCallers starts a process that runs callers of a service, and returns a function that waits for its report.
func startCallers(t *testing.T, f *fleet.Fleet, s fleet.Service, duration time.Duration, args ...string) func() fleet.CallerReport {
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
		t.Logf("feeds: %d open, %d broken; bookings: %d made, %d answered, %d wrong, %d not run, %d with unknown outcome, %d keys replaced, %d attempts; p50 %d ms, p99 %d ms, max %d ms",
			r.FeedsOpen, r.FeedsBroken, r.Bookings, r.Answered, r.Wrong, len(r.NotRun), len(r.Unknown), len(r.ReplacedKeys), r.Attempts, r.P50Millis, r.P99Millis, r.SlowestMillis)
		if len(r.FeedErrors)+len(r.AttemptErrors) > 0 {
			t.Logf("feed errors: %v\nfailed attempts: %v", firstFew(r.FeedErrors), firstFew(r.AttemptErrors))
		}
		return r
	}
}

// firstFew returns at most four elements, to keep logs short.
func firstFew(list []string) []string { return list[:min(4, len(list))] }

// journal is what a target recorded about the bookings that it ran.
type journal struct {
	// Runs says how many times each booking ran, by its ID.
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

// runsByBooking returns how many times each booking ran at all targets together.
func runsByBooking(t *testing.T, f *fleet.Fleet) map[string]int {
	t.Helper()
	all := map[string]int{}
	for _, target := range f.Targets {
		for id, n := range readJournal(t, target).Runs {
			all[id] += n
		}
	}
	return all
}

// checkBookings compares the outcomes that callers received with the runs that the targets recorded: no
// booking runs twice, none that was refused as not run has run, and each that was answered has run once.
func checkBookings(t *testing.T, f *fleet.Fleet, r fleet.CallerReport) {
	t.Helper()
	ran := runsByBooking(t, f)
	for id, n := range ran {
		if n > 1 {
			t.Errorf("booking %s ran %d times", id, n)
		}
	}
	for _, id := range append(r.NotRun, r.ReplacedKeys...) {
		if ran[id] > 0 {
			t.Errorf("booking %s was refused as not run, but a target ran it", id)
		}
	}
	for _, id := range r.AnsweredKeys {
		if ran[id] != 1 {
			t.Errorf("booking %s was answered, but ran %d times", id, ran[id])
		}
	}
	if r.Wrong > 0 {
		t.Errorf("%d answers belonged to another request or were incomplete", r.Wrong)
	}
}

// controlState returns the control plane's part of a process's state.
func controlState(p *fleet.Process) (ctrl.Dump, error) {
	var dump struct{ Control ctrl.Dump }
	err := fleet.GetJSON(p.Admin, "/state", &dump)
	return dump.Control, err
}

// agentState returns the state of an agent process.
func agentState(p *fleet.Process) (agent.Dump, error) {
	var dump agent.Dump
	err := fleet.GetJSON(p.Admin, "/state", &dump)
	return dump, err
}

// editID returns the ID of the latest edit of a service's catalogue entry.
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

// isInForce reports whether a process uses the given edit of a service's entry.
func isInForce(p *fleet.Process, service, edit string) bool {
	d, err := controlState(p)
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

func runningProcesses(processes ...[]*fleet.Process) []*fleet.Process {
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

// metricValue returns the value of a process's metric, and 0 if the process does not answer or lacks the metric.
func metricValue(p *fleet.Process, name string) float64 {
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

// setQueueLimit returns a change of an entry that sets its queue limit to n.
func setQueueLimit(n int) func(map[string]any) {
	return func(entry map[string]any) { entry["limits"] = map[string]any{"slots": atelier.Slots, "queue": n} }
}
