package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
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
	latest, err := newStoredConfig(7, raw.Bytes())
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
