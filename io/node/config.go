package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
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
	// unreachableTTL is how long a balancer whose call to the store failed leaves the watching to others.
	unreachableTTL = 10 * time.Second
	// watchTimeout is how long a watch call waits at the store for a change. A store that no longer answers is detected when the call
	// times out.
	watchTimeout = 4 * time.Second
	// evacuationWatchTimeout is the same with evacuation on. An order must be in force within 5 s although the connection of a watch no
	// longer carries data: 3.4 s and watchReplyMargin leave 0.9 s for the read that follows.
	evacuationWatchTimeout = 3400 * time.Millisecond
	// watchReplyMargin is how much longer than watchTimeout the reply to a watch call may take.
	watchReplyMargin = 700 * time.Millisecond
	// readTimeout is the timeout of a read from the store.
	readTimeout = 1500 * time.Millisecond
	// watcherCheckInterval is the time between two checks whether this balancer is a watcher.
	watcherCheckInterval = 250 * time.Millisecond
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
	// maxConfigBytes is the maximum size of a fetched configuration.
	maxConfigBytes = 4 << 20
)

// storedConfig is a configuration in its stored form, with its version.
type storedConfig struct {
	version state.ConfigVersion
	raw     []byte
	// compressed is raw in the gzip format.
	compressed []byte
}

// newStoredConfig compresses a configuration once for all fetches: many balancers may fetch it at the same time, and a large one that is
// not compressed occupies the link of a small instance for seconds.
func newStoredConfig(version state.ConfigVersion, raw []byte) (*storedConfig, error) {
	var compressed bytes.Buffer
	w, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "configuration can't be compressed")
	}
	_, err = w.Write(raw)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "configuration can't be compressed")
	}
	return &storedConfig{version: version, raw: raw, compressed: compressed.Bytes()}, nil
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
	// storeUnavailable is true if the last call to the store failed. While the store answers that it has no configuration, it does not
	// change.
	storeUnavailable atomic.Bool
	// startedAt is when the balancer started.
	startedAt time.Time
	// era is the latest era of the store; zero before the first answer. Only the watcher uses it.
	era state.StoreEra
	// orders are the orders to evacuate data centres after the last read or wait. Only the watcher uses them.
	orders evac.Orders
	// restores counts how often the store came back from an earlier copy.
	restores *metrics.Counter

	// unreachableSince is when the last series of failed calls to the store began; zero if the last call succeeded or the series is older
	// than unreachableTTL. Only the watcher uses it.
	unreachableSince time.Time

	// mu protects balancers and watchers.
	mu sync.Mutex
	// balancers are the addresses of the balancers that are present, this one included.
	balancers []netip.AddrPort
	// watchers are those of them that watch the store.
	watchers []netip.AddrPort
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
	watchers := watch.Watchers(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancers = addresses
	s.watchers = watchers
}

// isWatcher reports whether this balancer is one of those that watch the store. A balancer that is not on its own list, such as before
// the first list, is one too.
func (s *configSyncer) isWatcher() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.b.settings.Internal
	return !slices.Contains(s.balancers, self) || slices.Contains(s.watchers, self)
}

// watch reads the first configuration from the store and, while this balancer is a watcher, watches the store for newer ones. After an
// error, or once this balancer is no longer a watcher, the position is reset, so the next call to the store is a read.
func (s *configSyncer) watch(ctx context.Context) error {
	delays := newRetryDelays()
	position := state.StorePosition{}
	for ctx.Err() == nil {
		if position.Revision != 0 && !s.isWatcher() {
			position = state.StorePosition{}
		}
		if s.initialised() && position.Revision == 0 && !s.isWatcher() {
			s.expireUnreachable(ctx)
			group.Sleep(ctx, watcherCheckInterval)
			continue
		}
		next, err := s.readOrWait(ctx, position)
		if err != nil && ctx.Err() == nil {
			s.handleStoreError(ctx, err)
			position = state.StorePosition{}
			group.Sleep(ctx, s.limitRetryDelay(delays.NextBackOff()))
			continue
		}
		s.markStoreAvailable(ctx)
		delays.Reset()
		position = next
	}
	return nil
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

// limitRetryDelay limits a retry delay to maxFirstRetryDelay while new flows can't be placed, and to maxStoreRetryDelay with evacuation on.
func (s *configSyncer) limitRetryDelay(delay time.Duration) time.Duration {
	if !s.initialised() {
		return min(delay, maxFirstRetryDelay)
	}
	if s.b.evacuation != nil {
		return min(delay, maxStoreRetryDelay)
	}
	return delay
}

// readOrWait reads what the operator has written if after is zero. Otherwise it waits for a change after that position. It returns the
// position to wait from next.
func (s *configSyncer) readOrWait(ctx context.Context, after state.StorePosition) (state.StorePosition, error) {
	if after.Revision == 0 {
		limited, cancel := context.WithTimeout(ctx, s.timeoutOfRead())
		defer cancel()
		content, err := s.source.Read(limited)
		position, err := s.handleAnswer(ctx, s.updateOfRead(content), err)
		if err == nil && content.Config == nil && s.latest.Load() == nil {
			err = errs.New(errs.NotFound, "store has no configuration")
		}
		return position, err
	}
	limited, cancel := context.WithTimeout(ctx, s.waitAtStore()+watchReplyMargin)
	defer cancel()
	changes, err := s.source.Wait(limited, after, s.waitAtStore())
	if errs.KindOf(err) == errs.NotFound {
		s.log.Info("store no longer has the history since the last position; reading the whole configuration",
			"era", after.Era, "revision", after.Revision, "reason", errs.Text(err))
		return state.StorePosition{}, s.noteEra(ctx, changes.Position.Era)
	}
	return s.handleAnswer(ctx, s.updateOfChanges(changes), err)
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
	return u.position, s.applyFromStore(ctx, u.config)
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

// applyFromStore applies a configuration that was read from the store. A store that was restored may have an older version than the
// fleet. A balancer without a configuration activates an older one only after olderVersionDelay: if no other balancer has the newer one
// any more, routes that are some seconds old are better than none.
func (s *configSyncer) applyFromStore(ctx context.Context, raw []byte) error {
	if len(raw) == 0 || s.latest.Load() != nil {
		return s.apply(ctx, raw, "store")
	}
	s.waitForPeer(ctx)
	c, err := s.source.Decode(raw)
	if err != nil {
		return s.apply(ctx, raw, "store")
	}
	var announced state.ConfigVersion
	err = s.b.runInLoop(ctx, func(time.Time) { announced, _ = s.b.fleet.announcedConfig() })
	if err != nil {
		return err
	}
	if c.Version < announced {
		s.log.Warn("store has an older configuration than the fleet; waiting for another balancer's", "version", c.Version, "announced", announced)
		group.Sleep(ctx, olderVersionDelay)
	}
	return s.apply(ctx, raw, "store")
}

// handleStoreError logs and announces the first of a series of failed calls to the store, and logs each reply that there is no
// configuration.
func (s *configSyncer) handleStoreError(ctx context.Context, err error) {
	if errs.KindOf(err) == errs.NotFound {
		s.log.Info("store has no configuration yet; retrying")
		return
	}
	if !s.storeUnavailable.Swap(true) {
		s.log.Warn("call to the store failed; keeping the present configuration", "error", errs.Text(err))
		s.unreachableSince = time.Now()
		s.announceUnreachable(ctx, true)
	}
}

// expireUnreachable withdraws the announcement that the store can't be reached after unreachableTTL, so that this balancer may become a
// watcher again. A balancer that doesn't watch makes no calls that could show it.
func (s *configSyncer) expireUnreachable(ctx context.Context) {
	if s.unreachableSince.IsZero() || time.Since(s.unreachableSince) < unreachableTTL {
		return
	}
	s.unreachableSince = time.Time{}
	s.storeUnavailable.Store(false)
	s.announceUnreachable(ctx, false)
}

// announceUnreachable announces to the fleet whether this balancer's calls to the store fail.
func (s *configSyncer) announceUnreachable(ctx context.Context, unreachable bool) {
	s.b.runInLoopOrLog(ctx, func(time.Time) { s.b.fleet.announceStoreUnreachable(unreachable) })
}

// markStoreAvailable logs and announces that the store answers again after failed calls.
func (s *configSyncer) markStoreAvailable(ctx context.Context) {
	if s.storeUnavailable.Swap(false) {
		s.log.Info("store answers again")
		s.unreachableSince = time.Time{}
		s.announceUnreachable(ctx, false)
	}
}

// apply decodes a configuration in its stored form and activates it if it is newer than the present one. One that can't be decoded is
// logged and ignored, and the present one stays active.
func (s *configSyncer) apply(ctx context.Context, raw []byte, from string) error {
	if len(raw) == 0 {
		return nil
	}
	c, err := s.source.Decode(raw)
	if err != nil {
		s.log.Error("configuration can't be decoded; keeping the present one", "from", from, "error", errs.Text(err))
		return nil
	}
	if c.Version <= s.version() {
		return nil
	}
	next, err := newStoredConfig(c.Version, raw)
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
		s.log.Info("configuration activated", "version", c.Version, "before", before, "from", from, "routes", len(c.Routes))
	})
}
