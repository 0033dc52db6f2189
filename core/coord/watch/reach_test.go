package watch_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"monsoonstep/core/coord/watch"
)

var start = time.Unix(1_000_000, 0)

// The store cuts all waiting watches at once. A balancer that announced this as a failure left the watching to others, so that in a small
// fleet a single one remained, and its partition from the store went unnoticed for seconds.
func TestCutWatchesLeaveTheWatchersInCharge(t *testing.T) {
	is := is.New(t)
	watchers := watch.Watchers(fleet(5))
	var unreachable []netip.AddrPort
	for _, w := range watchers {
		var r watch.Reach
		r.Record(start, watch.WatchCut)
		if r.Unreachable() {
			unreachable = append(unreachable, w)
		}
	}
	is.Equal(watch.Watchers(fleet(5, unreachable...)), watchers)
}

// A balancer that can't reach the store must be replaced at once, and a cut watch in between must not hide that.
func TestFailedCallIsAnnouncedUntilTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	var r watch.Reach
	is.True(r.Record(start, watch.Failed))
	is.True(!r.Record(start, watch.Failed)) // announced already
	is.True(!r.Record(start, watch.WatchCut))
	is.True(r.Unreachable())
	is.True(r.Record(start, watch.Answered))
	is.True(!r.Unreachable())
}

// After an outage of the store the first balancer whose call succeeds would watch alone if the others waited instead of calling again.
func TestAllWatchersReturnAfterAnOutageAsSoonAsTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	const size = 20
	reaches := make(map[netip.AddrPort]*watch.Reach)
	var unreachable []netip.AddrPort
	isCandidate := func(a netip.AddrPort) bool { return slices.Contains(watch.Candidates(fleet(size)), a) }
	// call lets every balancer that has to call the store do so.
	call := func(o watch.Outcome) {
		watchers := watch.Watchers(fleet(size, unreachable...))
		unreachable = nil
		for _, b := range fleet(size) {
			if reaches[b.Address] == nil {
				reaches[b.Address] = new(watch.Reach)
			}
			r := reaches[b.Address]
			if slices.Contains(watchers, b.Address) || r.MustRetry(isCandidate(b.Address)) {
				r.Record(start, o)
			}
			if r.Unreachable() {
				unreachable = append(unreachable, b.Address)
			}
		}
	}
	for range 10 {
		call(watch.Failed)
	}
	is.Equal(len(unreachable), 12) // the others never called
	call(watch.Answered)
	is.Equal(len(unreachable), 0)
	is.Equal(watch.Watchers(fleet(size, unreachable...)), watch.Watchers(fleet(size)))
}

// An outage at the start of a large fleet fails the first call of every balancer. Those that need not watch must not go on calling, and
// must not count as unreachable for good.
func TestBalancerThatIsNoCandidateForgetsItsFailure(t *testing.T) {
	is := is.New(t)
	var r watch.Reach
	r.Record(start, watch.Failed)
	is.True(!r.MustRetry(false))
	is.True(!r.Expire(start.Add(9 * time.Second)))
	is.True(r.Expire(start.Add(10 * time.Second)))
	is.True(!r.Unreachable())
	is.True(!r.Expire(start.Add(11 * time.Second)))
}
