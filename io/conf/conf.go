package conf

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// Platform describes how to reach the platform's key-value service and how often to read it.
type Platform struct {
	Endpoints []netip.AddrPort
	// Prefix is prepended to every key of the fleet.
	Prefix  string
	Timeout time.Duration
	// PollsPerSecond is the number of reads per second of the whole fleet, whatever its size.
	PollsPerSecond int
	// MinPollPeriod is the shortest interval between two reads by one node.
	MinPollPeriod time.Duration
}

// TLS names the files of a TLS identity and of the CA that peers are verified against.
type TLS struct {
	CAFile          string
	CertificateFile string
	KeyFile         string
}

// Node holds the settings that balancers and agents have in common.
type Node struct {
	Instance   state.InstanceName
	DataCentre state.DataCentre
	Region     state.Region
	Gossip     netip.AddrPort
	Flow       netip.AddrPort
	Peer       netip.AddrPort
	Admin      netip.AddrPort
	FleetKey   keys.Fleet
	Seeds      []netip.AddrPort
	Platform   Platform
	TLS        TLS
	LogLevel   string
	// BytesPerSecond limits the control messages that a node sends.
	BytesPerSecond int
	ProbePeriod    time.Duration
	// Suspicion is the shortest time for which a member stays suspect before it is declared dead.
	Suspicion time.Duration
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Node
	// Listen, if valid, replaces the IP address of every catalogue entry when the balancer opens sockets, for an
	// instance that receives packets at its own address instead.
	Listen netip.Addr
	// Linger is how long a stopping balancer continues to forward packets.
	Linger time.Duration
}

// Target describes how an agent reaches and checks its target.
type Target struct {
	Address    netip.AddrPort
	HealthPath string
	// LoadPath is empty for a target that does not report its load.
	LoadPath string
	// Slots overrides the slots of the catalogue entry if it is above zero.
	Slots int
	// StreamStall is how long a stream of the target may send no data before it is treated as broken; zero means no limit.
	StreamStall time.Duration
	CheckPeriod time.Duration
}

// Agent holds the settings of an agent.
type Agent struct {
	Node
	Service state.ServiceName
	Target  Target
	// Callers is the TLS identity that is presented to callers.
	Callers TLS
	// KeySettle is the time within which every instance has received a change of the membership; see dedup.Owners.
	KeySettle time.Duration
	// KeyKeep is how long the outcomes of requests with idempotency keys are kept.
	KeyKeep time.Duration
	// KeyBytes bounds the memory used by the kept outcomes.
	KeyBytes int
	// Dispatch is how targets are chosen: "leastWait" (also if empty), or a baseline for measurements.
	Dispatch string
	// IdleTimeout is how long a caller's connection may receive nothing before it is closed.
	IdleTimeout time.Duration
}

// Operator holds the settings of the operators' commands.
type Operator struct {
	Name     string
	FleetKey keys.Fleet
	Seeds    []netip.AddrPort
	Platform Platform
}

var (
	instanceNamePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,79}$`)
	locationNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)
	serviceNamePattern  = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)
	pathPattern         = regexp.MustCompile(`^/[!-~]{0,200}$`)
	keyPrefixPattern    = regexp.MustCompile(`^[a-zA-Z0-9._/-]{1,100}/$`)
	logLevelPattern     = regexp.MustCompile(`^(debug|info|warn|error)$`)
	dispatchPattern     = regexp.MustCompile(`^(leastWait|random|roundRobin|byFlow)$`)
	operatorNamePattern = regexp.MustCompile(`^.{1,64}$`)
)

const (
	lowerCaseNameForm = "a lower-case name of at most 40 letters, digits and dashes"
	instanceNameForm  = "a name of at most 80 letters, digits, dots and dashes"
)

// LoadBalancer reads the settings of a balancer.
func LoadBalancer(file string) (Balancer, error) {
	var b Balancer
	err := loadFile(file, func(r *reader) {
		b.Node = r.node()
		b.Listen = r.ipAddress("listenAddress")
		b.Linger = r.millis("lingerMillis", 3*time.Second, 0, time.Minute)
	})
	return b, err
}

// LoadAgent reads the settings of an agent.
func LoadAgent(file string) (Agent, error) {
	var a Agent
	err := loadFile(file, func(r *reader) {
		a.Node = r.node()
		a.Service = state.ServiceName(r.text("service", true, serviceNamePattern, lowerCaseNameForm))
		r.section("target", func(t *reader) { a.Target = t.target() })
		r.section("callers", func(t *reader) { a.Callers = t.identity(false) })
		a.KeySettle = r.millis("keySettleMillis", 15*time.Second, 100*time.Millisecond, 10*time.Minute)
		a.KeyKeep = r.millis("keyKeepMillis", 10*time.Minute, 10*time.Second, 24*time.Hour)
		a.KeyBytes = r.number("keyBytes", 8<<20, 64<<10, 1<<30)
		a.Dispatch = r.text("dispatch", false, dispatchPattern, "leastWait, or for measurements random, roundRobin or byFlow")
		a.IdleTimeout = r.millis("idleTimeoutMillis", 30*time.Second, time.Second, time.Hour)
	})
	return a, err
}

// LoadOperator reads the settings of the operators' commands.
func LoadOperator(file string) (Operator, error) {
	var o Operator
	err := loadFile(file, func(r *reader) {
		o.Name = r.text("operator", true, operatorNamePattern, "a name of 1 to 64 letters")
		o.FleetKey = r.fleetKey()
		o.Seeds = r.addresses("seeds", true)
		r.section("platform", func(p *reader) { o.Platform = p.platform() })
	})
	return o, err
}

func (r *reader) node() Node {
	n := Node{
		Instance:       state.InstanceName(r.text("instance", true, instanceNamePattern, instanceNameForm)),
		DataCentre:     state.DataCentre(r.text("dataCentre", true, locationNamePattern, lowerCaseNameForm)),
		Region:         state.Region(r.text("region", true, locationNamePattern, lowerCaseNameForm)),
		Gossip:         r.address("gossipAddress", true),
		Flow:           r.address("flowAddress", true),
		Peer:           r.address("peerAddress", true),
		Admin:          r.address("adminAddress", true),
		FleetKey:       r.fleetKey(),
		Seeds:          r.addresses("seeds", false),
		LogLevel:       "info",
		BytesPerSecond: 3500,
	}
	if n.Flow.IsValid() && !n.Flow.Addr().Is4() {
		r.report("flowAddress", n.Flow.String(), "an IPv4 address and a port, because connection IDs contain it")
	}
	if level := r.text("logLevel", false, logLevelPattern, "debug, info, warn or error"); level != "" {
		n.LogLevel = level
	}
	r.section("platform", func(p *reader) { n.Platform = p.platform() })
	r.section("tls", func(t *reader) { n.TLS = t.identity(true) })
	r.section("control", func(c *reader) {
		n.BytesPerSecond = c.number("bytesPerSecond", 3500, 500, 1<<20)
		n.ProbePeriod = c.millis("probeMillis", time.Second, 100*time.Millisecond, time.Minute)
		n.Suspicion = c.millis("suspicionMillis", 3*time.Second, 500*time.Millisecond, 5*time.Minute)
	})
	return n
}

func (r *reader) platform() Platform {
	p := Platform{
		Endpoints:      r.addresses("endpoints", true),
		Prefix:         "monsoonstep/v1/",
		Timeout:        r.millis("timeoutMillis", time.Second, 50*time.Millisecond, time.Minute),
		PollsPerSecond: r.number("pollsPerSecond", 20, 1, 2000),
		MinPollPeriod:  r.millis("minPollMillis", time.Second, 100*time.Millisecond, time.Minute),
	}
	if prefix := r.text("prefix", false, keyPrefixPattern, "a key prefix that ends with a slash"); prefix != "" {
		p.Prefix = prefix
	}
	return p
}

func (r *reader) identity(withCA bool) TLS {
	t := TLS{
		CertificateFile: r.readableFile("certificateFile", true),
		KeyFile:         r.readableFile("keyFile", true),
	}
	if withCA {
		t.CAFile = r.readableFile("caFile", true)
	}
	return t
}

func (r *reader) target() Target {
	t := Target{
		Address:     r.address("address", true),
		HealthPath:  r.text("healthPath", false, pathPattern, "a path that starts with a slash"),
		LoadPath:    r.text("loadPath", false, pathPattern, "a path that starts with a slash"),
		Slots:       r.number("slots", 0, 0, 1000),
		StreamStall: r.millis("streamStallMillis", 90*time.Second, 0, time.Hour),
		CheckPeriod: r.millis("checkMillis", time.Second, 100*time.Millisecond, time.Minute),
	}
	if t.HealthPath == "" {
		t.HealthPath = "/healthz"
	}
	return t
}

func (r *reader) fleetKey() keys.Fleet {
	name := r.readableFile("fleetKeyFile", true)
	if name == "" {
		return keys.Fleet{}
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return keys.Fleet{}
	}
	key, err := keys.ParseFleet(string(raw))
	if err != nil {
		r.report("fleetKeyFile", "the content of "+name, "32 bytes in base64, as printed by `monsoonstep keys fleet`")
	}
	return key
}

// Check validates a file as the settings of a role and returns all its problems as one error.
func Check(role, file string) error {
	var err error
	switch role {
	case "balancer":
		_, err = LoadBalancer(file)
	case "agent":
		_, err = LoadAgent(file)
	case "operator":
		_, err = LoadOperator(file)
	default:
		err = errs.New(errs.BadInput, "role %q is not one of balancer, agent, operator", role)
	}
	return err
}
