package state

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is a key of the platform's key-value service without the fleet's prefix.
type Key string

// The keys in use and the prefixes of keys.
const (
	// EntryPrefix is the prefix of the keys of services; see EntryKey.
	EntryPrefix = "entries/"
	// DrainPrefix is the prefix of the keys of drain intents; see DrainKey.
	DrainPrefix = "drains/"
	// RingKey is the key of the key ring.
	RingKey = "ring"
	// JoinsKey is the key of the list of addresses at which new nodes may join.
	JoinsKey = "joins"
)

// HasPrefix reports whether the key starts with a prefix.
func (k Key) HasPrefix(prefix string) bool { return strings.HasPrefix(string(k), prefix) }

// EntryKey returns the key of a service's catalogue entry.
func EntryKey(name ServiceName) Key { return Key(EntryPrefix + string(name)) }

// DrainKey returns the key of an instance's drain intent.
func DrainKey(name InstanceName) Key { return Key(DrainPrefix + string(name)) }

// Record is a node's copy of one key of the platform and its value.
type Record struct {
	Key Key
	// Revision is the platform's revision of the last write to the key.
	Revision Revision
	Value    []byte
}

// RecordBuckets is the number of buckets in the digest of a record set.
const RecordBuckets = 64

// RecordSet holds the newest record of each key. It is not safe for concurrent use.
type RecordSet struct {
	// records holds for each key the record with the highest revision merged so far.
	records map[Key]Record
	// version rises by one with every change.
	version uint64
	// highest is the highest revision of all records merged.
	highest Revision
	// digest holds for each bucket the XOR of the hashes of its records.
	digest [RecordBuckets]uint32
}

// NewRecordSet returns an empty record set.
func NewRecordSet() *RecordSet { return &RecordSet{records: make(map[Key]Record)} }

// Merge stores r if it is newer than the known record of its key, and reports whether it was.
func (s *RecordSet) Merge(r Record) bool {
	old, known := s.records[r.Key]
	if known && old.Revision >= r.Revision {
		return false
	}
	bucket := RecordBucket(r.Key)
	if known {
		s.digest[bucket] ^= recordHash(old)
	}
	s.digest[bucket] ^= recordHash(r)
	s.records[r.Key] = r
	s.version++
	s.highest = max(s.highest, r.Revision)
	return true
}

// Get returns the record of a key.
func (s *RecordSet) Get(k Key) (Record, bool) {
	r, ok := s.records[k]
	return r, ok
}

// Version returns a number that rises with every change.
func (s *RecordSet) Version() uint64 { return s.version }

// HighestRevision returns the highest revision of all records merged.
func (s *RecordSet) HighestRevision() Revision { return s.highest }

// Digest returns a hash for each bucket; equal record sets have equal digests.
func (s *RecordSet) Digest() [RecordBuckets]uint32 { return s.digest }

// WithPrefix returns the records whose key starts with prefix, sorted by key.
func (s *RecordSet) WithPrefix(prefix string) []Record {
	var found []Record
	for k, r := range s.records {
		if strings.HasPrefix(string(k), prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y Record) int { return cmp.Compare(x.Key, y.Key) })
	return found
}

// InBucket returns the records of one bucket of the digest, sorted by key.
func (s *RecordSet) InBucket(bucket int) []Record {
	var found []Record
	for k, r := range s.records {
		if RecordBucket(k) == bucket {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y Record) int { return cmp.Compare(x.Key, y.Key) })
	return found
}

// RecordBucket returns the bucket of a key, from 0 to RecordBuckets-1.
func RecordBucket(k Key) int { return int(xxhash.Sum64String(string(k)) % RecordBuckets) }

func recordHash(r Record) uint32 {
	h := xxhash.Sum64String(string(r.Key)) ^ (uint64(r.Revision) * hashMultiplier)
	return uint32(Mix(h))
}

// hashMultiplier is 2^64 divided by the golden ratio, the increment of splitmix64.
const hashMultiplier = 0x9e3779b97f4a7c15

// Mix spreads the bits of x and is a bijection. Source: the finaliser of splitmix64 (Steele, Lea and
// Flood, "Fast splittable pseudorandom number generators", 2014).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
