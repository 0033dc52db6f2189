package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"monsoonstep/io/ctrl"
	"monsoonstep/test/fleet"
)

const (
	controlNet    = 70
	controlWindow = 20 * time.Second
	controlSettle = 15 * time.Second
	// The limits of letter 1 for control, per node.
	bytesLimit     = 4096
	processorLimit = 0.045
	memoryLimit    = 32 << 20
	inForceLimit   = 11 * time.Second
	agreeLimit     = 5 * time.Minute
	deathLimit     = 15 * time.Second
)

// benchControl measures what control costs in fleets of 10 to 160 processes, then with all of letter 1's
// members and entries in one node.
func benchControl(ctx context.Context, dir string) error {
	sizes := []int{10, 20, 40, 80, 160}
	// One part only, for trials.
	if len(os.Args) > 2 && os.Args[2] == "full" {
		return measureFull(ctx, dir)
	}
	if len(os.Args) > 2 {
		n, err := strconv.Atoi(os.Args[2])
		if err != nil {
			return err
		}
		sizes = []int{n}
	}
	var rows []controlRow
	for i, n := range sizes {
		row, err := measureFleet(dir, i, n)
		if err != nil {
			return err
		}
		row.print()
		rows = append(rows, row)
	}
	last := rows[len(rows)-1]
	atMost("bytes_out_per_node_160", last.bytesOut, bytesLimit)
	atMost("bytes_in_per_node_160", last.bytesIn, bytesLimit)
	atMost("bytes_growth_10_to_160", last.bytesOut/rows[0].bytesOut, 2)
	atMost("processor_share_per_node_160", last.processor, processorLimit)
	atMost("edit_in_force_seconds_160", last.inForce.Seconds(), inForceLimit.Seconds())
	atMost("death_noticed_seconds_160", last.death.Seconds(), deathLimit.Seconds())
	atMost("false_deaths", last.falseDeaths, 0)
	atMost("platform_reads_a_second_160", last.reads, 40)
	return measureFull(ctx, dir)
}

// controlRow is what one fleet showed, per node and second where that makes sense.
type controlRow struct {
	nodes     int
	bytesIn   float64
	bytesOut  float64
	processor float64
	memory    float64
	reads     float64
	// agreed is the time from the start of the last process until all see all.
	agreed      time.Duration
	inForce     time.Duration
	death       time.Duration
	massDeath   time.Duration
	falseDeaths float64
}

func (r controlRow) print() {
	fmt.Printf("%3d nodes, all seen after %.0f s: %5.0f B/s in %5.0f B/s out, processor %.4f, memory %.1f MB, %.1f platform reads/s in all, edit in force %.2f s, "+
		"death noticed everywhere %.2f s, a tenth killed and one frozen noticed %.2f s, false deaths %.0f\n",
		r.nodes, r.agreed.Seconds(), r.bytesIn, r.bytesOut, r.processor, r.memory/(1<<20), r.reads,
		r.inForce.Seconds(), r.death.Seconds(), r.massDeath.Seconds(), r.falseDeaths)
}

func measureFleet(dir string, index, n int) (controlRow, error) {
	f, err := newFleet(fmt.Sprintf("%s/%d", dir, n), controlNet+index)
	if err != nil {
		return controlRow{}, err
	}
	defer f.Close()
	service := fleet.Service{Name: "atelier", Port: 9443, Slots: 7}
	if err := f.StartPlatform(); err != nil {
		return controlRow{}, err
	}
	for i := 1; i <= n; i++ {
		if _, err := f.StartBalancer(i); err != nil {
			return controlRow{}, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := f.PutEntry(service, nil); err != nil {
		return controlRow{}, err
	}
	row := controlRow{nodes: n}
	started := time.Now()
	err = fleet.WaitUntil(agreeLimit, func() bool { return allSee(f.Balancers, n) })
	if err != nil {
		return row, fmt.Errorf("%d nodes do not agree: %w", n, err)
	}
	row.agreed = time.Since(started)
	time.Sleep(controlSettle)
	row.measureWindow(f)
	if err := row.measureEdit(f, service); err != nil {
		return row, err
	}
	return row, row.measureDeaths(f, n)
}

// measureWindow measures bytes, processor time and reads while nothing changes.
func (r *controlRow) measureWindow(f *fleet.Fleet) {
	before, spent := countersOf(f.Balancers), processorOf(f.Balancers)
	started := time.Now()
	time.Sleep(controlWindow)
	seconds := time.Since(started).Seconds()
	spent = processorOf(f.Balancers) - spent
	after := countersOf(f.Balancers)
	n := float64(r.nodes)
	r.bytesIn = (after.in - before.in) / seconds / n
	r.bytesOut = (after.out - before.out) / seconds / n
	r.reads = (after.reads - before.reads) / seconds
	r.processor = spent.Seconds() / seconds / n
	for _, p := range f.Balancers {
		r.memory += float64(fleet.ResidentMemory(p.Pid())) / n
	}
}

func (r *controlRow) measureEdit(f *fleet.Fleet, service fleet.Service) error {
	started := time.Now()
	err := f.PutEntry(service, func(entry map[string]any) { entry["limits"] = map[string]any{"slots": 5} })
	if err != nil {
		return err
	}
	accepted := time.Since(started)
	out, _ := f.OperatorCommand("catalogue", "get", service.Name)
	var entry struct{ Edit struct{ ID string } }
	if err := json.Unmarshal([]byte(out), &entry); err != nil {
		return err
	}
	for _, p := range f.Balancers {
		err := fleet.WaitUntil(inForceLimit, func() bool {
			d, err := dumpOf(p)
			return err == nil && len(d.Services) == 1 && d.Services[0].EditID == entry.Edit.ID
		})
		if err != nil {
			return err
		}
	}
	r.inForce = time.Since(started) - accepted
	return nil
}

func (r *controlRow) measureDeaths(f *fleet.Fleet, n int) error {
	f.Balancers[n-1].Kill()
	started := time.Now()
	if err := fleet.WaitUntil(time.Minute, func() bool { return allSee(f.Balancers[:n-1], n-1) }); err != nil {
		return err
	}
	r.death = time.Since(started)
	dead := max(1, n/10)
	left := n - 1 - dead
	for _, p := range f.Balancers[left : n-1] {
		p.Kill()
	}
	f.Balancers[0].Suspend()
	started = time.Now()
	if err := fleet.WaitUntil(2*time.Minute, func() bool { return allSee(f.Balancers[1:left], left-1) }); err != nil {
		return err
	}
	r.massDeath = time.Since(started)
	f.Balancers[0].Resume()
	if err := fleet.WaitUntil(2*time.Minute, func() bool { return allSee(f.Balancers[:left], left) }); err != nil {
		return err
	}
	// One was killed alone, then a tenth; the frozen one may be counted before it is thawed.
	for _, p := range f.Balancers[:left] {
		text, err := fleet.GetText(p.Admin, "/metrics")
		if err != nil {
			return err
		}
		r.falseDeaths += max(0, metric(text, "monsoonstep_deaths_total")-float64(dead+2))
	}
	return nil
}

// allSee reports whether all processes see so many members that are running.
func allSee(processes []*fleet.Process, n int) bool {
	for _, p := range processes {
		text, err := fleet.GetText(p.Admin, "/metrics")
		if err != nil || metric(text, `monsoonstep_members{health="alive"}`) != float64(n) {
			return false
		}
	}
	return true
}

type controlCounters struct{ in, out, reads float64 }

func countersOf(processes []*fleet.Process) controlCounters {
	var c controlCounters
	for _, p := range processes {
		text, err := fleet.GetText(p.Admin, "/metrics")
		if err != nil {
			continue
		}
		c.in += metric(text, `monsoonstep_control_bytes_total{direction="in"}`)
		c.out += metric(text, `monsoonstep_control_bytes_total{direction="out"}`)
		c.reads += metric(text, "monsoonstep_platform_reads_total")
	}
	return c
}

func processorOf(processes []*fleet.Process) time.Duration {
	var sum time.Duration
	for _, p := range processes {
		sum += fleet.ProcessorTime(p.Pid())
	}
	return sum
}

func metric(text, name string) float64 {
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

func dumpOf(p *fleet.Process) (ctrl.Dump, error) {
	var state struct{ Control ctrl.Dump }
	err := fleet.GetJSON(p.Admin, "/state", &state)
	return state.Control, err
}
