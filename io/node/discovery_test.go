package node

import (
	"net/netip"
	"testing"

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

// A list that another program wrote to the key, or that is damaged, must not be accepted.
func TestMalformedBalancerListsAreRejected(t *testing.T) {
	for _, raw := range []string{``, `[]`, `{"balancers":["here"]}`, `{"balancers":7}`} {
		if list, err := decodeList([]byte(raw)); err == nil {
			t.Errorf("list %q was read as %v", raw, list)
		}
	}
}
