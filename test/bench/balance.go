package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"monsoonstep/test/fleet"
)

// shape is a users' service in small: targets with speeds, slots and callers.
type shape struct {
	name   string
	speeds []float64
	slots  int
	// mean is the mean work of a booking at speed 1.
	mean time.Duration
}

var (
	lagtjanst = shape{"lagtjanst", []float64{1, 1, 2, 2, 3, 3, 4}, 2, 100 * time.Millisecond}
	atelier   = shape{"atelier", []float64{1, 1, 1, 1.5, 1.5, 2, 2}, 7, 300 * time.Millisecond}
)

const (
	balanceNet  = 60
	balanceTime = 12 * time.Second
	// longLoad is a load that is measured for longTime: at it the work of a target varies by chance by 5%
	// with longTime, and by 10% with balanceTime.
	longLoad      = 0.8
	longTime      = 45 * time.Second
	balanceWarm   = 6 * time.Second
	balanceRamp   = 11 * time.Second
	deadline      = 2 * time.Second
	loadFlows     = 200
	queuePlaces   = 8
	evenTarget    = 1.05
	goodputTarget = 0.95
	atOnceMillis  = 100
	disturbAt     = 6 * time.Second
	disturbTime   = 26 * time.Second
	recovered     = 0.97
	disturbedLoad = 0.7
	recoverTarget = 5
)

// capacity is how many bookings a second all slots can run.
func (s shape) capacity() float64 {
	sum := 0.0
	for _, speed := range s.speeds {
		sum += speed * float64(s.slots)
	}
	return sum / s.mean.Seconds()
}

// benchBalance compares ways of dispatch at several loads, and then disturbs the chosen one.
func benchBalance(_ context.Context, dir string) error {
	number := balanceNet
	// A part of the benchmark, for trials: the way of dispatch is the second argument.
	if len(os.Args) > 2 {
		return benchPart(dir, number, os.Args[2])
	}
	for _, policy := range []string{"leastWait", "random", "roundRobin", "byFlow"} {
		for _, s := range []shape{lagtjanst, atelier} {
			loads := []float64{0.5, longLoad, 0.95, 1.5}
			if s.name == atelier.name {
				loads = []float64{longLoad, 1.5}
			}
			if s.name == atelier.name && policy != "leastWait" && policy != "byFlow" {
				continue
			}
			if err := comparePolicy(dir, number, s, policy, loads); err != nil {
				return err
			}
			number++
		}
	}
	for _, d := range disturbances {
		if err := disturb(dir, number, d); err != nil {
			return err
		}
		number++
	}
	return nil
}

// benchPart measures one way of dispatch for long enough that a difference of 5% shows, or one disturbance.
func benchPart(dir string, number int, name string) error {
	for _, d := range disturbances {
		if d.name == name {
			return disturb(dir, number, d)
		}
	}
	return comparePolicy(dir, number, lagtjanst, name, []float64{longLoad, longLoad, longLoad, 0.95, 1.5, 1.5, 1.5})
}

// startShape starts a service of a shape with a way of dispatch, and waits until its targets are ramped up.
func startShape(dir string, number int, s shape, policy string) (*fleet.Fleet, fleet.Service, error) {
	service := fleet.Service{Name: s.name, Port: 9443, Slots: s.slots}
	f, err := newFleet(fmt.Sprintf("%s/%d", dir, number), number)
	if err != nil {
		return nil, service, err
	}
	f.ExtraAgentSettings = map[string]any{"dispatch": policy}
	if err := f.StartPlatform(); err != nil {
		return f, service, err
	}
	for i := 1; i <= 2; i++ {
		if _, err := f.StartBalancer(i); err != nil {
			return f, service, err
		}
	}
	for i, speed := range s.speeds {
		if _, err := f.StartAgent(i+1, service, s.mean); err != nil {
			return f, service, err
		}
		if err := f.Targets[i].Control(fmt.Sprintf("/set?speed=%f", speed)); err != nil {
			return f, service, err
		}
	}
	err = f.PutEntry(service, func(entry map[string]any) {
		entry["limits"] = map[string]any{"slots": s.slots, "queue": queuePlaces}
	})
	if err != nil {
		return f, service, err
	}
	if err := f.StartFabric(service, 2); err != nil {
		return f, service, err
	}
	if err := fleet.WaitReady(append(f.Balancers, f.Agents...)...); err != nil {
		return f, service, err
	}
	time.Sleep(balanceRamp)
	_, err = runLoad(f, service, s, disturbedLoad, balanceWarm, 99)
	return f, service, err
}

func runLoad(f *fleet.Fleet, service fleet.Service, s shape, share float64, duration time.Duration, seed uint64) (fleet.LoadReport, error) {
	p, err := startLoad(f, service, s, share, duration, seed)
	if err != nil {
		return fleet.LoadReport{}, err
	}
	return waitLoad(p, duration)
}

func startLoad(f *fleet.Fleet, service fleet.Service, s shape, share float64, duration time.Duration, seed uint64) (*fleet.Process, error) {
	return f.StartLoad(service, "--flows", fmt.Sprint(loadFlows), "--rate", fmt.Sprint(share*s.capacity()),
		"--mean", s.mean.String(), "--deadline", deadline.String(), "--duration", duration.String(), "--seed", fmt.Sprint(seed))
}

func waitLoad(p *fleet.Process, duration time.Duration) (fleet.LoadReport, error) {
	var r fleet.LoadReport
	out, err := p.Wait(duration + 30*time.Second)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(out, &r)
}

func comparePolicy(dir string, number int, s shape, policy string, loads []float64) error {
	f, service, err := startShape(dir, number, s, policy)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	var at95 float64
	for i, share := range loads {
		seed := uint64(i + 1)
		duration := balanceTime
		if share == longLoad {
			duration = longTime
		}
		before, err := busyOf(f)
		if err != nil {
			return err
		}
		r, err := runLoad(f, service, s, share, duration, seed)
		if err != nil {
			return err
		}
		after, err := busyOf(f)
		if err != nil {
			return err
		}
		even := unevenness(s, before, after)
		ideal := idealGoodput(s, fleet.Arrivals(seed, share*s.capacity(), duration, s.mean, loadFlows))
		goodput := float64(r.Important.Good) / ideal
		fmt.Printf("%-9s %-13s load %.2f: work over capacity max/mean %.3f, important %d of %d good (%.3f of one queue), normal %d of %d, "+
			"refused %d + %d (p99 %d ms), unknown %d, important answered p50/p99 %d/%d ms\n",
			s.name, policy, share, even, r.Important.Good, r.Important.Offered, goodput, r.Normal.Good, r.Normal.Offered,
			r.Important.NotRun, r.Normal.NotRun, max(r.Important.RefusalP99Millis, r.Normal.RefusalP99Millis), r.Important.Other+r.Normal.Other,
			r.Important.LatencyP50Millis, r.Important.LatencyP99Millis)
		share95 := float64(r.Important.Good) / float64(r.Important.Offered)
		if share == 0.95 {
			at95 = share95
		}
		if policy == "leastWait" {
			balanceFigures(s, share, even, goodput, share95, at95, r)
		}
	}
	return nil
}

func balanceFigures(s shape, load, even, goodput, good, at95 float64, r fleet.LoadReport) {
	name := fmt.Sprintf("%s_%.0f", s.name, 100*load)
	if load == longLoad {
		atMost(name+"_work_max_over_mean", even, evenTarget)
	}
	atLeast(name+"_important_goodput_of_one_queue", goodput, goodputTarget)
	if load > 1 {
		atMost(name+"_refusal_p99_millis", float64(max(r.Important.RefusalP99Millis, r.Normal.RefusalP99Millis)), atOnceMillis)
		if at95 > 0 {
			atLeast(name+"_important_good_share", good, at95)
		}
	}
}

// busyOf returns the time for which each target's slots were used.
func busyOf(f *fleet.Fleet) ([]float64, error) {
	var out []float64
	for _, t := range f.Targets {
		var j struct{ BusyMillis float64 }
		if err := fleet.GetJSON(t.Admin, "/journal", &j); err != nil {
			return nil, err
		}
		out = append(out, j.BusyMillis)
	}
	return out, nil
}

// unevenness is the highest share of used slot time of a target over the mean.
func unevenness(s shape, before, after []float64) float64 {
	sum, highest := 0.0, 0.0
	for i := range s.speeds {
		used := after[i] - before[i]
		sum += used
		highest = max(highest, used)
	}
	return highest * float64(len(s.speeds)) / max(1, sum)
}

// disturbance is a change in the middle of a load.
type disturbance struct {
	name  string
	apply func(*fleet.Fleet, fleet.Service) error
}

var disturbances = []disturbance{
	{"target_slows_5x", func(f *fleet.Fleet, _ fleet.Service) error { return f.Targets[5].Control("/set?speed=0.6") }},
	{"target_fails_but_reports_health", func(f *fleet.Fleet, _ fleet.Service) error { return f.Targets[3].Control("/set?failing=true") }},
	{"target_drains", func(f *fleet.Fleet, _ fleet.Service) error {
		if out, code := f.OperatorCommand("drain", "agent-4"); code != 0 {
			return fmt.Errorf("drain: %s", out)
		}
		return nil
	}},
	{"two_targets_join_cold", func(f *fleet.Fleet, s fleet.Service) error {
		for i := 8; i <= 9; i++ {
			if _, err := f.StartAgent(i, s, lagtjanst.mean); err != nil {
				return err
			}
		}
		return nil
	}},
}

// disturb measures how long the important class's goodput stays low after a disturbance.
func disturb(dir string, number int, d disturbance) error {
	f, service, err := startShape(dir, number, lagtjanst, "leastWait")
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	p, err := startLoad(f, service, lagtjanst, disturbedLoad, disturbTime, 7)
	if err != nil {
		return err
	}
	time.Sleep(disturbAt + time.Second)
	if err := d.apply(f, service); err != nil {
		return err
	}
	r, err := waitLoad(p, disturbTime)
	if err != nil {
		return err
	}
	last := 0
	for second, share := range r.GoodSharePerSecond {
		if second >= int(disturbAt.Seconds()) && share < recovered {
			last = second + 1 - int(disturbAt.Seconds())
		}
	}
	fmt.Printf("%s: important %d of %d good, low until %d s after; share each second %.2f\n",
		d.name, r.Important.Good, r.Important.Offered, last, r.GoodSharePerSecond)
	atMost(d.name+"_seconds_low", float64(last), recoverTarget)
	return nil
}
