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
	// controlNet is the number of the first fleet; it selects the fleet's loopback addresses.
	controlNet = 70
	// controlWindow is the length of the measurement while nothing changes.
	controlWindow = 20 * time.Second
	// controlSettleTime is the pause before a measurement, after the membership has converged, the processes have loaded
	// the snapshot, or the baseline process has been started.
	controlSettleTime = 15 * time.Second
	// The limits below are the requirements on the control plane (docs/CAPACITY.md), those for bytes, processor and memory per node.
	// No figure checks convergenceLimit: the benchmark fails if the membership has not converged by then.
	bytesPerSecondLimit = 4096
	processorShareLimit = 0.045
	memoryBytesLimit    = 32 << 20
	inForceLimit        = 11 * time.Second
	convergenceLimit    = 5 * time.Minute
	deathDetectionLimit = 15 * time.Second
)

// benchControl measures the cost of the control plane in fleets of 10 to 160 processes, and then that of single
// processes with the members and entries of the largest required fleet (docs/CAPACITY.md).
func benchControl(ctx context.Context, dir string) error {
	sizes := []int{10, 20, 40, 80, 160}
	// The optional second argument selects one part, for trials: "full" or a number of processes.
	if len(os.Args) > 2 && os.Args[2] == "full" {
		return measureFullSize(ctx, dir)
	}
	if len(os.Args) > 2 {
		n, err := strconv.Atoi(os.Args[2])
		if err != nil {
			return err
		}
		sizes = []int{n}
	}
	var results []controlResult
	for i, n := range sizes {
		result, err := measureFleet(dir, i, n)
		if err != nil {
			return err
		}
		result.print()
		results = append(results, result)
	}
	last := results[len(results)-1]
	checkAtMost("bytes_out_per_node_160", last.bytesOut, bytesPerSecondLimit)
	checkAtMost("bytes_in_per_node_160", last.bytesIn, bytesPerSecondLimit)
	checkAtMost("bytes_growth_10_to_160", last.bytesOut/results[0].bytesOut, 2)
	checkAtMost("processor_share_per_node_160", last.processor, processorShareLimit)
	checkAtMost("edit_in_force_seconds_160", last.editInForce.Seconds(), inForceLimit.Seconds())
	checkAtMost("death_noticed_seconds_160", last.deathDetected.Seconds(), deathDetectionLimit.Seconds())
	checkAtMost("false_deaths", last.falseDeaths, 0)
	checkAtMost("platform_reads_a_second_160", last.platformReads, 40)
	return measureFullSize(ctx, dir)
}

// controlResult has the measurements of one fleet. Bytes are per node and second, processor is the share of one
// processor per node, memory is in bytes per node, and platformReads are per second of the whole fleet.
type controlResult struct {
	nodes         int
	bytesIn       float64
	bytesOut      float64
	processor     float64
	memory        float64
	platformReads float64
	// converged is the time from the write of the entry, right after the start of the last process, until each process
	// sees exactly the started members alive.
	converged         time.Duration
	editInForce       time.Duration
	deathDetected     time.Duration
	massDeathDetected time.Duration
	falseDeaths       float64
}

func (r controlResult) print() {
	fmt.Printf("%3d nodes, membership converged after %.0f s: %5.0f B/s in %5.0f B/s out, processor %.4f, memory %.1f MB, %.1f platform reads/s in all, edit in force %.2f s, "+
		"one death detected everywhere after %.2f s, a tenth killed and one suspended after %.2f s, false deaths %.0f\n",
		r.nodes, r.converged.Seconds(), r.bytesIn, r.bytesOut, r.processor, r.memory/(1<<20), r.platformReads,
		r.editInForce.Seconds(), r.deathDetected.Seconds(), r.massDeathDetected.Seconds(), r.falseDeaths)
}

// measureFleet measures a fleet of n balancers.
func measureFleet(dir string, index, n int) (controlResult, error) {
	f, err := newFleet(fmt.Sprintf("%s/%d", dir, n), controlNet+index)
	if err != nil {
		return controlResult{}, err
	}
	defer f.Close()
	service := fleet.Service{Name: "atelier", Port: 9443, Slots: 7}
	if err := f.StartPlatform(); err != nil {
		return controlResult{}, err
	}
	for i := 1; i <= n; i++ {
		if _, err := f.StartBalancer(i); err != nil {
			return controlResult{}, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := f.PutEntry(service, nil); err != nil {
		return controlResult{}, err
	}
	result := controlResult{nodes: n}
	started := time.Now()
	err = fleet.WaitUntil(convergenceLimit, func() bool { return allSeeMembers(f.Balancers, n) })
	if err != nil {
		return result, fmt.Errorf("membership of %d nodes did not converge: %w", n, err)
	}
	result.converged = time.Since(started)
	time.Sleep(controlSettleTime)
	result.measureSteadyState(f)
	if err := result.measureEdit(f, service); err != nil {
		return result, err
	}
	return result, result.measureDeaths(f, n)
}

// measureSteadyState measures bytes, processor time, memory and platform reads while nothing changes.
func (r *controlResult) measureSteadyState(f *fleet.Fleet) {
	before, processorTime := sumCounters(f.Balancers), sumProcessorTime(f.Balancers)
	started := time.Now()
	time.Sleep(controlWindow)
	seconds := time.Since(started).Seconds()
	processorTime = sumProcessorTime(f.Balancers) - processorTime
	after := sumCounters(f.Balancers)
	n := float64(r.nodes)
	r.bytesIn = (after.in - before.in) / seconds / n
	r.bytesOut = (after.out - before.out) / seconds / n
	r.platformReads = (after.platformReads - before.platformReads) / seconds
	r.processor = processorTime.Seconds() / seconds / n
	for _, p := range f.Balancers {
		r.memory += float64(fleet.ResidentMemory(p.Pid())) / n
	}
}

// measureEdit measures the time from the acceptance of an edit until it is in force on all nodes.
func (r *controlResult) measureEdit(f *fleet.Fleet, service fleet.Service) error {
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
			d, err := controlState(p)
			return err == nil && len(d.Services) == 1 && d.Services[0].EditID == entry.Edit.ID
		})
		if err != nil {
			return err
		}
	}
	r.editInForce = time.Since(started) - accepted
	return nil
}

// measureDeaths measures how long it takes all other nodes to detect one killed node, and then a tenth of the nodes
// killed and one suspended. It counts the deaths that were declared beyond these.
func (r *controlResult) measureDeaths(f *fleet.Fleet, n int) error {
	f.Balancers[n-1].Kill()
	started := time.Now()
	if err := fleet.WaitUntil(time.Minute, func() bool { return allSeeMembers(f.Balancers[:n-1], n-1) }); err != nil {
		return err
	}
	r.deathDetected = time.Since(started)
	killed := max(1, n/10)
	remaining := n - 1 - killed
	for _, p := range f.Balancers[remaining : n-1] {
		p.Kill()
	}
	f.Balancers[0].Suspend()
	started = time.Now()
	if err := fleet.WaitUntil(2*time.Minute, func() bool { return allSeeMembers(f.Balancers[1:remaining], remaining-1) }); err != nil {
		return err
	}
	r.massDeathDetected = time.Since(started)
	f.Balancers[0].Resume()
	if err := fleet.WaitUntil(2*time.Minute, func() bool { return allSeeMembers(f.Balancers[:remaining], remaining) }); err != nil {
		return err
	}
	// The expected deaths are the node killed alone, the tenth killed later, and the suspended node, which may be
	// declared dead before it is resumed.
	for _, p := range f.Balancers[:remaining] {
		text, err := fleet.GetText(p.Admin, "/metrics")
		if err != nil {
			return err
		}
		r.falseDeaths += max(0, metricValue(text, "monsoonstep_deaths_total")-float64(killed+2))
	}
	return nil
}

// allSeeMembers reports whether each process sees exactly n members alive.
func allSeeMembers(processes []*fleet.Process, n int) bool {
	for _, p := range processes {
		text, err := fleet.GetText(p.Admin, "/metrics")
		if err != nil || metricValue(text, `monsoonstep_members{health="alive"}`) != float64(n) {
			return false
		}
	}
	return true
}

// controlCounters has the sums of control bytes and platform reads over processes.
type controlCounters struct{ in, out, platformReads float64 }

// sumCounters adds up the counters of the processes that answer.
func sumCounters(processes []*fleet.Process) controlCounters {
	var c controlCounters
	for _, p := range processes {
		text, err := fleet.GetText(p.Admin, "/metrics")
		if err != nil {
			continue
		}
		c.in += metricValue(text, `monsoonstep_control_bytes_total{direction="in"}`)
		c.out += metricValue(text, `monsoonstep_control_bytes_total{direction="out"}`)
		c.platformReads += metricValue(text, "monsoonstep_platform_reads_total")
	}
	return c
}

func sumProcessorTime(processes []*fleet.Process) time.Duration {
	var sum time.Duration
	for _, p := range processes {
		sum += fleet.ProcessorTime(p.Pid())
	}
	return sum
}

// metricValue returns the value of a metric in a text of metrics, and 0 if it is missing.
func metricValue(text, name string) float64 {
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

// controlState returns the control plane's part of a process's state.
func controlState(p *fleet.Process) (ctrl.Dump, error) {
	var state struct{ Control ctrl.Dump }
	err := fleet.GetJSON(p.Admin, "/state", &state)
	return state.Control, err
}
