package node

import (
	"io"
	"net/netip"
	"testing"

	"monsoonstep/core/errs"
	"monsoonstep/io/logs"

	"github.com/matryer/is"
)

func TestBalancerListRoundTrip(t *testing.T) {
	check := is.New(t)
	list := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7700"), netip.MustParseAddrPort("10.0.0.2:7700")}
	raw, err := encodeList(list)
	check.NoErr(err)
	decoded, err := decodeList(raw)
	check.NoErr(err)
	check.Equal(decoded, list)
}

// Guards against a process that waits for seconds with its first retry, since reads failed long before it last joined the fleet.
func TestDelayAfterFailedReadStartsAgainAfterASuccess(t *testing.T) {
	check := is.New(t)
	d := &discovery{log: logs.New(io.Discard, "")}
	delays := newRetryDelays()
	failed := errs.New(errs.StoreDown, "no answer")
	for range 20 {
		d.delayAfterRead(delays, failed)
	}
	check.True(d.delayAfterRead(delays, failed) > 2*minRetryDelay)
	check.Equal(d.delayAfterRead(delays, nil), listRereadInterval)
	check.True(d.delayAfterRead(delays, failed) < 2*minRetryDelay)
}

// A list that another program wrote to the key, or that is damaged, must not be accepted.
func TestMalformedBalancerListsAreRejected(t *testing.T) {
	for _, raw := range []string{``, `[]`, `{"balancers":["here"]}`, `{"balancers":7}`} {
		if list, err := decodeList([]byte(raw)); err == nil {
			t.Errorf("list %q was read as %v", raw, list)
		}
	}
}
