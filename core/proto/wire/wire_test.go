package wire_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonstep/core/coord/gossip"
	"monsoonstep/core/errs"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

const goodEntry = `{"service":"atelier","owner":"lakaz","class":"important","address":"10.0.0.7:443","limits":{"slots":7}}`

func TestEntryRoundTrip(t *testing.T) {
	is := is.New(t)
	e, err := wire.DecodeEntry([]byte(goodEntry))
	is.NoErr(err)
	is.Equal(e.Limits.Slots, 7)
	is.Equal(e.Class, state.ClassImportant)
	is.True(e.Limits.Queue > 0 && e.Limits.Deadline > 0) // missing limits have defaults
	raw, err := wire.EncodeEntry(e)
	is.NoErr(err)
	decoded, err := wire.DecodeEntry(raw)
	is.NoErr(err)
	is.Equal(decoded, e)
}

func TestInvalidEntryErrorNamesAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := wire.DecodeEntry([]byte(`{"service":"At","owner":"","class":"vip","address":"x","limits":{"slots":-1,"retryBudget":2}}`))
	is.Equal(errs.KindOf(err), errs.BadInput)
	for _, path := range []string{"service", "owner", "class", "address", "limits.slots", "limits.retryBudget"} {
		is.True(strings.Contains(err.Error(), path+":")) // the error names each problem
	}
	for _, bad := range []string{`{`, `[]`, `{"serbice":"a"}`, goodEntry + "x", goodEntry + "}", goodEntry + "]", `{"service":7}`} {
		_, err := wire.DecodeEntry([]byte(bad))
		is.Equal(errs.KindOf(err), errs.BadInput)
	}
}

func TestGossipRoundTripAndForgedMessages(t *testing.T) {
	is := is.New(t)
	set, err := keys.New(keys.Fleet{1}, state.Ring{}, 0)
	is.NoErr(err)
	msg := gossip.Message{
		Kind: gossip.KindDiff, Sequence: 9, From: "a/1", To: "b/2",
		TargetAddress: netip.MustParseAddrPort("10.0.0.1:7401"),
		Members: []state.Member{{
			ID: "a/1", Incarnation: 3, Health: state.HealthSuspect,
			Announcement: state.Announcement{
				Role: state.RoleAgent, Service: "atelier", Gossip: netip.MustParseAddrPort("10.0.0.1:7401"),
				Slots: 7, Phase: state.PhaseServing, Since: 5, AbsentFrom: 6, AbsentTo: 7,
			},
		}},
		Records: []state.Record{{Key: "entries/atelier", Revision: 4, Value: []byte(goodEntry)}},
		Digest:  &gossip.Digest{},
	}
	sealed, err := wire.SealGossip(set.Newest(), msg)
	is.NoErr(err)
	got, _, err := wire.OpenGossip(set, sealed)
	is.NoErr(err)
	is.Equal(got, msg)
	sealed[len(sealed)-1] ^= 1
	_, _, err = wire.OpenGossip(set, sealed)
	is.Equal(errs.KindOf(err), errs.Forged)
	_, _, err = wire.OpenGossip(set, sealed[:5])
	is.Equal(errs.KindOf(err), errs.Forged)
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(goodEntry))
	f.Add([]byte(`{"service":"a","edit":{"deleted":true}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := wire.DecodeEntry(raw)
		if err != nil {
			return
		}
		encoded, err := wire.EncodeEntry(e)
		if err != nil {
			return
		}
		if _, err := wire.DecodeEntry(encoded); err != nil {
			t.Fatalf("an accepted entry is refused after it is encoded again: %v", err)
		}
	})
}
