package fleet

import (
	"encoding/json"
	"fmt"
	"os"

	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

// NewFleetKey creates a fleet key and writes it in the place of the old one. Processes that are started from now on use it.
func (f *Fleet) NewFleetKey() error {
	key, code := f.Command("keys", "fleet")
	if code != 0 {
		return fmt.Errorf("keys fleet: %s", key)
	}
	return os.WriteFile(f.path("fleet.key.b64"), []byte(key), 0o600)
}

// writeOperator writes the settings of the operator.
func (f *Fleet) writeOperator() error {
	return f.writeJSON("operator.json", map[string]any{
		"operator":     "test",
		"fleetKeyFile": f.path("fleet.key.b64"),
		"seeds":        f.seeds(),
		"platform":     f.platformSettings(),
	})
}

// WriteBalancerSettings writes the settings of the i-th balancer and returns the path of the file.
func (f *Fleet) WriteBalancerSettings(i int) (string, error) {
	name := fmt.Sprintf("balancer-%d.json", i)
	return f.path(name), f.writeJSON(name, f.balancerSettings(i))
}

func (f *Fleet) balancerSettings(i int) map[string]any {
	settings := f.nodeSettings(fmt.Sprintf("balancer-%d", i), f.BalancerIP(i))
	settings["listenAddress"] = f.BalancerIP(i)
	settings["lingerMillis"] = 1000
	return settings
}

// WriteAgentSettings writes the settings of the i-th agent and returns the path of the file.
func (f *Fleet) WriteAgentSettings(i int, service Service) (string, error) {
	name := fmt.Sprintf("agent-%d.json", i)
	return f.path(name), f.writeJSON(name, f.agentSettings(i, service))
}

// Keys returns the keys that are derived from the fleet key, before any rotation.
func (f *Fleet) Keys() (*keys.Set, error) {
	raw, err := os.ReadFile(f.path("fleet.key.b64"))
	if err != nil {
		return nil, err
	}
	key, err := keys.ParseFleet(string(raw))
	if err != nil {
		return nil, err
	}
	return keys.New(key, state.Ring{}, 0)
}

func (f *Fleet) agentSettings(i int, service Service) map[string]any {
	port := 8080
	if f.RelayTargets {
		port = 8090
	}
	name := fmt.Sprintf("agent-%d", i)
	settings := f.nodeSettings(name, f.AgentIP(i))
	settings["service"] = service.Name
	settings["target"] = map[string]any{
		"address":           fmt.Sprintf("%s:%d", f.AgentIP(i), port),
		"slots":             service.Slots,
		"checkMillis":       200,
		"streamStallMillis": 3000,
	}
	settings["callers"] = map[string]any{"certificateFile": f.path("callers.pem"), "keyFile": f.path("callers.key")}
	settings["keySettleMillis"] = f.KeySettle.Milliseconds()
	for key, value := range f.ExtraAgentSettings {
		settings[key] = value
	}
	return settings
}

// seeds returns the gossip addresses of the first two balancers and the first agent.
func (f *Fleet) seeds() []string {
	return []string{f.BalancerIP(1) + ":7401", f.BalancerIP(2) + ":7401", f.AgentIP(1) + ":7401"}
}

func (f *Fleet) platformSettings() map[string]any {
	host := 1
	if f.RelayPlatform {
		host = 3
	}
	return map[string]any{"endpoints": []string{f.ip(host) + ":7379"}}
}

// nodeSettings returns the settings that agents and balancers share.
func (f *Fleet) nodeSettings(name, ip string) map[string]any {
	settings := map[string]any{
		"instance":      name,
		"dataCentre":    "port-louis-1",
		"region":        "mauritius",
		"gossipAddress": ip + ":7401",
		"flowAddress":   ip + ":7402",
		"peerAddress":   ip + ":7403",
		"adminAddress":  ip + ":7404",
		"fleetKeyFile":  f.path("fleet.key.b64"),
		"seeds":         f.seeds(),
		"platform":      f.platformSettings(),
		"tls": map[string]any{
			"caFile":          f.path("ca.pem"),
			"certificateFile": f.path("fleet.pem"),
			"keyFile":         f.path("fleet.key"),
		},
	}
	if f.Suspicion != 0 {
		settings["control"] = map[string]any{"suspicionMillis": f.Suspicion.Milliseconds()}
	}
	return settings
}

func (f *Fleet) writeJSON(name string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(name), raw, 0o644)
}
