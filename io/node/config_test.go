package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/coord/watch"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

// A fleet fetches a configuration of 2,000 routes from an instance with a link of 10 Mbit/s. Without compression the link would be
// occupied for seconds.
func TestLargeConfigurationIsFetchedCompressed(t *testing.T) {
	check := is.New(t)
	var raw bytes.Buffer
	for n := range 2000 {
		fmt.Fprintf(&raw, `{"name":"r-%d","host":"198.18.%d.%d","prefix":"/443/","kind":"safe","service":"atelier"},`, n, n>>8, n&255)
	}
	s := &configSyncer{}
	page := httptest.NewServer(s.handler())
	defer page.Close()
	latest, err := newStoredConfig(state.Config{Version: 7}, raw.Bytes())
	check.NoErr(err)
	check.True(len(latest.compressed)*5 < raw.Len())
	s.latest.Store(latest)

	// Go's HTTP client requests compression by default, and decompresses the response to the stored form.
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, page.URL+configPath, nil)
	check.NoErr(err)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	check.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	fetched, err := io.ReadAll(response.Body)
	check.NoErr(err)
	check.True(response.Uncompressed)
	check.Equal(fetched, raw.Bytes())
}

// A balancer that can't tell whether it skipped a configuration takes the route history for complete, and resets flows that it should
// search for.
func TestFetchedConfigurationTellsWhichVersionItReplaced(t *testing.T) {
	check := is.New(t)
	s := &configSyncer{}
	latest, err := newStoredConfig(state.Config{Version: 9, Follows: 7}, []byte("{}"))
	check.NoErr(err)
	s.latest.Store(latest)
	response := httptest.NewRecorder()
	s.handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, configPath, nil))
	check.Equal(followsOf(response.Header()), state.ConfigVersion(7))
	check.Equal(followsOf(http.Header{}), state.ConfigVersion(0)) // from a balancer of another release
}

// Only a single change within a watch tells what was replaced: after a read, or several changes at once, others may have been missed.
func TestVersionAtTheStoreFollowsTheLastOneOnlyAfterASingleChange(t *testing.T) {
	check := is.New(t)
	s := &configSyncer{b: &Balancer{node: &node{}}}
	check.Equal(s.noteVersionAtStore(3, s.updateOfRead(StoreContent{}).followsLast), state.ConfigVersion(0))
	check.Equal(s.noteVersionAtStore(5, s.updateOfChanges(StoreChanges{ConfigChanges: 1}).followsLast), state.ConfigVersion(3))
	check.Equal(s.noteVersionAtStore(9, s.updateOfChanges(StoreChanges{ConfigChanges: 2}).followsLast), state.ConfigVersion(0))
	check.Equal(s.noteVersionAtStore(11, s.updateOfChanges(StoreChanges{ConfigChanges: 1}).followsLast), state.ConfigVersion(9))
}

// A partition from the store that comes between two watches shows as a connection attempt that times out. Taken for a cut watch, it would
// be announced only after another timeout.
func TestOnlyAWatchWithoutTimeoutCountsAsCut(t *testing.T) {
	check := is.New(t)
	noResponse := func(cause error) error { return errs.Wrap(cause, errs.StoreDown, "no response") }
	dialTimeout := &url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}}
	check.Equal(outcomeOfWatch(noResponse(io.EOF)), watch.WatchCut)
	check.Equal(outcomeOfWatch(noResponse(dialTimeout)), watch.Failed)
	check.Equal(outcomeOfWatch(noResponse(context.DeadlineExceeded)), watch.Failed)
	check.Equal(outcomeOfWatch(nil), watch.Answered)
}
