package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet is a set of processes on loopback. Each balancer, each agent with its target, and the platform has its own IP
// address in 127.0.0.0/8.
type Fleet struct {
	// Dir is the directory with the programs, settings, keys and logs.
	Dir string
	// Net is the second byte of the fleet's IP addresses, so that concurrent fleets don't share addresses.
	Net int
	// ExtraAgentSettings are merged into the agents' settings, which they override.
	ExtraAgentSettings map[string]any
	// KeySettle is the agents' setting keySettleMillis.
	KeySettle time.Duration
	// Suspicion is the nodes' setting suspicionMillis; zero leaves the default.
	Suspicion time.Duration
	// RelayTargets starts a fault-injecting relay between each agent and its target.
	RelayTargets bool
	// RelayPlatform starts a fault-injecting relay between all processes and the platform.
	RelayPlatform bool

	mu        sync.Mutex // guards processes
	processes []*Process
	Balancers []*Process
	Agents    []*Process
	Targets   []*Process
	Relays    []*Process
	Platform  *Process
	// PlatformRelay is nil unless RelayPlatform is set.
	PlatformRelay *Process
	// Fabrics holds the fabric of each service by the name of the service.
	Fabrics map[string]*Process
}

// Service describes a service of a fleet: the port on which callers reach it, and the slots of each of its targets.
type Service struct {
	Name  string
	Port  int
	Slots int
}

const (
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// fleetNumberOffset returns the offset in FLEET_NET, which is added to the number of each fleet. Two test runs at the same
// time need different offsets: with the same addresses, the second run would use the platform of the first.
func fleetNumberOffset() (int, error) {
	text := os.Getenv("FLEET_NET")
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// New creates a fleet in dir with its keys, certificates and operator settings, and starts none of its processes. The programs must have
// been built into bin. The environment variable FLEET_NET, if set, is added to number, which becomes Net.
func New(dir, bin string, number int) (*Fleet, error) {
	offset, err := fleetNumberOffset()
	if err != nil {
		return nil, fmt.Errorf("FLEET_NET: %w", err)
	}
	f := &Fleet{Dir: dir, Net: number + offset, KeySettle: 2 * time.Second, Fabrics: make(map[string]*Process)}
	for _, program := range []string{"monsoonstep", "stand"} {
		if err := os.Symlink(filepath.Join(bin, program), filepath.Join(dir, program)); err != nil {
			return nil, err
		}
	}
	if err := f.NewFleetKey(); err != nil {
		return nil, err
	}
	if out, code := f.Command("keys", "certificates", dir, "--name", f.ip(2)); code != 0 {
		return nil, fmt.Errorf("keys certificates: %s", out)
	}
	return f, f.writeOperator()
}

// Command runs a monsoonstep command and returns its output and exit code.
func (f *Fleet) Command(args ...string) (string, int) { return f.CommandWithInput(nil, args...) }

// CommandWithInput runs a monsoonstep command with the given standard input.
func (f *Fleet) CommandWithInput(in io.Reader, args ...string) (string, int) {
	return Run(in, f.path("monsoonstep"), args...)
}

// OperatorCommand runs a monsoonstep command with the settings of the operator.
func (f *Fleet) OperatorCommand(args ...string) (string, int) {
	return f.Command(append(args, "--settings", f.path("operator.json"))...)
}

// StartPlatform starts the stand-in for the platform, and its relay if RelayPlatform is set.
func (f *Fleet) StartPlatform() error {
	var err error
	f.Platform, err = f.startStandIn("platform", f.ip(1)+":7380", "--address", f.ip(1)+":7379")
	if err != nil || !f.RelayPlatform {
		return err
	}
	f.PlatformRelay, err = f.startStandIn("relay", f.ip(3)+":7380", "--address", f.ip(3)+":7379", "--to", f.ip(1)+":7379")
	if err != nil {
		return err
	}
	return f.writeOperator()
}

// StartBalancer starts the i-th balancer, counted from 1.
func (f *Fleet) StartBalancer(i int) (*Process, error) {
	name := fmt.Sprintf("balancer-%d", i)
	p, err := f.startDaemon("balancer", name, f.BalancerIP(i), f.balancerSettings(i))
	if err == nil {
		f.Balancers = append(f.Balancers, p)
	}
	return p, err
}

// StartAgent starts the i-th agent, counted from 1, and its target, whose mean service time is work.
func (f *Fleet) StartAgent(i int, service Service, work time.Duration) (*Process, error) {
	target, err := f.startStandIn("target", f.AgentIP(i)+":8081", "--address", f.AgentIP(i)+":8080",
		"--name", fmt.Sprintf("target-%d", i), "--service", work.String())
	if err != nil {
		return nil, err
	}
	f.Targets = append(f.Targets, target)
	if f.RelayTargets {
		relay, err := f.startStandIn("relay", f.AgentIP(i)+":8091", "--address", f.AgentIP(i)+":8090", "--to", f.AgentIP(i)+":8080")
		if err != nil {
			return nil, err
		}
		f.Relays = append(f.Relays, relay)
	}
	return f.RestartAgent(i, service)
}

// RestartAgent starts the i-th agent for its target, which must be running.
func (f *Fleet) RestartAgent(i int, service Service) (*Process, error) {
	name := fmt.Sprintf("agent-%d", i)
	p, err := f.startDaemon("agent", name, f.AgentIP(i), f.agentSettings(i, service))
	if err == nil {
		f.Agents = append(f.Agents, p)
	}
	return p, err
}

// StartFabric starts the fabric of a service. It forwards packets to the first n balancers, which may be started later.
func (f *Fleet) StartFabric(service Service, n int) error {
	var pairs []string
	for i := 1; i <= n; i++ {
		pairs = append(pairs, fmt.Sprintf("%s:%d=%s:7404", f.BalancerIP(i), service.Port, f.BalancerIP(i)))
	}
	p, err := f.startStandIn("fabric", fmt.Sprintf("%s:%d", f.ip(2), service.Port+1000),
		"--address", f.Address(service), "--balancers", strings.Join(pairs, ","))
	f.Fabrics[service.Name] = p
	return err
}

// StartCaller starts a process that simulates callers of a service and prints a CallerReport as JSON.
func (f *Fleet) StartCaller(service Service, args ...string) (*Process, error) {
	all := append([]string{"caller", "--address", f.Address(service), "--ca", f.path("ca.pem")}, args...)
	return f.launch("caller", f.path("stand"), all...)
}

// StartLoad starts a process that puts an open-loop load on a service and prints a LoadReport as JSON.
func (f *Fleet) StartLoad(service Service, args ...string) (*Process, error) {
	all := append([]string{"load", "--address", f.Address(service), "--ca", f.path("ca.pem")}, args...)
	return f.launch("load", f.path("stand"), all...)
}

// PutEntry writes the service's entry to the catalogue and replaces an existing one. If change is not nil, it may edit the
// entry first.
func (f *Fleet) PutEntry(service Service, change func(entry map[string]any)) error {
	entry := map[string]any{
		"service": service.Name,
		"owner":   "test",
		"class":   "important",
		"address": f.Address(service),
		"limits":  map[string]any{"slots": service.Slots, "queue": 64},
	}
	if change != nil {
		change(entry)
	}
	raw, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	out, code := f.CommandWithInput(strings.NewReader(string(raw)),
		"catalogue", "put", "--replace", "--file", "-", "--settings", f.path("operator.json"))
	if code != 0 {
		return fmt.Errorf("catalogue put: %s", out)
	}
	return nil
}

// PutEntryText writes an entry that is given as JSON text to the catalogue, without --replace, and returns the output and
// exit code of the command.
func (f *Fleet) PutEntryText(entry string) (string, int) {
	return f.CommandWithInput(strings.NewReader(entry), "catalogue", "put", "--file", "-", "--settings", f.path("operator.json"))
}

// Address returns the address on which callers reach a service.
func (f *Fleet) Address(service Service) string { return fmt.Sprintf("%s:%d", f.ip(2), service.Port) }

// BalancerIP returns the IP address of the i-th balancer.
func (f *Fleet) BalancerIP(i int) string { return fmt.Sprintf("127.%d.1.%d", f.Net, i) }

// AgentIP returns the IP address of the i-th agent.
func (f *Fleet) AgentIP(i int) string { return fmt.Sprintf("127.%d.2.%d", f.Net, i) }

// CA returns the path of the CA certificate.
func (f *Fleet) CA() string { return f.path("ca.pem") }

// Close kills all processes of the fleet that are still running.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.Running() {
			p.Kill()
		}
	}
}

// ip returns an IP address that belongs to no balancer or agent: host 1 is the platform, 2 the services, 3 the relay of the
// platform.
func (f *Fleet) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", f.Net, host) }

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }

// startDaemon writes the settings of an agent or balancer and starts it.
func (f *Fleet) startDaemon(role, name, ip string, settings map[string]any) (*Process, error) {
	if err := f.writeJSON(name+".json", settings); err != nil {
		return nil, err
	}
	p, err := f.launch(name, f.path("monsoonstep"), role, "--settings", f.path(name+".json"))
	if err != nil {
		return nil, err
	}
	p.Admin = ip + ":7404"
	return p, nil
}

// startStandIn starts a stand-in and waits until its control server accepts connections.
func (f *Fleet) startStandIn(kind, control string, args ...string) (*Process, error) {
	name := kind + "-" + strings.ReplaceAll(control, ":", "-")
	p, err := f.launch(name, f.path("stand"), append([]string{kind, "--control", control}, args...)...)
	if err != nil {
		return nil, err
	}
	p.Admin = control
	return p, WaitUntil(readyTimeout, func() bool {
		conn, err := net.Dial("tcp", control)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// launch starts a program and adds it to the processes of the fleet.
func (f *Fleet) launch(name, program string, args ...string) (*Process, error) {
	p, err := startProcess(name, f.path(name+".log"), program, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}
