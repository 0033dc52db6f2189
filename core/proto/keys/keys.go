// Package keys derives every key that the fleet uses from one secret, the fleet key, and keeps the
// derived keys of each generation of the key ring.
//
// A Set is immutable. A change of the ring makes a new Set, which its users swap in atomically.
package keys

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"monsoonstep/core/errs"
	"monsoonstep/core/state"
)

const (
	fleetKeyBytes = 32
	blockKeyBytes = 16
	sealKeyBytes  = 32
)

// Fleet is the secret that all instances of a fleet share.
type Fleet [fleetKeyBytes]byte

// ParseFleet reads a fleet key from the text of its file: 32 bytes in base64.
func ParseFleet(text string) (Fleet, error) {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return Fleet{}, errs.Wrap(err, errs.BadSettings, "fleet key is not base64")
	}
	if len(raw) != fleetKeyBytes {
		return Fleet{}, errs.New(errs.BadSettings, "fleet key has %d bytes; it must have %d", len(raw), fleetKeyBytes)
	}
	return Fleet(raw), nil
}

// Text returns the key in the form that ParseFleet reads.
func (f Fleet) Text() string { return base64.StdEncoding.EncodeToString(f[:]) + "\n" }

// Generation holds the derived keys of one generation.
type Generation struct {
	Number state.Generation
	// ConnID encrypts connection IDs, one block each.
	ConnID cipher.Block
	// Frame authenticates encapsulated packets.
	Frame cipher.Block
	// Gossip seals the messages of the membership protocol.
	Gossip cipher.AEAD
}

// Set holds the keys of all readable generations.
type Set struct {
	// generations is indexed by number; nil where a generation is not readable.
	generations [256]*Generation
	newest      state.Generation
	// ResetKey is the key of stateless resets. It is the same for the whole fleet and does not rotate with
	// the ring, so that any agent can reset the flow of a dead one.
	ResetKey [32]byte
	// TokenKey is the key of QUIC address validation tokens.
	TokenKey [32]byte
}

// New derives the keys of generation 0 and of the ring's generations.
func New(fleet Fleet, ring state.Ring, now state.Millis) (*Set, error) {
	set := &Set{newest: ring.Newest(now)}
	copy(set.ResetKey[:], derive(fleet, nil, "stateless reset", len(set.ResetKey)))
	copy(set.TokenKey[:], derive(fleet, nil, "address token", len(set.TokenKey)))
	all := append([]state.RingKeyInfo{{}}, ring.Keys...)
	for _, info := range all {
		made, err := newGeneration(fleet, info)
		if err != nil {
			return nil, err
		}
		set.generations[info.Generation] = made
	}
	return set, nil
}

// Newest returns the generation to make new IDs and seals with.
func (s *Set) Newest() *Generation { return s.generations[s.newest] }

// At returns a generation's keys, or nil if it is not readable.
func (s *Set) At(g state.Generation) *Generation { return s.generations[g] }

func newGeneration(fleet Fleet, info state.RingKeyInfo) (*Generation, error) {
	connID, err := aes.NewCipher(derive(fleet, info.Salt, "connection id", blockKeyBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "connection ID key")
	}
	frame, err := aes.NewCipher(derive(fleet, info.Salt, "frame", blockKeyBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "frame key")
	}
	gossipBlock, err := aes.NewCipher(derive(fleet, info.Salt, "gossip", sealKeyBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "gossip key")
	}
	gossip, err := cipher.NewGCM(gossipBlock)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "gossip key")
	}
	return &Generation{Number: info.Generation, ConnID: connID, Frame: frame, Gossip: gossip}, nil
}

// derive uses HKDF with SHA-256 (RFC 5869).
func derive(fleet Fleet, salt []byte, purpose string, size int) []byte {
	made, err := hkdf.Key(sha256.New, fleet[:], salt, "monsoonstep "+purpose, size)
	if err != nil {
		panic("keys: derived key size is out of range: " + err.Error())
	}
	return made
}
