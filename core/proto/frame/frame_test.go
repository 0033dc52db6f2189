package frame_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"monsoonstep/core/proto/frame"
	"monsoonstep/core/proto/keys"
	"monsoonstep/core/state"
)

func newSet(tb testing.TB, fleet byte) *keys.Set {
	set, err := keys.New(keys.Fleet{fleet}, state.Ring{}, 0)
	if err != nil {
		tb.Fatal(err)
	}
	return set
}

func sampleFrame(packet []byte) frame.Frame {
	return frame.Frame{
		Kind:    frame.KindToAgent,
		Service: 5,
		Caller:  netip.MustParseAddrPort("192.0.2.1:4433"),
		Packet:  packet,
	}
}

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := keys.New(keys.Fleet{1}, state.Ring{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		want := sampleFrame(rapid.SliceOfN(rapid.Byte(), 0, 1500).Draw(t, "packet"))
		var codec frame.Codec
		encoded := codec.Encode(make([]byte, len(want.Packet)+frame.Overhead), set, want)
		got, ok := codec.Decode(encoded, set)
		if !ok || got.Caller != want.Caller || got.Service != want.Service || !bytes.Equal(got.Packet, want.Packet) {
			t.Fatalf("got %v %v", got, ok)
		}
		// A flipped bit in the bytes that the MAC covers is detected; byte 1, the generation, is exempt.
		at := rapid.IntRange(0, min(len(encoded), frame.Overhead+60)-1).Draw(t, "at")
		encoded[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, ok := codec.Decode(encoded, set); ok && at != 1 {
			t.Fatalf("a flipped bit in byte %d was not detected", at)
		}
		encoded[at] = 0
	})
}

func TestForgedOrTruncatedFramesAreRejected(t *testing.T) {
	is := is.New(t)
	var codec frame.Codec
	encoded := codec.Encode(make([]byte, 2000), newSet(t, 1), sampleFrame(make([]byte, 1200)))
	_, ok := codec.Decode(encoded, newSet(t, 2))
	is.True(!ok) // another fleet's key
	for _, n := range []int{0, 1, frame.Overhead - 1, frame.Overhead, len(encoded) - 1} {
		_, ok := codec.Decode(encoded[:n], newSet(t, 1))
		is.True(!ok) // truncated
	}
}

func FuzzDecode(f *testing.F) {
	set := newSet(f, 1)
	var codec frame.Codec
	f.Add(codec.Encode(make([]byte, 200), set, sampleFrame([]byte("packet"))))
	f.Add([]byte{1, 0, 1})
	f.Fuzz(func(_ *testing.T, p []byte) {
		var codec frame.Codec
		codec.Decode(p, set)
	})
}
