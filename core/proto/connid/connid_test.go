package connid_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/proto/connid"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

var route = connid.Route{Agent: netip.MustParseAddrPort("10.1.2.3:7402"), Service: 77, Serial: 9}

func newSet(tb testing.TB, fleet byte, ring state.Ring, now state.Millis) *keys.Set {
	set, err := keys.New(keys.Fleet{fleet}, ring, now)
	if err != nil {
		tb.Fatal(err)
	}
	return set
}

func TestRouteRoundTrip(t *testing.T) {
	is := is.New(t)
	set := newSet(t, 1, state.Ring{}, 0)
	id := connid.Append(nil, set, route)
	is.Equal(len(id), connid.Size)
	var reader connid.Reader
	got, ok := reader.Read(set, id)
	is.True(ok)
	is.Equal(got, route)
	_, ok = reader.Read(newSet(t, 2, state.Ring{}, 0), id) // another fleet's key
	is.True(!ok)
	id[5] ^= 1
	_, ok = reader.Read(set, id)
	is.True(!ok)
}

// A rotation of the key ring must not break flows: IDs of older generations stay readable, and a
// generation is used for new IDs only from its ActiveFrom on, so that all nodes have its keys by then.
func TestRotationKeepsOldIDsReadable(t *testing.T) {
	is := is.New(t)
	ring := state.Ring{Keys: []state.RingKeyInfo{{Generation: 1, Salt: []byte("0123456789abcdef"), ActiveFrom: 100}}}
	before := newSet(t, 1, state.Ring{}, 0)
	pending := newSet(t, 1, ring, 99)
	active := newSet(t, 1, ring, 100)
	oldID := connid.Append(nil, before, route)
	newID := connid.Append(nil, active, route)
	is.Equal(connid.Append(nil, pending, route), oldID) // the new generation is not active yet
	is.Equal(newID[0], byte(1))
	var reader connid.Reader
	for _, id := range [][]byte{oldID, newID} {
		for _, set := range []*keys.Set{pending, active} {
			got, ok := reader.Read(set, id)
			is.True(ok)
			is.Equal(got, route)
		}
	}
	is.Equal(before.ResetKey, active.ResetKey) // any agent can reset the flow of any other
}

func TestSerialsOfOneProcessShareATag(t *testing.T) {
	is := is.New(t)
	first := connid.FirstSerial(0xabc12345)
	s := first
	for range 3 {
		s = s.Next()
	}
	is.True(s.SameProcess(first))
	is.True(!s.SameProcess(connid.FirstSerial(0x12312345)))
}

func FuzzParsePacket(f *testing.F) {
	set := newSet(f, 1, state.Ring{}, 0)
	f.Add(append([]byte{0x40}, connid.Append(nil, set, route)...))
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0, 0, 0})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, p []byte) {
		packet, ok := connid.ParsePacket(p)
		if !ok {
			return
		}
		var reader connid.Reader
		if got, ok := reader.Read(set, packet.ID); ok && got.Service != route.Service {
			t.Logf("random bytes passed the check for service %d", got.Service)
		}
		if len(packet.ID) > 20 {
			t.Fatalf("connection ID has %d bytes; at most 20 are allowed", len(packet.ID))
		}
	})
}
