package node

import (
	"context"
	"slices"
	"time"

	"monsoonstep/core/coord/watch"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
)

const (
	// watchTimeout is how long a watch call waits at the store for a change. A configuration must be in force within 3 s although no
	// connection of a watch carries data any more, which is detected when the call times out: 1.2 s and watchReplyMargin leave 1.1 s for
	// the read that follows, by this balancer or by the one that replaces it, and for the fetches of the others.
	watchTimeout = 1200 * time.Millisecond
	// watchReplyMargin is how much longer than watchTimeout the reply to a watch call may take.
	watchReplyMargin = 700 * time.Millisecond
	// readTimeout is the timeout of a read from the store.
	readTimeout = 1500 * time.Millisecond
	// watcherCheckInterval is the time between two checks whether this balancer is a watcher.
	watcherCheckInterval = 250 * time.Millisecond
)

// isWatcher reports whether this balancer is one of those that watch the store. A balancer that is not on its own list, such as before
// the first list, is one too.
func (s *configSyncer) isWatcher() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.b.settings.Internal
	return !slices.Contains(s.balancers, self) || slices.Contains(s.watchers, self)
}

// mustRetry reports whether this balancer has to call the store although it is not a watcher.
func (s *configSyncer) mustRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.MustRetry(slices.Contains(s.candidates, s.b.settings.Internal))
}

// watch reads the first configuration from the store and, while this balancer is a watcher, watches the store for newer ones. After an
// error, or once this balancer is no longer a watcher, the position is reset, so the next call to the store is a read.
func (s *configSyncer) watch(ctx context.Context) error {
	delays := newRetryDelays()
	position := state.StorePosition{}
	for ctx.Err() == nil {
		isWatcher := s.isWatcher()
		s.logRole(isWatcher)
		if !isWatcher {
			position = state.StorePosition{}
		}
		if !isWatcher && s.initialised() && !s.mustRetry() {
			s.expireUnreachable(ctx)
			group.Sleep(ctx, watcherCheckInterval)
			continue
		}
		next, outcome, err := s.readOrWait(ctx, position)
		if ctx.Err() != nil {
			return nil
		}
		s.recordOutcome(ctx, outcome, err)
		if err != nil {
			position = state.StorePosition{}
			group.Sleep(ctx, s.limitRetryDelay(delays.NextBackOff()))
			continue
		}
		if position.Revision != 0 {
			// A read alone is no reason for a short delay: watches may fail although reads succeed.
			delays.Reset()
		}
		position = next
	}
	return nil
}

// logRole logs when this balancer becomes a watcher and when it leaves the watching to others.
func (s *configSyncer) logRole(isWatcher bool) {
	if isWatcher == s.watching {
		return
	}
	s.watching = isWatcher
	if isWatcher {
		s.log.Info("watching the store")
	} else {
		s.log.Info("leaving the watching of the store to other balancers", "unreachable", s.reach.Unreachable())
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
// position to wait from next, and how the call to the store ended.
func (s *configSyncer) readOrWait(ctx context.Context, after state.StorePosition) (state.StorePosition, watch.Outcome, error) {
	if after.Revision == 0 {
		position, err := s.read(ctx)
		return position, outcomeOf(err), err
	}
	limited, cancel := context.WithTimeout(ctx, watchTimeout+watchReplyMargin)
	defer cancel()
	changes, err := s.source.Wait(limited, after, watchTimeout)
	if errs.KindOf(err) == errs.NotFound {
		s.log.Info("store no longer has the history since the last position; reading the whole configuration",
			"era", after.Era, "revision", after.Revision, "reason", errs.Text(err))
		return state.StorePosition{}, watch.Answered, s.noteEra(ctx, changes.Position.Era)
	}
	outcome := outcomeOfWatch(err)
	position, err := s.handleAnswer(ctx, s.updateOfChanges(changes), err)
	return position, outcome, err
}

// read reads what the operator has written.
func (s *configSyncer) read(ctx context.Context) (state.StorePosition, error) {
	limited, cancel := context.WithTimeout(ctx, s.timeoutOfRead())
	defer cancel()
	content, err := s.source.Read(limited)
	position, err := s.handleAnswer(ctx, s.updateOfRead(content), err)
	if err == nil && content.Config == nil && s.latest.Load() == nil {
		err = errs.New(errs.NotFound, "store has no configuration")
	}
	return position, err
}

// outcomeOf returns the outcome of a call to the store that ended with an error, or with none. A store that has no configuration has
// answered.
func outcomeOf(err error) watch.Outcome {
	if err == nil || errs.KindOf(err) == errs.NotFound {
		return watch.Answered
	}
	return watch.Failed
}

// outcomeOfWatch is outcomeOf for a watch. One that got no answer was cut, unless it or the attempt to connect timed out.
func outcomeOfWatch(err error) watch.Outcome {
	outcome := outcomeOf(err)
	if outcome == watch.Failed && !errs.IsTimeout(err) {
		return watch.WatchCut
	}
	return outcome
}

// recordOutcome records how a call to the store ended. It announces the first of a series of failed calls, and the first call that
// succeeds after it, to the fleet.
func (s *configSyncer) recordOutcome(ctx context.Context, outcome watch.Outcome, err error) {
	changed := s.reach.Record(time.Now(), outcome)
	switch {
	case errs.KindOf(err) == errs.NotFound:
		s.log.Info("store has no configuration yet; retrying")
	case outcome == watch.WatchCut:
		s.log.Info("watch of the store was cut; reading the whole configuration", "error", errs.Text(err))
	case changed && outcome == watch.Failed:
		s.log.Warn("call to the store failed; keeping the present configuration", "error", errs.Text(err))
	case changed:
		s.log.Info("store answers again")
	}
	if changed {
		s.announceUnreachable(ctx)
	}
}

// expireUnreachable withdraws the announcement that the store can't be reached once it is old. A balancer that makes no calls to the
// store has nothing else to show that it can be reached again.
func (s *configSyncer) expireUnreachable(ctx context.Context) {
	if s.reach.Expire(time.Now()) {
		s.announceUnreachable(ctx)
	}
}

// announceUnreachable announces to the fleet whether this balancer's calls to the store fail.
func (s *configSyncer) announceUnreachable(ctx context.Context) {
	unreachable := s.reach.Unreachable()
	s.b.runInLoopOrLog(ctx, func(time.Time) { s.b.fleet.announceStoreUnreachable(unreachable) })
}
