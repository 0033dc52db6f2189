package proofs_test

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/test/fleet"
)

// Random, truncated and foreign packets on every UDP port are dropped and counted, and callers notice
// nothing. An instance with another fleet key does not get in.
func TestForgedPacketsAreDropped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	startAll(t, f, 2, 2, 15*time.Millisecond)
	report := startCaller(t, f, atelier, 10*time.Second, "--callers", "30", "--period", "100ms")
	rng := rand.New(rand.NewPCG(1, 2))
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for n := range 6000 {
		p := make([]byte, rng.IntN(1300))
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		if len(p) > 6 && n%3 == 0 {
			copy(p, []byte{0x40, 0}) // a short QUIC header with generation 0
		}
		if len(p) > 6 && n%3 == 1 {
			copy(p, []byte{1, 0, 1, 0}) // a frame's first bytes
		}
		for _, to := range []string{
			f.BalancerIP(1) + ":9443", f.BalancerIP(1) + ":7402", f.BalancerIP(1) + ":7401",
			f.AgentIP(1) + ":7402", f.AgentIP(1) + ":7401",
		} {
			addr, err := net.ResolveUDPAddr("udp4", to)
			is.NoErr(err)
			_, _ = conn.WriteToUDP(p, addr)
		}
		if n%20 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	r := report()
	is.Equal(r.FeedsBroken, 0)
	is.Equal(r.Answered, r.Bookings)
	for name, p := range map[string]*fleet.Process{
		`monsoonstep_packets_total{outcome="dropForged"}`:    f.Balancers[0],
		`monsoonstep_packets_total{outcome="dropMalformed"}`: f.Balancers[0],
		`monsoonstep_answers_forged_total`:                   f.Balancers[0],
		`monsoonstep_control_refused_total{kind="forged"}`:   f.Balancers[0],
		`monsoonstep_frames_dropped_total{reason="forged"}`:  f.Agents[0],
	} {
		t.Logf("%s %s: %v", p.Name, name, counter(p, name))
		is.True(counter(p, name) > 100)
	}

	is.NoErr(f.NewFleetKey()) // what is started from now on has another key
	stranger, err := f.StartBalancer(3)
	is.NoErr(err)
	time.Sleep(4 * time.Second)
	d, err := control(stranger)
	is.NoErr(err)
	is.Equal(len(d.Members), 1) // it knows itself only
	d, err = control(f.Balancers[0])
	is.NoErr(err)
	is.Equal(len(d.Members), 4)
}
