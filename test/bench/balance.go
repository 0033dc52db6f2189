package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"monsoonstep/test/fleet"
)

// serviceModel describes a service of a real installation at a small scale: its targets and the work of a booking.
type serviceModel struct {
	name string
	// speeds has the speed of each target, relative to one of speed 1.
	speeds []float64
	// slots is the number of bookings that a target runs at the same time.
	slots int
	// meanWork is the mean time that a booking needs at a target of speed 1.
	meanWork time.Duration
}

var (
	lagtjanst = serviceModel{"lagtjanst", []float64{1, 1, 2, 2, 3, 3, 4}, 2, 100 * time.Millisecond}
	atelier   = serviceModel{"atelier", []float64{1, 1, 1, 1.5, 1.5, 2, 2}, 7, 300 * time.Millisecond}
)

const (
	// balanceNet is the number of the first fleet; it selects the fleet's loopback addresses.
	balanceNet   = 60
	loadDuration = 12 * time.Second
	// longLoadShare is the load, as a share of the capacity, that is measured for longLoadDuration instead of
	// loadDuration: at this load the work of a target varies by chance by 5% over longLoadDuration, and by 10%
	// over loadDuration.
	longLoadShare    = 0.8
	longLoadDuration = 45 * time.Second
	// warmupDuration is the length of a load before the first measurement; its result is ignored.
	warmupDuration = 6 * time.Second
	// rampUpDuration is the time until new targets get their whole share of the load.
	rampUpDuration  = 11 * time.Second
	requestDeadline = 2 * time.Second
	flowCount       = 200
	// queueLimit is the queue limit in the service's catalogue entry.
	queueLimit = 8
	// maxOverMeanLimit is the highest accepted result of workMaxOverMean.
	maxOverMeanLimit = 1.05
	// minGoodputShare is the lowest accepted goodput, as a share of that of a single ideal queue.
	minGoodputShare = 0.95
	// maxRefusalMillis is the longest accepted time until a refusal under overload, at the 99th percentile.
	maxRefusalMillis = 100
	// disturbanceStart is the time since the first booking of the load at which the disturbance is counted as applied.
	// disturb waits a second longer, because the load first opens its connections for about a second.
	disturbanceStart        = 6 * time.Second
	disturbanceLoadDuration = 26 * time.Second
	// recoveredShare is the share of the important bookings of a second that must be answered in time for the service to
	// count as recovered in that second.
	recoveredShare       = 0.97
	disturbanceLoadShare = 0.7
	// maxRecoverySeconds is the longest accepted time in seconds from a disturbance until the service has recovered.
	maxRecoverySeconds = 5
)

// capacity returns how many bookings a second all slots together can run.
func (s serviceModel) capacity() float64 {
	sum := 0.0
	for _, speed := range s.speeds {
		sum += speed * float64(s.slots)
	}
	return sum / s.meanWork.Seconds()
}

// benchBalance compares the dispatch policies at several loads, and then measures how leastWait recovers from
// disturbances.
func benchBalance(_ context.Context, dir string) error {
	number := balanceNet
	// The optional second argument selects one dispatch policy or disturbance, for trials.
	if len(os.Args) > 2 {
		return benchSinglePart(dir, number, os.Args[2])
	}
	for _, policy := range []string{"leastWait", "random", "roundRobin", "byFlow"} {
		for _, s := range []serviceModel{lagtjanst, atelier} {
			loads := []float64{0.5, longLoadShare, 0.95, 1.5}
			if s.name == atelier.name {
				loads = []float64{longLoadShare, 1.5}
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

// benchSinglePart measures one disturbance, or one dispatch policy for long enough to show a difference of 5%.
func benchSinglePart(dir string, number int, name string) error {
	for _, d := range disturbances {
		if d.name == name {
			return disturb(dir, number, d)
		}
	}
	return comparePolicy(dir, number, lagtjanst, name, []float64{longLoadShare, longLoadShare, longLoadShare, 0.95, 1.5, 1.5, 1.5})
}

// startService starts a service with a dispatch policy, and waits until its targets have finished their ramp-up.
func startService(dir string, number int, s serviceModel, policy string) (*fleet.Fleet, fleet.Service, error) {
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
		if _, err := f.StartAgent(i+1, service, s.meanWork); err != nil {
			return f, service, err
		}
		if err := f.Targets[i].Control(fmt.Sprintf("/set?speed=%f", speed)); err != nil {
			return f, service, err
		}
	}
	err = f.PutEntry(service, func(entry map[string]any) {
		entry["limits"] = map[string]any{"slots": s.slots, "queue": queueLimit}
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
	time.Sleep(rampUpDuration)
	_, err = runLoad(f, service, s, disturbanceLoadShare, warmupDuration, 99)
	return f, service, err
}

// runLoad offers a load, as a share of the service's capacity, and returns its report.
func runLoad(f *fleet.Fleet, service fleet.Service, s serviceModel, load float64, duration time.Duration, seed uint64) (fleet.LoadReport, error) {
	p, err := startLoad(f, service, s, load, duration, seed)
	if err != nil {
		return fleet.LoadReport{}, err
	}
	return waitLoad(p, duration)
}

// startLoad starts a load and does not wait for its end.
func startLoad(f *fleet.Fleet, service fleet.Service, s serviceModel, load float64, duration time.Duration, seed uint64) (*fleet.Process, error) {
	return f.StartLoad(service, "--flows", fmt.Sprint(flowCount), "--rate", fmt.Sprint(load*s.capacity()),
		"--mean", s.meanWork.String(), "--deadline", requestDeadline.String(), "--duration", duration.String(), "--seed", fmt.Sprint(seed))
}

// waitLoad waits for the end of a load and returns its report.
func waitLoad(p *fleet.Process, duration time.Duration) (fleet.LoadReport, error) {
	var r fleet.LoadReport
	out, err := p.Wait(duration + 30*time.Second)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(out, &r)
}

// comparePolicy measures one dispatch policy at several loads, given as shares of the capacity, and prints a row
// for each. It adds figures only for leastWait.
func comparePolicy(dir string, number int, s serviceModel, policy string, loads []float64) error {
	f, service, err := startService(dir, number, s, policy)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	var goodShareAt95 float64
	for i, load := range loads {
		seed := uint64(i + 1)
		duration := loadDuration
		if load == longLoadShare {
			duration = longLoadDuration
		}
		timesBefore, err := slotTimeUsed(f)
		if err != nil {
			return err
		}
		r, err := runLoad(f, service, s, load, duration, seed)
		if err != nil {
			return err
		}
		timesAfter, err := slotTimeUsed(f)
		if err != nil {
			return err
		}
		maxOverMean := workMaxOverMean(s, timesBefore, timesAfter)
		ideal := idealGoodput(s, fleet.Arrivals(seed, load*s.capacity(), duration, s.meanWork, flowCount))
		goodputShare := float64(r.Important.Good) / ideal
		fmt.Printf("%-9s %-13s load %.2f: used slot time max/mean %.3f, important %d of %d good (%.3f of a single ideal queue), normal %d of %d, "+
			"refused %d + %d (p99 %d ms), unknown %d, important answered p50/p99 %d/%d ms\n",
			s.name, policy, load, maxOverMean, r.Important.Good, r.Important.Offered, goodputShare, r.Normal.Good, r.Normal.Offered,
			r.Important.NotRun, r.Normal.NotRun, max(r.Important.RefusalP99Millis, r.Normal.RefusalP99Millis), r.Important.Other+r.Normal.Other,
			r.Important.LatencyP50Millis, r.Important.LatencyP99Millis)
		goodShare := float64(r.Important.Good) / float64(r.Important.Offered)
		if load == 0.95 {
			goodShareAt95 = goodShare
		}
		if policy == "leastWait" {
			addBalanceFigures(s, load, maxOverMean, goodputShare, goodShare, goodShareAt95, r)
		}
	}
	return nil
}

// addBalanceFigures adds the figures of one load. Under overload the share of important bookings that are
// answered in time must be at least that at 95% load, if that was measured.
func addBalanceFigures(s serviceModel, load, maxOverMean, goodputShare, goodShare, goodShareAt95 float64, r fleet.LoadReport) {
	name := fmt.Sprintf("%s_%.0f", s.name, 100*load)
	if load == longLoadShare {
		checkAtMost(name+"_work_max_over_mean", maxOverMean, maxOverMeanLimit)
	}
	checkAtLeast(name+"_important_goodput_of_one_queue", goodputShare, minGoodputShare)
	if load > 1 {
		checkAtMost(name+"_refusal_p99_millis", float64(max(r.Important.RefusalP99Millis, r.Normal.RefusalP99Millis)), maxRefusalMillis)
		if goodShareAt95 > 0 {
			checkAtLeast(name+"_important_good_share", goodShare, goodShareAt95)
		}
	}
}

// slotTimeUsed returns the time in milliseconds for which the slots of each target were used so far.
func slotTimeUsed(f *fleet.Fleet) ([]float64, error) {
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

// workMaxOverMean returns the longest slot time that a target used between two measurements, divided by the mean
// over all targets.
func workMaxOverMean(s serviceModel, before, after []float64) float64 {
	sum, longest := 0.0, 0.0
	for i := range s.speeds {
		used := after[i] - before[i]
		sum += used
		longest = max(longest, used)
	}
	return longest * float64(len(s.speeds)) / max(1, sum)
}

// disturbance is a change that is applied while a load runs.
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
			if _, err := f.StartAgent(i, s, lagtjanst.meanWork); err != nil {
				return err
			}
		}
		return nil
	}},
}

// disturb measures how many seconds after a disturbance the share of important bookings that are answered in time
// was last below recoveredShare.
func disturb(dir string, number int, d disturbance) error {
	f, service, err := startService(dir, number, lagtjanst, "leastWait")
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	p, err := startLoad(f, service, lagtjanst, disturbanceLoadShare, disturbanceLoadDuration, 7)
	if err != nil {
		return err
	}
	time.Sleep(disturbanceStart + time.Second)
	if err := d.apply(f, service); err != nil {
		return err
	}
	r, err := waitLoad(p, disturbanceLoadDuration)
	if err != nil {
		return err
	}
	lastLowSecond := 0
	for second, share := range r.GoodSharePerSecond {
		if second >= int(disturbanceStart.Seconds()) && share < recoveredShare {
			lastLowSecond = second + 1 - int(disturbanceStart.Seconds())
		}
	}
	fmt.Printf("%s: important %d of %d good, last second below the recovered share: %d s after the disturbance; share each second %.2f\n",
		d.name, r.Important.Good, r.Important.Offered, lastLowSecond, r.GoodSharePerSecond)
	checkAtMost(d.name+"_seconds_low", float64(lastLowSecond), maxRecoverySeconds)
	return nil
}
