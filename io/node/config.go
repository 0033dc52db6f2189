package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

const (
	// watcherCount is how many balancers wait at the store for a change; the others hear of it from them.
	watcherCount = 4
	// watcherRankKey ranks balancers for watching.
	watcherRankKey = 0x77617463686572
	// watchTimeout is how long one call waits at the store: a watch that has gone silent is found out after it.
	watchTimeout = 4 * time.Second
	// watchReplyMargin is how long the answer may take beyond that.
	watchReplyMargin = 700 * time.Millisecond
	// readTimeout is the time of one read at the store.
	readTimeout = 1500 * time.Millisecond
	// watcherCheckInterval is the time between two looks whether this balancer should watch.
	watcherCheckInterval = time.Second
	// maxFirstRetryDelay is the longest pause after a failed call while there is no configuration at all, because new flows wait
	// for it.
	maxFirstRetryDelay = 400 * time.Millisecond
	// fetchTimeout is the time of one fetch from another balancer.
	fetchTimeout = time.Second
	// configPath is the page where a balancer shows the stored configuration that it has.
	configPath = "/configuration"
	// maxConfigBytes bounds a fetched configuration.
	maxConfigBytes = 4 << 20
)

// storedConfig is a configuration as it is storedConfig, with its version.
type storedConfig struct {
	version state.ConfigVersion
	raw     []byte
	// compressed is raw, compressed.
	compressed []byte
}

// newStoredConfig compresses a configuration once: many balancers may fetch it at the same time, and a large one fills a small
// machine's link for seconds.
func newStoredConfig(version state.ConfigVersion, raw []byte) (*storedConfig, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "configuration can't be compressed")
	}
	_, err = w.Write(raw)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "configuration can't be compressed")
	}
	return &storedConfig{version: version, raw: raw, compressed: packed.Bytes()}, nil
}

// configSyncer keeps a balancer's configuration in step with the store and with the other balancers. The highest
// version wins, wherever it comes from.
type configSyncer struct {
	b      *Balancer
	source ConfigSource
	log    logs.Logger
	client *http.Client
	// latest is what the page shows; it is nil before the first configuration.
	latest atomic.Pointer[storedConfig]
	// fetchRequests holds the address of a balancer that has a newer version.
	fetchRequests chan netip.AddrPort
	// storeUnavailable is true while the store does not answer.
	storeUnavailable atomic.Bool

	mu sync.Mutex
	// balancers are those that are thought to run.
	balancers []netip.AddrPort
}

func newConfigSyncer(b *Balancer, source ConfigSource) *configSyncer {
	return &configSyncer{
		b:             b,
		source:        source,
		log:           b.log.Part("config"),
		client:        &http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		fetchRequests: make(chan netip.AddrPort, 1),
	}
}

func (k *configSyncer) start() {
	k.b.group.Go("configuration watcher", k.watch)
	k.b.group.Go("configuration fetcher", k.fetch)
}

func (k *configSyncer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, r *http.Request) {
		latest := k.latest.Load()
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

func (k *configSyncer) setBalancers(list []netip.AddrPort) {
	k.mu.Lock()
	k.balancers = list
	k.mu.Unlock()
}

// isWatcher reports whether this balancer is one of those that wait at the store.
func (k *configSyncer) isWatcher() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	hashes := make([]uint64, 0, len(k.balancers))
	for _, b := range k.balancers {
		hashes = append(hashes, relay.NodeHash(b))
	}
	self := slices.Index(k.balancers, k.b.settings.Internal)
	return self < 0 || slices.Contains(rank.Top(watcherRankKey, hashes, watcherCount), self)
}

// watch is the duty that reads the store.
func (k *configSyncer) watch(ctx context.Context) error {
	pauses := newRetryDelays()
	revision := state.Revision(0)
	for ctx.Err() == nil {
		if revision != 0 && !k.isWatcher() {
			revision = 0
		}
		if k.latest.Load() != nil && revision == 0 && !k.isWatcher() {
			group.Sleep(ctx, watcherCheckInterval)
			continue
		}
		next, err := k.readOrWait(ctx, revision)
		if err != nil && ctx.Err() == nil {
			k.handleStoreError(err)
			revision = 0
			group.Sleep(ctx, k.limitRetryDelay(pauses.NextBackOff()))
			continue
		}
		k.markStoreAvailable()
		pauses.Reset()
		revision = next
	}
	return nil
}

func (k *configSyncer) limitRetryDelay(pause time.Duration) time.Duration {
	if k.latest.Load() == nil {
		return min(pause, maxFirstRetryDelay)
	}
	return pause
}

// readOrWait reads the configuration, or waits for one that is newer than a revision.
func (k *configSyncer) readOrWait(ctx context.Context, after state.Revision) (state.Revision, error) {
	if after == 0 {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		raw, revision, err := k.source.Read(limited)
		if err != nil {
			return 0, err
		}
		return revision, k.apply(ctx, raw, "store")
	}
	limited, cancel := context.WithTimeout(ctx, watchTimeout+watchReplyMargin)
	defer cancel()
	raw, revision, err := k.source.Wait(limited, after, watchTimeout)
	if errs.KindOf(err) == errs.NotFound {
		k.log.Info("the store's history is gone; the configuration is read again", "after", after)
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return revision, k.apply(ctx, raw, "store")
}

func (k *configSyncer) handleStoreError(err error) {
	if errs.KindOf(err) == errs.NotFound {
		k.log.Info("the store has no configuration yet")
		return
	}
	if !k.storeUnavailable.Swap(true) {
		k.log.Warn("the store is lost", "error", errs.Text(err))
	}
}

func (k *configSyncer) markStoreAvailable() {
	if k.storeUnavailable.Swap(false) {
		k.log.Info("the store is regained")
	}
}

// apply puts a stored configuration in force if it is newer.
func (k *configSyncer) apply(ctx context.Context, raw []byte, from string) error {
	if len(raw) == 0 {
		return nil
	}
	c, err := k.source.Decode(raw)
	if err != nil {
		k.log.Error("a configuration can't be read and is left out", "from", from, "error", errs.Text(err))
		return nil
	}
	if c.Version <= k.version() {
		return nil
	}
	next, err := newStoredConfig(c.Version, raw)
	if err != nil {
		return err
	}
	return k.b.runInLoop(ctx, func(time.Time) {
		before := k.b.steer.ActiveVersion()
		if !k.b.steer.Configure(c) {
			return
		}
		k.latest.Store(next)
		k.b.fleet.announceConfig(c.Version, k.b.settings.Internal)
		k.log.Info("a configuration is in force", "version", c.Version, "before", before, "from", from, "routes", len(c.Routes))
	})
}

// fetchIfOutdated asks for a fetch if the fleet tells of a newer version. It runs on the owner of the state.
func (k *configSyncer) fetchIfOutdated() {
	version, holder := k.b.fleet.announcedConfig()
	if version <= k.b.steer.ActiveVersion() {
		return
	}
	select {
	case k.fetchRequests <- holder:
	default:
	}
}

// fetch is the duty that reads configurations from other balancers.
func (k *configSyncer) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case holder := <-k.fetchRequests:
			if err := k.fetchFrom(ctx, holder); err != nil {
				k.log.Warn("a configuration could not be fetched", "from", holder, "error", errs.Text(err))
				k.fetchElsewhere(ctx, holder)
			}
		}
	}
}

// fetchElsewhere tries the other balancers, until one has a newer version.
func (k *configSyncer) fetchElsewhere(ctx context.Context, failed netip.AddrPort) {
	k.mu.Lock()
	others := slices.Clone(k.balancers)
	k.mu.Unlock()
	had := k.version()
	for _, other := range others {
		if other == failed || other == k.b.settings.Internal {
			continue
		}
		if err := k.fetchFrom(ctx, other); err == nil && k.version() > had {
			return
		}
	}
	group.Sleep(ctx, minRetryDelay)
}

func (k *configSyncer) version() state.ConfigVersion {
	if latest := k.latest.Load(); latest != nil {
		return latest.version
	}
	return 0
}

func (k *configSyncer) fetchFrom(ctx context.Context, holder netip.AddrPort) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder.String()+configPath, nil)
	if err != nil {
		return errs.Wrap(err, errs.BadInput, "address %s", holder)
	}
	response, err := k.client.Do(request)
	if err != nil {
		return errs.Wrap(err, errs.NotFound, "balancer does not answer")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil {
		return errs.Wrap(err, errs.NotFound, "configuration was cut short")
	}
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.NotFound, "status %d", response.StatusCode)
	}
	return k.apply(ctx, raw, holder.String())
}
