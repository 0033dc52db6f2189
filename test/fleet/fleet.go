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

// Fleet is a set of processes on loopback. Each has an IP number of its own in 127.0.0.0/8.
type Fleet struct {
	// Dir holds the programs, settings, keys and logs.
	Dir string
	// Net is the second byte of the fleet's IP numbers, so that fleets do not meet.
	Net int
	// ExtraAgentSettings is added to the agents' settings.
	ExtraAgentSettings map[string]any
	// KeySettle is the agents' keySettleMillis.
	KeySettle time.Duration
	// RelayTargets puts a relay between each agent and its target.
	RelayTargets bool
	// RelayPlatform puts a relay between the processes and the platform.
	RelayPlatform bool

	mu        sync.Mutex
	processes []*Process
	Balancers []*Process
	Agents    []*Process
	Targets   []*Process
	Relays    []*Process
	Platform  *Process
	// PlatformRelay is set if PlatformRelayed is.
	PlatformRelay *Process
	Fabrics       map[string]*Process
}

// Service is a service of a fleet.
type Service struct {
	Name  string
	Port  int
	Slots int
}

const (
	readyLimit = 30 * time.Second
	pollPause  = 50 * time.Millisecond
)

// netOffset is added to the number of each fleet, so that two runs of the tests at once do not meet: the second would talk to
// the first one's platform.
func netOffset() (int, error) {
	text := os.Getenv("FLEET_NET")
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// New makes the keys and certificates of a fleet. The programs must have been built into bin. The environment variable FLEET_NET
// is added to the number.
func New(dir, bin string, number int) (*Fleet, error) {
	offset, err := netOffset()
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

// Command runs a monsoonstep command.
func (f *Fleet) Command(args ...string) (string, int) { return f.CommandWithInput(nil, args...) }

// CommandWithInput runs a monsoonstep command with an input.
func (f *Fleet) CommandWithInput(in io.Reader, args ...string) (string, int) {
	return Run(in, f.path("monsoonstep"), args...)
}

// OperatorCommand runs a monsoonstep command with the operator's settings.
func (f *Fleet) OperatorCommand(args ...string) (string, int) {
	return f.Command(append(args, "--settings", f.path("operator.json"))...)
}

// StartPlatform starts the platform stand-in.
func (f *Fleet) StartPlatform() error {
	var err error
	f.Platform, err = f.stand("platform", f.ip(1)+":7380", "--address", f.ip(1)+":7379")
	if err != nil || !f.RelayPlatform {
		return err
	}
	f.PlatformRelay, err = f.stand("relay", f.ip(3)+":7380", "--address", f.ip(3)+":7379", "--to", f.ip(1)+":7379")
	if err != nil {
		return err
	}
	return f.writeOperator()
}

// StartBalancer starts the i-th balancer, from 1.
func (f *Fleet) StartBalancer(i int) (*Process, error) {
	name := fmt.Sprintf("balancer-%d", i)
	p, err := f.daemon("balancer", name, f.BalancerIP(i), f.balancerSettings(i))
	if err == nil {
		f.Balancers = append(f.Balancers, p)
	}
	return p, err
}

// StartAgent starts the i-th agent, from 1, and its target.
func (f *Fleet) StartAgent(i int, service Service, work time.Duration) (*Process, error) {
	target, err := f.stand("target", f.AgentIP(i)+":8081", "--address", f.AgentIP(i)+":8080",
		"--name", fmt.Sprintf("target-%d", i), "--service", work.String())
	if err != nil {
		return nil, err
	}
	f.Targets = append(f.Targets, target)
	if f.RelayTargets {
		relay, err := f.stand("relay", f.AgentIP(i)+":8091", "--address", f.AgentIP(i)+":8090", "--to", f.AgentIP(i)+":8080")
		if err != nil {
			return nil, err
		}
		f.Relays = append(f.Relays, relay)
	}
	return f.RestartAgent(i, service)
}

// RestartAgent starts the i-th agent beside a target that runs.
func (f *Fleet) RestartAgent(i int, service Service) (*Process, error) {
	name := fmt.Sprintf("agent-%d", i)
	p, err := f.daemon("agent", name, f.AgentIP(i), f.agentSettings(i, service))
	if err == nil {
		f.Agents = append(f.Agents, p)
	}
	return p, err
}

// StartFabric starts the fabric of a service over the first n balancers, running or yet to come.
func (f *Fleet) StartFabric(service Service, n int) error {
	var pairs []string
	for i := 1; i <= n; i++ {
		pairs = append(pairs, fmt.Sprintf("%s:%d=%s:7404", f.BalancerIP(i), service.Port, f.BalancerIP(i)))
	}
	p, err := f.stand("fabric", fmt.Sprintf("%s:%d", f.ip(2), service.Port+1000),
		"--address", f.Address(service), "--balancers", strings.Join(pairs, ","))
	f.Fabrics[service.Name] = p
	return err
}

// StartCaller starts a caller process of a service.
func (f *Fleet) StartCaller(service Service, args ...string) (*Process, error) {
	all := append([]string{"caller", "--address", f.Address(service), "--ca", f.path("ca.pem")}, args...)
	return f.launch("caller", f.path("stand"), all...)
}

// StartLoad starts an open-loop load on a service.
func (f *Fleet) StartLoad(service Service, args ...string) (*Process, error) {
	all := append([]string{"load", "--address", f.Address(service), "--ca", f.path("ca.pem")}, args...)
	return f.launch("load", f.path("stand"), all...)
}

// PutEntry writes an entry to the catalogue.
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

// PutEntryText writes an entry that is given as text, without --replace.
func (f *Fleet) PutEntryText(entry string) (string, int) {
	return f.CommandWithInput(strings.NewReader(entry), "catalogue", "put", "--file", "-", "--settings", f.path("operator.json"))
}

// Address is where callers reach a service.
func (f *Fleet) Address(service Service) string { return fmt.Sprintf("%s:%d", f.ip(2), service.Port) }

// BalancerIP is the IP number of the i-th balancer.
func (f *Fleet) BalancerIP(i int) string { return fmt.Sprintf("127.%d.1.%d", f.Net, i) }

// AgentIP is the IP number of the i-th agent.
func (f *Fleet) AgentIP(i int) string { return fmt.Sprintf("127.%d.2.%d", f.Net, i) }

// CA is the file of the CA certificate.
func (f *Fleet) CA() string { return f.path("ca.pem") }

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.Running() {
			p.Kill()
		}
	}
}

func (f *Fleet) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", f.Net, host) }

func (f *Fleet) path(name string) string { return filepath.Join(f.Dir, name) }

func (f *Fleet) daemon(role, name, ip string, settings map[string]any) (*Process, error) {
	if err := f.write(name+".json", settings); err != nil {
		return nil, err
	}
	p, err := f.launch(name, f.path("monsoonstep"), role, "--settings", f.path(name+".json"))
	if err != nil {
		return nil, err
	}
	p.Admin = ip + ":7404"
	return p, nil
}

func (f *Fleet) stand(part, control string, args ...string) (*Process, error) {
	name := part + "-" + strings.ReplaceAll(control, ":", "-")
	p, err := f.launch(name, f.path("stand"), append([]string{part, "--control", control}, args...)...)
	if err != nil {
		return nil, err
	}
	p.Admin = control
	return p, WaitUntil(readyLimit, func() bool {
		conn, err := net.Dial("tcp", control)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

func (f *Fleet) launch(name, program string, args ...string) (*Process, error) {
	p, err := start(name, f.path(name+".log"), program, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}
