package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
	"monsoonstep/io/conf"
	"monsoonstep/io/ctrl"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
	"monsoonstep/io/peers"
	"monsoonstep/test/fleet"
)

const (
	// fullNet is the number of the fleet; it selects the fleet's loopback addresses.
	fullNet = 76
	// fullMembers and fullServices are the size of the largest required fleet (docs/CAPACITY.md): 530 balancers, 5400 agents and
	// 1500 services.
	fullMembers  = 530 + 5400
	fullServices = 1500
	// fullWindow is the length of the measurement while nothing changes.
	fullWindow = 20 * time.Second
)

// measureFullSize gives one balancer and one agent a snapshot with the members and entries of the largest required
// fleet, and compares their memory with that of a process that knows no other member.
func measureFullSize(ctx context.Context, dir string) error {
	f, err := newFleet(dir+"/full", fullNet)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.StartPlatform(); err != nil {
		return err
	}
	baseline, err := f.StartBalancer(30)
	if err != nil {
		return err
	}
	time.Sleep(controlSettleTime)
	baselineMemory, baselineShare := measureProcess(baseline)
	baseline.Kill()
	g, err := group.New(ctx)
	if err != nil {
		return err
	}
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	if err := serveSnapshot(g, f); err != nil {
		return err
	}
	balancer, err := f.StartBalancer(2)
	if err != nil {
		return err
	}
	agent, err := f.RestartAgent(1, fleet.Service{Name: "service-1", Slots: 2})
	if err != nil {
		return err
	}
	for _, p := range []*fleet.Process{balancer, agent} {
		if err := fleet.WaitUntil(time.Minute, func() bool {
			d, err := controlState(p)
			return err == nil && len(d.Members) >= fullMembers && len(d.Services) == fullServices
		}); err != nil {
			return fmt.Errorf("%s did not load the snapshot: %w", p.Name, err)
		}
	}
	time.Sleep(controlSettleTime)
	for _, p := range []*fleet.Process{balancer, agent} {
		before := sumCounters([]*fleet.Process{p})
		memory, share := measureProcess(p)
		after := sumCounters([]*fleet.Process{p})
		out := (after.out - before.out) / fullWindow.Seconds()
		fmt.Printf("%s with %d members and %d entries: memory %.1f MB, processor %.4f, %.0f B/s out (without other members: %.1f MB, %.4f)\n",
			p.Name, fullMembers, fullServices, memory/(1<<20), share, out, baselineMemory/(1<<20), baselineShare)
		checkAtMost(p.Name+"_full_control_memory_bytes", memory-baselineMemory, memoryBytesLimit)
		checkAtMost(p.Name+"_full_processor_share", share, processorShareLimit)
		checkAtMost(p.Name+"_full_bytes_out", out, bytesPerSecondLimit)
	}
	return nil
}

// measureProcess returns the memory of a process in bytes and its share of one processor over fullWindow.
func measureProcess(p *fleet.Process) (memory, share float64) {
	spent := fleet.ProcessorTime(p.Pid())
	time.Sleep(fullWindow)
	spent = fleet.ProcessorTime(p.Pid()) - spent
	return float64(fleet.ResidentMemory(p.Pid())), spent.Seconds() / fullWindow.Seconds()
}

// serveSnapshot starts a node that others join and that sends them a snapshot of the largest required fleet.
func serveSnapshot(g *group.Group, f *fleet.Fleet) error {
	file, err := f.WriteBalancerSettings(1)
	if err != nil {
		return err
	}
	settings, err := conf.LoadBalancer(file)
	if err != nil {
		return err
	}
	node, err := ctrl.New(settings.Node, state.Announcement{Role: state.RoleBalancer, Phase: state.PhaseServing},
		logs.New(io.Discard, "error"), metrics.NewSet())
	if err != nil {
		return err
	}
	members := syntheticMembers()
	records, err := syntheticRecords()
	if err != nil {
		return err
	}
	node.Start(g)
	return peers.Serve(g, settings.Peer, settings.TLS, &peers.Server{
		ExportSnapshot: func(context.Context) ([]state.Member, []state.Record, error) { return members, records, nil },
	})
}

// syntheticMembers returns 530 balancers, the rest agents, at addresses where no process listens; a node finds one of them
// dead each second.
func syntheticMembers() []state.Member {
	var members []state.Member
	for i := range fullMembers {
		at := netip.AddrFrom4([4]byte{127, 200, byte(i >> 8), byte(i)})
		m := state.Member{
			ID:          state.NewInstanceID(state.InstanceName(fmt.Sprintf("instance-%d", i)), 1796350522000),
			Incarnation: 1,
			Announcement: state.Announcement{
				Role: state.RoleAgent, Service: state.ServiceName(fmt.Sprintf("service-%d", i%fullServices)),
				DataCentre: state.DataCentre(fmt.Sprintf("data-centre-%d", i%10)), Region: state.Region(fmt.Sprintf("region-%d", i%3)),
				Gossip: netip.AddrPortFrom(at, 7401), Flow: netip.AddrPortFrom(at, 7402), Peer: netip.AddrPortFrom(at, 7403),
				Slots: 7, Phase: state.PhaseServing, Since: 1796350522000,
			},
		}
		if i < 530 {
			m.Role, m.Service = state.RoleBalancer, ""
		}
		members = append(members, m)
	}
	return members
}

// syntheticRecords returns the catalogue entries of all services as records.
func syntheticRecords() ([]state.Record, error) {
	var records []state.Record
	for i := range fullServices {
		name := state.ServiceName(fmt.Sprintf("service-%d", i))
		text := fmt.Sprintf(`{"service":%q,"owner":"bench","class":"important","address":"127.76.0.2:%d","limits":{}}`, name, 10000+i)
		e, err := wire.DecodeEntry([]byte(text))
		if err != nil {
			return nil, err
		}
		raw, err := wire.EncodeEntry(e)
		if err != nil {
			return nil, err
		}
		records = append(records, state.Record{Key: state.EntryKey(name), Revision: state.Revision(100 + i), Value: raw})
	}
	return records, nil
}
