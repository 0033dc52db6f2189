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

// Pattern: a configuration of 2,000 routes, and a fleet that fetches it from a machine with a link of 10 Mbit/s.
func TestLargeConfigurationIsFetchedCompressed(t *testing.T) {
	check := is.New(t)
	var raw bytes.Buffer
	for n := range 2000 {
		fmt.Fprintf(&raw, `{"name":"r-%d","host":"198.18.%d.%d","prefix":"/443/","kind":"safe","service":"atelier"},`, n, n>>8, n&255)
	}
	k := &configSyncer{}
	page := httptest.NewServer(k.handler())
	defer page.Close()
	latest, err := newStoredConfig(7, raw.Bytes())
	check.NoErr(err)
	check.True(len(latest.compressed)*5 < raw.Len())
	k.latest.Store(latest)

	// A client of this package asks for compression by itself, and gets the configuration as it is stored.
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
