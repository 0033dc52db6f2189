package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
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

// The ports, as offsets from the first port of a run.
const (
	internalPort = iota
	adminPort
	readyPort
	controlPort
	packetPort
	outboundPort
	appPort
	storePort
	portCount
)

// The bounds of the small sites, lakaz-sangle and lykta-nord.
const (
	contact      = 4 * time.Second
	configApply  = 3 * time.Second
	grace        = 6 * time.Second
	idleTimeout  = 15 * time.Second
	flowTTL      = 60 * time.Second
	trafficDelay = 10 * time.Second
	// restartDelay is how long after its end a process starts again; plannedStart is the same for a machine that is stopped and started.
	restartDelay  = 500 * time.Millisecond
	plannedStart  = 1500 * time.Millisecond
	readyPeriod   = 500 * time.Millisecond
	missesAllowed = 2
)

const (
	zoneName   = "mu-north-a"
	regionName = "mu-north"
	// program is the node program that the line build of the deploy file makes.
	program = "target/monsoonstep-node"
)

// world is a small deployment: the node processes with the stand-ins around them.
type world struct {
	record *recorder
	group  *group.Group
	tmp    string
	// network is the second number of all addresses, firstPort the lowest port.
	network      int
	firstPort    uint16
	storeAddress string
	store        *store

	mu        sync.Mutex
	instances []*instance
	rotation  []*instance
	ending    bool
	// version is that of the last configuration.
	version int
}

// instance is a machine with a node process.
type instance struct {
	name, role, ip, service string
	settings                string
	cmd                     *exec.Cmd
	// proxy is between the machine and the store.
	proxy *proxy
	// off is true while the process must not run; ended is closed when its present process has ended.
	off       bool
	ended     chan struct{}
	starts    int
	startedAt time.Time
	// startAfter is how long after its end the process starts again.
	startAfter time.Duration
}

// newWorld starts the store and its proxy, on free ports of a loopback network.
func newWorld(record *recorder) (*world, error) {
	g, err := group.New(context.Background())
	if err != nil {
		return nil, err
	}
	w := &world{record: record, group: g, store: newStore(), version: 2}
	if w.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := w.chooseNetwork(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", w.address(w.ip(4, 1), storePort).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	context.AfterFunc(g.Context(), func() { _ = server.Close() })
	g.Task(func() { _ = server.Serve(listener) })
	w.storeAddress = listener.Addr().String()
	return w, nil
}

// chooseNetwork draws ports until all of them are free on every address.
func (w *world) chooseNetwork() error {
	w.network = 100 + rand.IntN(100)
	for range 50 {
		w.firstPort = uint16(20000 + portCount*rand.IntN(1000))
		if w.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

// portsFree reports whether nobody has any of the ports on any address.
func (w *world) portsFree() bool {
	for i := range portCount {
		port := int(w.firstPort) + i
		tcp, err := net.Listen("tcp4", fmt.Sprintf(":%d", port))
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{Port: port})
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

func (w *world) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, third, fourth)
}

// address returns an address with one of the ports above.
func (w *world) address(ip string, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), w.firstPort+uint16(port))
}

// virtual returns the address of the n-th route. Nothing listens there: it only stands in packets.
func (w *world) virtual(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(w.ip(5, 1)), uint16(8000+n))
}

// add adds a machine with a node process, which starts at once.
func (w *world) add(name, role, ip, service string) (*instance, error) {
	w.mu.Lock()
	storeIP := w.ip(4, 2+len(w.instances))
	w.mu.Unlock()
	p, err := newProxy(w.group, w.address(storeIP, storePort).String(), w.storeAddress)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"instance": name, "dataCentre": zoneName, "region": regionName,
		"internalAddress": w.address(ip, internalPort), "adminAddress": w.address(ip, adminPort),
		"packetAddress": w.address(ip, packetPort), "readyAddress": w.address(ip, readyPort), "controlAddress": w.address(ip, controlPort),
		"seeds":           []netip.AddrPort{w.address(w.ip(1, 1), controlPort), w.address(w.ip(1, 2), controlPort), w.address(w.ip(1, 3), controlPort)},
		"storeAddress":    w.address(storeIP, storePort),
		"heartbeatMillis": heartbeatPeriod.Milliseconds(), "flowAgeSeconds": flowTTL.Seconds(), "graceSeconds": grace.Seconds(),
	}
	if role == "agent" {
		settings["service"] = service
		settings["targetAddress"] = w.address(ip, appPort)
		settings["outboundAddress"] = w.address(ip, outboundPort)
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, role: role, ip: ip, service: service, settings: filepath.Join(w.tmp, name+".json"), startAfter: restartDelay, proxy: p}
	if err := os.WriteFile(i.settings, raw, 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = append(w.instances, i)
	return i, w.start(i)
}

// start starts the process of an instance as the deploy file says; it starts again whenever it ends. The caller holds mu.
func (w *world) start(i *instance) error {
	log, err := os.OpenFile(filepath.Join(w.tmp, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, i.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONSTEP_NODE_FILE=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.cmd, i.ended, i.startedAt = cmd, ended, time.Now()
	i.starts++
	w.record.line("process of %s starts (%s), start %d", i.name, i.role, i.starts)
	w.group.Task(func() {
		_ = cmd.Wait()
		close(ended)
		w.record.line("process of %s has ended", i.name)
		w.mu.Lock()
		delay := i.startAfter
		w.mu.Unlock()
		time.Sleep(delay)
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ending && !i.off {
			_ = w.start(i)
		}
	})
	return nil
}

// signal sends a signal to the present process of an instance.
func (w *world) signal(i *instance, s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.line("%s gets %s", i.name, s)
	_ = i.cmd.Process.Signal(s)
}

// terminate stops the process of an instance as planned: SIGTERM, then SIGKILL after the grace period.
func (w *world) terminate(i *instance) {
	w.mu.Lock()
	cmd, ended := i.cmd, i.ended
	w.mu.Unlock()
	w.signal(i, syscall.SIGTERM)
	w.group.Task(func() {
		select {
		case <-ended:
		case <-time.After(grace):
			_ = cmd.Process.Kill()
		}
	})
}

// remove stops the process of an instance as planned, for good.
func (w *world) remove(i *instance) {
	w.mu.Lock()
	i.off = true
	w.mu.Unlock()
	w.terminate(i)
}

// of returns the instances of a role.
func (w *world) of(role string) []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*instance
	for _, i := range w.instances {
		if i.role == role && !i.off {
			found = append(found, i)
		}
	}
	return found
}

func (w *world) nameAt(ip string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.ip == ip {
			return i.name
		}
	}
	return ip
}

// watchReadiness keeps the routers' rotation up to date.
func (w *world) watchReadiness() {
	misses := make(map[*instance]int)
	for w.group.Context().Err() == nil {
		var rotation []*instance
		all := w.of("balancer")
		for _, i := range all {
			misses[i]++
			if w.isReady(i) {
				misses[i] = 0
			}
			if misses[i] < missesAllowed {
				rotation = append(rotation, i)
			}
		}
		if 2*len(rotation) < len(all) {
			rotation = all
		}
		w.mu.Lock()
		w.rotation = rotation
		w.mu.Unlock()
		time.Sleep(readyPeriod)
	}
}

func (w *world) isReady(i *instance) bool {
	ctx, cancel := context.WithTimeout(w.group.Context(), readyPeriod/2)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address(i.ip, readyPort).String()+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route returns the balancer to which the routers send a packet.
func (w *world) route(key flowKey) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rotation) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.String()))
	return w.rotation[int(h.Sum32()%uint32(len(w.rotation)))]
}

// route of the operator's configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	ObjectiveMs int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

// routeTo returns the n-th route.
func (w *world) routeTo(n int, kind, service string) route {
	v := w.virtual(n)
	return route{
		Name: fmt.Sprintf("r-%d", n), Host: v.Addr().String(), Prefix: fmt.Sprintf("/%d/", v.Port()), Kind: kind,
		TimeoutMs: 5000, ObjectiveMs: 300, Priority: 1, Service: service, MaxAttempts: 2,
	}
}

// configure writes a new configuration and returns when it was acknowledged.
func (w *world) configure(services []string, routes ...route) time.Time {
	w.version += 3
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false})
	}
	raw, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	})
	if err != nil {
		panic(err)
	}
	w.store.put("op/config", raw)
	var shown []string
	for _, r := range routes {
		shown = append(shown, r.Name+" to "+r.Service)
	}
	w.record.line("the store acknowledged version %d: %s", w.version, strings.Join(shown, ", "))
	return time.Now()
}

// silenceStore makes all open connections of the machines to the store silent.
func (w *world) silenceStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if count := i.proxy.silence(); count > 0 {
			w.record.line("%d open connections of %s to the store go silent; new ones work", count, i.name)
		}
	}
}

// shutDown kills all processes and removes the temporary folder.
func (w *world) shutDown() {
	w.mu.Lock()
	w.ending = true
	for _, i := range w.instances {
		if i.cmd != nil {
			_ = i.cmd.Process.Signal(syscall.SIGCONT)
			_ = i.cmd.Process.Kill()
		}
	}
	w.mu.Unlock()
	for _, i := range w.instances {
		if i.ended != nil {
			<-i.ended
		}
	}
	w.group.Stop()
	for _, i := range w.instances {
		i.proxy.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.tmp)
	} else {
		fmt.Println("logs:", w.tmp)
	}
}
