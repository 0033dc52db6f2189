package node

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
)

// fetchIfOutdated requests a fetch if the fleet has announced a newer version. Only the event loop may call it.
func (s *configSyncer) fetchIfOutdated() {
	version, holder := s.b.fleet.announcedConfig()
	if version <= s.b.steer.ActiveVersion() {
		return
	}
	select {
	case s.fetchRequests <- holder:
	default:
	}
}

// fetch handles the requests to fetch a newer configuration from another balancer.
func (s *configSyncer) fetch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case holder := <-s.fetchRequests:
			if err := s.fetchFrom(ctx, holder); err != nil {
				s.log.Warn("configuration could not be fetched from a balancer; trying the others", "from", holder, "error", errs.Text(err))
				s.fetchElsewhere(ctx, holder)
			}
		}
	}
}

// fetchElsewhere fetches from the other balancers in turn until one has had a newer version. If none has, it delays the next fetch.
func (s *configSyncer) fetchElsewhere(ctx context.Context, failed netip.AddrPort) {
	s.mu.Lock()
	others := slices.Clone(s.balancers)
	s.mu.Unlock()
	versionBefore := s.version()
	for _, other := range others {
		if other == failed || other == s.b.settings.Internal {
			continue
		}
		if err := s.fetchFrom(ctx, other); err == nil && s.version() > versionBefore {
			return
		}
	}
	group.Sleep(ctx, minRetryDelay)
}

// version returns the version of the configuration that other balancers may fetch; zero before the first one.
func (s *configSyncer) version() state.ConfigVersion {
	if latest := s.latest.Load(); latest != nil {
		return latest.version
	}
	return 0
}

// fetchFrom fetches the configuration from the balancer at an address and applies it.
func (s *configSyncer) fetchFrom(ctx context.Context, holder netip.AddrPort) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+holder.String()+configPath, nil)
	if err != nil {
		return errs.Wrap(err, errs.BadInput, "balancer address %s is not valid in a URL", holder)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errs.Wrap(err, errs.NotFound, "balancer did not answer")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil {
		return errs.Wrap(err, errs.NotFound, "body of the response with the configuration could not be read")
	}
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.NotFound, "balancer answered with status %d", response.StatusCode)
	}
	c, err := s.source.Decode(raw)
	if err != nil {
		s.logUndecodable(holder.String(), err)
		return nil
	}
	c.Follows = followsOf(response.Header)
	return s.activate(ctx, c, raw, holder.String())
}

// followsOf returns the version that a fetched configuration replaced; zero if the header is missing or is no number, as from a balancer
// of another release.
func followsOf(header http.Header) state.ConfigVersion {
	follows, err := strconv.ParseUint(header.Get(followsHeader), 10, 64)
	if err != nil {
		return 0
	}
	return state.ConfigVersion(follows)
}
