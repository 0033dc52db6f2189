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

// Platform is how the platform's key-value service is reached.
type Platform struct {
	Endpoints []netip.AddrPort
	// Prefix stands before every key of the fleet.
	Prefix  string
	Timeout time.Duration
	// PollsPerSecond is how many reads the whole fleet makes in a second, whatever its size.
	PollsPerSecond int
	// MinPollPeriod is the shortest time between two reads of one node.
	MinPollPeriod time.Duration
}

// TLS names the files of an identity.
type TLS struct {
	CAFile          string
	CertificateFile string
	KeyFile         string
}

// Node is what balancers and agents have in common.
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
	// BytesPerSecond is the budget for control messages.
	BytesPerSecond int
	ProbePeriod    time.Duration
	Suspicion      time.Duration
}

// Balancer is the settings of a balancer.
type Balancer struct {
	Node
	// Listen replaces the IP number of every entry's address, for an instance that is reached by its own.
	Listen netip.Addr
	// Linger is how long a balancer that was asked to stop goes on forwarding.
	Linger time.Duration
}

// Target is how an agent reaches its target.
type Target struct {
	Address    netip.AddrPort
	HealthPath string
	// LoadPath is empty for a target that does not tell its load.
	LoadPath string
	// Slots replaces the entry's slots if it is above zero.
	Slots int
	// StreamStall is how long a feed may be silent before it counts as cut; zero for no limit.
	StreamStall time.Duration
	CheckPeriod time.Duration
}

// Agent is the settings of an agent.
type Agent struct {
	Node
	Service state.ServiceName
	Target  Target
	// Callers is the identity that callers see.
	Callers TLS
	// KeySettle is the time within which every instance learns of a change of members.
	KeySettle time.Duration
	// KeyKeep is how long outcomes of idempotency keys are kept.
	KeyKeep time.Duration
	// KeyBytes bounds the memory of kept outcomes.
	KeyBytes int
	// Dispatch is how targets are chosen: "leastWait", or a baseline for measurements.
	Dispatch string
	// IdleTimeout ends a caller's connection on which nothing came for so long.
	IdleTimeout time.Duration
}

// Operator is the settings of the command line.
type Operator struct {
	Name     string
	FleetKey keys.Fleet
	Seeds    []netip.AddrPort
	Platform Platform
}

var (
	instanceNames = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,79}$`)
	placeNames    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)
	serviceNames  = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)
	paths         = regexp.MustCompile(`^/[!-~]{0,200}$`)
	prefixes      = regexp.MustCompile(`^[a-zA-Z0-9._/-]{1,100}/$`)
	levels        = regexp.MustCompile(`^(debug|info|warn|error)$`)
	dispatches    = regexp.MustCompile(`^(leastWait|random|roundRobin|byFlow)$`)
	anyText       = regexp.MustCompile(`^.{1,64}$`)
)

const (
	placeForm    = "a lower-case name of at most 40 letters, digits and dashes"
	instanceForm = "a name of at most 80 letters, digits, dots and dashes"
)

// LoadBalancer reads the settings of a balancer.
func LoadBalancer(file string) (Balancer, error) {
	var b Balancer
	err := load(file, func(r *reader) {
		b.Node = r.node()
		b.Listen = r.ip("listenAddress")
		b.Linger = r.millis("lingerMillis", 3*time.Second, 0, time.Minute)
	})
	return b, err
}

// LoadAgent reads the settings of an agent.
func LoadAgent(file string) (Agent, error) {
	var a Agent
	err := load(file, func(r *reader) {
		a.Node = r.node()
		a.Service = state.ServiceName(r.text("service", true, serviceNames, placeForm))
		r.section("target", func(t *reader) { a.Target = t.target() })
		r.section("callers", func(t *reader) { a.Callers = t.identity(false) })
		a.KeySettle = r.millis("keySettleMillis", 15*time.Second, 100*time.Millisecond, 10*time.Minute)
		a.KeyKeep = r.millis("keyKeepMillis", 10*time.Minute, 10*time.Second, 24*time.Hour)
		a.KeyBytes = r.number("keyBytes", 8<<20, 64<<10, 1<<30)
		a.Dispatch = r.text("dispatch", false, dispatches, "leastWait, or for measurements random, roundRobin or byFlow")
		a.IdleTimeout = r.millis("idleTimeoutMillis", 30*time.Second, time.Second, time.Hour)
	})
	return a, err
}

// LoadOperator reads the settings of the command line.
func LoadOperator(file string) (Operator, error) {
	var o Operator
	err := load(file, func(r *reader) {
		o.Name = r.text("operator", true, anyText, "a name of 1 to 64 letters")
		o.FleetKey = r.fleetKey()
		o.Seeds = r.addresses("seeds", true)
		r.section("platform", func(p *reader) { o.Platform = p.platform() })
	})
	return o, err
}

func (r *reader) node() Node {
	n := Node{
		Instance:       state.InstanceName(r.text("instance", true, instanceNames, instanceForm)),
		DataCentre:     state.DataCentre(r.text("dataCentre", true, placeNames, placeForm)),
		Region:         state.Region(r.text("region", true, placeNames, placeForm)),
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
		r.report("flowAddress", n.Flow.String(), "an IPv4 number and a port: connection IDs carry it")
	}
	if level := r.text("logLevel", false, levels, "debug, info, warn or error"); level != "" {
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
	if prefix := r.text("prefix", false, prefixes, "a key prefix that ends with a slash"); prefix != "" {
		p.Prefix = prefix
	}
	return p
}

func (r *reader) identity(withCA bool) TLS {
	t := TLS{
		CertificateFile: r.file("certificateFile", true),
		KeyFile:         r.file("keyFile", true),
	}
	if withCA {
		t.CAFile = r.file("caFile", true)
	}
	return t
}

func (r *reader) target() Target {
	t := Target{
		Address:     r.address("address", true),
		HealthPath:  r.text("healthPath", false, paths, "a path that starts with a slash"),
		LoadPath:    r.text("loadPath", false, paths, "a path that starts with a slash"),
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
	name := r.file("fleetKeyFile", true)
	if name == "" {
		return keys.Fleet{}
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return keys.Fleet{}
	}
	key, err := keys.ParseFleet(string(raw))
	if err != nil {
		r.report("fleetKeyFile", "the content of "+name, "32 bytes in base64, as `monsoonstep keys fleet` makes them")
	}
	return key
}

// Check reads a file as the settings of a role and returns what is wrong with it.
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
