package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"monsoonstep/io/group"
)

// ports are the ports of all machines.
type ports struct{ internal, admin, ready, control, packets, outbound, app, store int }

func portsFrom(base int) ports {
	return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func ip4(ip string) [4]byte { return netip.MustParseAddr(ip).As4() }

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// node is a machine with a process of the system.
type node struct {
	name, role, ip, service string
	zone                    int
	// misses counts the readiness checks in a row without success, for a front.
	misses int
	cmd    *exec.Cmd
	// gone is set once the process is not to be started again.
	gone bool
	// app is the endpoint on the machine, for a side.
	app *exec.Cmd
	// endpoint is its id.
	endpoint string
}

// fleet is a small deployment.
type fleet struct {
	g      *group.Group
	dir    string
	octet  int
	ports  ports
	store  *store
	seeds  []string
	fronts []*node
	sides  []*node
	serial int
	// work is how long the endpoints work on a request.
	work time.Duration
	// began is the start of the recorded time.
	began time.Time

	mu   sync.Mutex
	file *os.File
	// nextPoll is when the routers check the readiness next.
	nextPoll time.Time
	// endpointLines holds the lines that the endpoints wrote.
	endpointLines []string
}

// record writes a line to the record.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(format, args...)
}

func (f *fleet) recordLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(f.file, "%9.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// zones has for each zone how many fronts, sides of atelier and sides of galerie it has; as at lakaz-sangle.
var zones = []struct{ fronts, atelier, galerie int }{{2, 2, 1}, {2, 2, 1}, {1, 2, 1}, {1, 1, 1}}

func (f *fleet) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.octet, third, fourth)
}

// virtual returns the address of a service's route.
func (f *fleet) virtual(service string) end {
	port := uint16(8443)
	if service == "galerie" {
		port = 443
	}
	return end{ip: ip4(f.ip(30, 1)), port: port}
}

// config returns the operator's configuration.
func (f *fleet) config(version int) any {
	var routes, services []any
	for _, service := range []string{"atelier", "galerie"} {
		v := f.virtual(service)
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": netip.AddrFrom4(v.ip).String(), "prefix": fmt.Sprintf("/%d/", v.port), "kind": "safe",
			"timeoutMs": 4000, "targetLatencyMs": 250, "priority": 2, "service": service, "maxAttempts": 2,
		})
		services = append(services, map[string]any{
			"name": service, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": 2.0, "warmupPerS": 0.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// newFleet starts a deployment, with some spare fronts in its first zone.
func newFleet(recordFile string, spares int, work time.Duration) (*fleet, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	g, err := group.New(context.Background())
	if err != nil {
		return nil, err
	}
	f := &fleet{g: g, dir: dir, file: file, began: time.Now(), store: newStore(), work: work}
	if err := f.findPorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", at(f.ip(9, 1), f.ports.store))
	if err != nil {
		return nil, err
	}
	g.Go("store", func(context.Context) error { return http.Serve(listener, f.store) })
	f.layOut(spares)
	f.store.put("op/config", f.config(7))
	for _, n := range append(append([]*node{}, f.fronts...), f.sides...) {
		if err := f.startNode(n); err != nil {
			return f, err
		}
	}
	for _, n := range f.sides {
		if err := f.startEndpoint(n, 0); err != nil {
			return f, err
		}
	}
	g.Go("routers", f.poll)
	return f, nil
}

// findPorts finds free ports.
func (f *fleet) findPorts() error {
	for try := range 200 {
		f.octet = 60 + (os.Getpid()+7*try)%160
		base := 21000 + (os.Getpid()*13+try*101)%9000
		f.ports = portsFrom(base)
		free := true
		for port := base; port < base+8 && free; port++ {
			l, err := net.Listen("tcp4", at(f.ip(9, 1), port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (f *fleet) layOut(spares int) {
	for z, has := range zones {
		fronts := has.fronts
		if z == 0 {
			fronts += spares
		}
		for n := range fronts {
			f.fronts = append(f.fronts, &node{name: fmt.Sprintf("front-%d-%d", z+1, n+1), role: "balancer", ip: f.ip(z+1, 10+n), zone: z})
		}
		for n := range has.atelier + has.galerie {
			service := "atelier"
			if n >= has.atelier {
				service = "galerie"
			}
			f.sides = append(f.sides, &node{name: fmt.Sprintf("side-%d-%d", z+1, n+1), role: "agent", ip: f.ip(z+1, 40+n), zone: z, service: service})
		}
	}
	for _, i := range []int{0, 2 + spares, 4 + spares} {
		f.seeds = append(f.seeds, at(f.fronts[i].ip, f.ports.control))
	}
}

// startNode writes the settings of a node, as the deploy file's template gives them, and starts its process.
func (f *fleet) startNode(n *node) error {
	settings := map[string]any{
		"instance": n.name, "dataCentre": fmt.Sprintf("mu-north-%c", 'a'+n.zone), "region": "mu-north",
		"internalAddress": at(n.ip, f.ports.internal), "adminAddress": at(n.ip, f.ports.admin), "packetAddress": at(n.ip, f.ports.packets),
		"readyAddress": at(n.ip, f.ports.ready), "controlAddress": at(n.ip, f.ports.control), "seeds": f.seeds,
		"storeAddress": at(f.ip(9, 1), f.ports.store), "heartbeatMillis": heartbeatEvery.Milliseconds(), "flowAgeSeconds": 60, "graceSeconds": 6,
	}
	if n.role == "agent" {
		settings["service"] = n.service
		settings["targetAddress"] = at(n.ip, f.ports.app)
		settings["outboundAddress"] = at(n.ip, f.ports.outbound)
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, n.name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/monsoonstep-node", n.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONSTEP_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	f.mu.Lock()
	if n.gone {
		f.mu.Unlock()
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		f.mu.Unlock()
		return err
	}
	n.cmd = cmd
	f.recordLocked("%s starts", n.name)
	f.mu.Unlock()
	_ = log.Close()
	f.g.Task(func() {
		_ = cmd.Wait()
		f.record("%s ends", n.name)
		if !group.Sleep(f.g.Context(), restartDelay) {
			return
		}
		f.mu.Lock()
		gone := n.gone
		f.mu.Unlock()
		if !gone {
			_ = f.startNode(n)
		}
	})
	return nil
}

// startEndpoint starts an endpoint on a machine; its time of day is ahead by some time at its start.
func (f *fleet) startEndpoint(n *node, ahead time.Duration) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f.serial++
	n.endpoint = fmt.Sprintf("i-%02d", f.serial)
	cmd := exec.Command(self, "endpoint", "--id", n.endpoint, "--service", n.service, "--ip", n.ip, "--base", fmt.Sprint(f.ports.internal),
		"--serial", fmt.Sprint(f.serial), "--ahead", ahead.String(), "--work", f.work.String())
	cmd.Stdout, cmd.Stderr = &endpointOutput{f: f}, os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	n.app = cmd
	f.record("endpoint %s (%s) starts on %s", n.endpoint, n.service, n.name)
	f.g.Task(func() { _ = cmd.Wait() })
	return nil
}

// endpointOutput copies the lines of an endpoint to the record.
type endpointOutput struct {
	f    *fleet
	rest string
}

func (o *endpointOutput) Write(b []byte) (int, error) {
	o.rest += string(b)
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	for {
		line, rest, found := strings.Cut(o.rest, "\n")
		if !found {
			return len(b), nil
		}
		o.rest = rest
		var micros int64
		_, _ = fmt.Sscan(line, &micros)
		_, text, _ := strings.Cut(line, " ")
		_, _ = fmt.Fprintf(o.f.file, "%9.3f %s\n", time.UnixMicro(micros).Sub(o.f.began).Seconds(), text)
		o.f.endpointLines = append(o.f.endpointLines, text)
	}
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked("%s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// lose ends all processes of a side for good.
func (f *fleet) lose(n *node) {
	f.mu.Lock()
	n.gone = true
	f.mu.Unlock()
	f.signal(n, syscall.SIGKILL)
	_ = n.app.Process.Kill()
}

// restart stops a node as planned and waits until its new process has started.
func (f *fleet) restart(n *node) error {
	f.mu.Lock()
	former := n.cmd
	f.mu.Unlock()
	f.signal(n, syscall.SIGTERM)
	for range 1200 {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		started := n.cmd != former
		f.mu.Unlock()
		if started {
			return nil
		}
	}
	return fmt.Errorf("%s did not end within graceS", n.name)
}

// inRotation reports whether the routers use a front.
func (f *fleet) inRotation(n *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.misses < 2
}

// stop ends all processes and, unless REVIEW_KEEP is set, removes the logs.
func (f *fleet) stop() {
	f.mu.Lock()
	for _, n := range append(append([]*node{}, f.fronts...), f.sides...) {
		n.gone = true
		for _, cmd := range []*exec.Cmd{n.cmd, n.app} {
			if cmd != nil && cmd.Process != nil {
				_ = cmd.Process.Signal(syscall.SIGCONT)
				_ = cmd.Process.Kill()
			}
		}
	}
	f.mu.Unlock()
	f.g.Stop()
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
