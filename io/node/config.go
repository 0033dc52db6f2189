package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonstep/core/coord/evac"
	"monsoonstep/core/coord/watch"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// maxFirstRetryDelay is the maximum delay after a failed call while this balancer has no configuration. It is short because no new
	// flow can be placed before the first configuration.
	maxFirstRetryDelay = 400 * time.Millisecond
	// firstPeerTimeout is how long after its start a balancer waits for an answer of another node before it activates a configuration
	// from the store.
	firstPeerTimeout = 60 * time.Millisecond
	// olderVersionDelay is how long a balancer without a configuration waits for the version that the fleet has announced before it
	// activates an older one from the store.
	olderVersionDelay = time.Second
	// fetchTimeout is the timeout of a fetch from another balancer.
	fetchTimeout = time.Second
	// configPath is the path at which a balancer serves its configuration, in its stored form, to other balancers.
	configPath = "/configuration"
	// followsHeader is the header of its response with the version that the configuration replaced; see state.Config.
	followsHeader = "Config-Follows"
	// maxConfigBytes is the maximum size of a fetched configuration.
	maxConfigBytes = 4 << 20
)

// storedConfig is a configuration in its stored form, with its version and the one that it replaced; see state.Config.
type storedConfig struct {
	version state.ConfigVersion
	follows state.ConfigVersion
	raw     []byte
	// compressed is raw in the gzip format.
	compressed []byte
}

// newStoredConfig compresses a configuration once for all fetches: many balancers may fetch it at the same time, and a large one that is
// not compressed occupies the link of a small instance for seconds.
func newStoredConfig(c state.Config, raw []byte) (*storedConfig, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "configuration can't be compressed")
	}
	_, err = w.Write(raw)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "configuration can't be compressed")
	}
	return &storedConfig{version: c.Version, follows: c.Follows, raw: raw, compressed: compressed.Bytes()}, nil
}

// configSyncer keeps a balancer's configuration up to date with the store and the other balancers. The highest version wins, whichever
// of them it was read from.
type configSyncer struct {
	b      *Balancer
	source ConfigSource
	log    logs.Logger
	client *http.Client
	// latest is the configuration that other balancers may fetch; nil before the first one.
	latest atomic.Pointer[storedConfig]
	// fetchRequests holds the address of a balancer from which a newer version is to be fetched.
	fetchRequests chan netip.AddrPort
	// startedAt is when the balancer started.
	startedAt time.Time
	// versionAtStore is the version of the last configuration that the store returned; zero if there was none, or it could not be decoded.
	// Only the watcher uses it.
	versionAtStore state.ConfigVersion
	// era is the latest era of the store; zero before the first answer. Only the watcher uses it.
	era state.StoreEra
	// orders are the orders to evacuate data centres after the last read or wait. Only the watcher uses them.
	orders evac.Orders
	// restores counts how often the store came back from an earlier copy.
	restores *metrics.Counter

	// reach tells whether the calls to the store succeed. Only the watcher uses it.
	reach watch.Reach
	// watching is true while this balancer is one of those that watch the store. Only the watcher uses it.
	watching bool

	// mu protects balancers, watchers and candidates.
	mu sync.Mutex
	// balancers are the addresses of the balancers that are present, this one included.
	balancers []netip.AddrPort
	// watchers are those of them that watch the store; candidates are those that may become watchers.
	watchers   []netip.AddrPort
	candidates []netip.AddrPort
}

func newConfigSyncer(b *Balancer, source ConfigSource) *configSyncer {
	return &configSyncer{
		b:             b,
		source:        source,
		log:           b.log.Part("config"),
		client:        &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		fetchRequests: make(chan netip.AddrPort, 1),
		startedAt:     time.Now(),
		restores:      b.metrics.NewCounter("monsoonstep_store_restores_total"),
	}
}

// start starts the goroutines that watch the store and fetch from other balancers.
func (s *configSyncer) start() {
	s.b.group.Go("configuration watcher", s.watch)
	s.b.group.Go("configuration fetcher", s.fetch)
}

// handler returns the handler of the page from which other balancers fetch the configuration.
func (s *configSyncer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, r *http.Request) {
		latest := s.latest.Load()
		if latest == nil {
			http.Error(w, "no configuration yet", http.StatusNotFound)
			return
		}
		w.Header().Set(followsHeader, strconv.FormatUint(uint64(latest.follows), 10))
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			_, _ = w.Write(latest.raw)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(latest.compressed)
	})
	return mux
}

// setBalancers sets the list of balancers that are present, and determines which of them watch the store.
func (s *configSyncer) setBalancers(list []watch.Balancer) {
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, b := range list {
		addresses = append(addresses, b.Address)
	}
	watchers, candidates := watch.Watchers(list), watch.Candidates(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancers = addresses
	s.watchers = watchers
	s.candidates = candidates
}

// waitForPeer waits until another node has answered, up to firstPeerTimeout after the start. The answer says which version of the
// configuration the fleet has, so that an older one in a store that was restored is not activated first.
func (s *configSyncer) waitForPeer(ctx context.Context) {
	select {
	case <-s.b.heardPeer:
	case <-time.After(firstPeerTimeout - time.Since(s.startedAt)):
	case <-ctx.Done():
	}
}

// handleAnswer notes the era of an answer of the store and applies the orders and the configuration in it: the orders first, since a
// configuration may have to wait.
func (s *configSyncer) handleAnswer(ctx context.Context, u storeUpdate, err error) (state.StorePosition, error) {
	if eraErr := s.noteEra(ctx, u.position.Era); eraErr != nil {
		return state.StorePosition{}, eraErr
	}
	if err != nil {
		return state.StorePosition{}, err
	}
	if err := s.applyOrders(ctx, u); err != nil {
		return state.StorePosition{}, err
	}
	return u.position, s.applyFromStore(ctx, u)
}

// noteEra announces the era of the store to the fleet if it is a later one than known, and logs that the store was restored.
func (s *configSyncer) noteEra(ctx context.Context, era state.StoreEra) error {
	if era <= s.era {
		return nil
	}
	if err := s.b.runInLoop(ctx, func(time.Time) { s.b.fleet.announceStoreEra(era) }); err != nil {
		return err
	}
	if s.era != 0 {
		s.restores.Inc()
		s.log.Warn("store was restored from an earlier copy; its content is read and written again", "era", era, "before", s.era)
	}
	s.era = era
	return nil
}

// applyFromStore applies the configuration of an update, if it has one.
func (s *configSyncer) applyFromStore(ctx context.Context, u storeUpdate) error {
	if len(u.config) == 0 {
		return nil
	}
	c, err := s.source.Decode(u.config)
	if err != nil {
		s.versionAtStore = 0
		s.logUndecodable("store", err)
		return nil
	}
	c.Follows = s.noteVersionAtStore(c.Version, u.followsLast)
	if s.latest.Load() == nil {
		if err := s.waitForNewer(ctx, c.Version); err != nil {
			return err
		}
	}
	return s.activate(ctx, c, u.config, "store")
}

// noteVersionAtStore notes the version of a configuration that the store has returned. It returns the version that this one replaced if it
// follows the last one that was noted, and zero otherwise.
func (s *configSyncer) noteVersionAtStore(version state.ConfigVersion, followsLast bool) state.ConfigVersion {
	before := s.versionAtStore
	s.versionAtStore = version
	if !followsLast {
		return 0
	}
	return before
}

// waitForNewer is called before the first configuration is activated, with its version. A store that was restored may have an older
// version than the fleet. A balancer activates an older one only after olderVersionDelay: if no other balancer has the newer one any
// more, routes that are some seconds old are better than none.
func (s *configSyncer) waitForNewer(ctx context.Context, version state.ConfigVersion) error {
	s.waitForPeer(ctx)
	var announced state.ConfigVersion
	err := s.b.runInLoop(ctx, func(time.Time) { announced, _ = s.b.fleet.announcedConfig() })
	if err != nil {
		return err
	}
	if version < announced {
		s.log.Warn("store has an older configuration than the fleet; waiting for another balancer's", "version", version, "announced", announced)
		group.Sleep(ctx, olderVersionDelay)
	}
	return nil
}

// logUndecodable logs a configuration that can't be decoded, which is ignored.
func (s *configSyncer) logUndecodable(from string, err error) {
	s.log.Error("configuration can't be decoded; keeping the present one", "from", from, "error", errs.Text(err))
}

// activate activates a configuration if it is newer than the present one. raw is its stored form.
func (s *configSyncer) activate(ctx context.Context, c state.Config, raw []byte, from string) error {
	if c.Version <= s.version() {
		return nil
	}
	next, err := newStoredConfig(c, raw)
	if err != nil {
		return err
	}
	return s.b.runInLoop(ctx, func(now time.Time) {
		before := s.b.steer.ActiveVersion()
		if !s.b.steer.Configure(now, c) {
			return
		}
		s.latest.Store(next)
		s.b.fleet.announceConfig(c.Version, s.b.settings.Internal)
		s.log.Info("configuration activated", "version", c.Version, "before", before, "follows", c.Follows, "from", from, "routes", len(c.Routes))
	})
}
