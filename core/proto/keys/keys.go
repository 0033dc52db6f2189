// Package keys derives all keys that the fleet uses from one secret, the fleet key. A Set has the derived
// keys of each generation of the key ring.
//
// A Set is immutable. After a change of the key ring a new Set is derived, and its users replace the old
// one atomically.
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
	// blockKeyBytes is the size of the AES-128 keys for connection IDs and frames.
	blockKeyBytes = 16
	// gossipKeyBytes is the size of the AES-256-GCM key for gossip messages.
	gossipKeyBytes = 32
)

// Fleet is the fleet key, the secret that all instances of a fleet share.
type Fleet [fleetKeyBytes]byte

// ParseFleet parses the content of a fleet key file: 32 bytes in base64. White space around it is ignored. The error is of
// kind BadSettings.
func ParseFleet(text string) (Fleet, error) {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return Fleet{}, errs.Wrap(err, errs.BadSettings, "fleet key is not valid base64")
	}
	if len(raw) != fleetKeyBytes {
		return Fleet{}, errs.New(errs.BadSettings, "fleet key has %d bytes; it must have %d", len(raw), fleetKeyBytes)
	}
	return Fleet(raw), nil
}

// Text returns the content of the key's file, which ParseFleet parses.
func (f Fleet) Text() string { return base64.StdEncoding.EncodeToString(f[:]) + "\n" }

// Generation has the keys that are derived for one generation of the key ring.
type Generation struct {
	Number state.Generation
	// ConnID encrypts connection IDs. The encrypted part of an ID is one block.
	ConnID cipher.Block
	// Frame is the block cipher of the MAC of frames.
	Frame cipher.Block
	// Gossip encrypts and authenticates the messages of the membership protocol.
	Gossip cipher.AEAD
}

// Set has the keys of all readable generations: those whose IDs, frames and messages can be decoded.
type Set struct {
	// generations is indexed by the generation's number. An entry is nil if the generation is not readable.
	generations [256]*Generation
	newest      state.Generation
	// ResetKey is the key of QUIC stateless resets. It is the same for the whole fleet and does not change
	// with the key ring, so that any agent can reset the flows of an agent that is presumed dead.
	ResetKey [32]byte
	// TokenKey is the key of QUIC address validation tokens.
	TokenKey [32]byte
}

// New derives the keys of generation 0, which needs no ring, and of the ring's generations. The time
// decides which of them is the newest active one.
func New(fleet Fleet, ring state.Ring, now state.Millis) (*Set, error) {
	set := &Set{newest: ring.Newest(now)}
	copy(set.ResetKey[:], deriveKey(fleet, nil, "stateless reset", len(set.ResetKey)))
	copy(set.TokenKey[:], deriveKey(fleet, nil, "address token", len(set.TokenKey)))
	all := append([]state.RingKeyInfo{{}}, ring.Keys...)
	for _, info := range all {
		generation, err := deriveGeneration(fleet, info)
		if err != nil {
			return nil, err
		}
		set.generations[info.Generation] = generation
	}
	return set, nil
}

// Newest returns the keys of the newest active generation, with which new connection IDs, frames and gossip messages are
// made.
func (s *Set) Newest() *Generation { return s.generations[s.newest] }

// At returns the keys of generation g, or nil if g is not readable.
func (s *Set) At(g state.Generation) *Generation { return s.generations[g] }

func deriveGeneration(fleet Fleet, info state.RingKeyInfo) (*Generation, error) {
	connID, err := aes.NewCipher(deriveKey(fleet, info.Salt, "connection id", blockKeyBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "connection ID cipher could not be created")
	}
	frame, err := aes.NewCipher(deriveKey(fleet, info.Salt, "frame", blockKeyBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "frame cipher could not be created")
	}
	gossipBlock, err := aes.NewCipher(deriveKey(fleet, info.Salt, "gossip", gossipKeyBytes))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "gossip cipher could not be created")
	}
	gossip, err := cipher.NewGCM(gossipBlock)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "gossip cipher could not be created")
	}
	return &Generation{Number: info.Generation, ConnID: connID, Frame: frame, Gossip: gossip}, nil
}

// deriveKey derives a key of size bytes for a purpose with HKDF and SHA-256 (RFC 5869).
func deriveKey(fleet Fleet, salt []byte, purpose string, size int) []byte {
	key, err := hkdf.Key(sha256.New, fleet[:], salt, "monsoonstep "+purpose, size)
	if err != nil {
		panic("keys: derived key size is out of range: " + err.Error())
	}
	return key
}
