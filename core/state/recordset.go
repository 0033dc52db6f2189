package state

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Key is a key of the platform's key-value service without the fleet's prefix.
type Key string

// The parts of the key space.
const (
	EntryPrefix = "entries/"
	DrainPrefix = "drains/"
	RingKey     = "ring"
	JoinsKey    = "joins"
)

// HasPrefix reports whether the key starts with a prefix.
func (k Key) HasPrefix(prefix string) bool { return strings.HasPrefix(string(k), prefix) }

// EntryKey returns the key of a service's entry.
func EntryKey(name ServiceName) Key { return Key(EntryPrefix + string(name)) }

// DrainKey returns the key of an instance's drain intent.
func DrainKey(name InstanceName) Key { return Key(DrainPrefix + string(name)) }

// Record is one key of the platform as a node knows it.
type Record struct {
	Key Key
	// Revision is the platform's revision of the last write to the key.
	Revision Revision
	Value    []byte
}

// RecordBuckets is how many buckets a book's digest has.
const RecordBuckets = 64

// RecordSet keeps the newest record of each key. It is not safe for use by several goroutines.
type RecordSet struct {
	// records holds for each key the record with the highest revision ever merged.
	records map[Key]Record
	// version rises by one with every change.
	version uint64
	// highest is the highest revision merged.
	highest Revision
	// digest holds for each bucket the XOR of the hashes of its records.
	digest [RecordBuckets]uint32
}

// NewRecordSet returns an empty book.
func NewRecordSet() *RecordSet { return &RecordSet{records: make(map[Key]Record)} }

// Merge takes r in if it is newer than what the book has, and reports whether it was.
func (b *RecordSet) Merge(r Record) bool {
	old, known := b.records[r.Key]
	if known && old.Revision >= r.Revision {
		return false
	}
	bucket := RecordBucket(r.Key)
	if known {
		b.digest[bucket] ^= recordHash(old)
	}
	b.digest[bucket] ^= recordHash(r)
	b.records[r.Key] = r
	b.version++
	b.highest = max(b.highest, r.Revision)
	return true
}

// Get returns the record of a key.
func (b *RecordSet) Get(k Key) (Record, bool) {
	r, ok := b.records[k]
	return r, ok
}

// Version rises with every change.
func (b *RecordSet) Version() uint64 { return b.version }

// HighestRevision is the highest revision merged.
func (b *RecordSet) HighestRevision() Revision { return b.highest }

// Digest returns a hash for each bucket; equal books have equal digests.
func (b *RecordSet) Digest() [RecordBuckets]uint32 { return b.digest }

// WithPrefix returns the records whose key starts with prefix, in the order of their keys.
func (b *RecordSet) WithPrefix(prefix string) []Record {
	var found []Record
	for k, r := range b.records {
		if strings.HasPrefix(string(k), prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y Record) int { return cmp.Compare(x.Key, y.Key) })
	return found
}

// InBucket returns the records of one bucket of the digest.
func (b *RecordSet) InBucket(bucket int) []Record {
	var found []Record
	for k, r := range b.records {
		if RecordBucket(k) == bucket {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(x, y Record) int { return cmp.Compare(x.Key, y.Key) })
	return found
}

// RecordBucket returns the bucket of a key, from 0 to BookBuckets-1.
func RecordBucket(k Key) int { return int(xxhash.Sum64String(string(k)) % RecordBuckets) }

func recordHash(r Record) uint32 {
	h := xxhash.Sum64String(string(r.Key)) ^ (uint64(r.Revision) * hashMultiplier)
	return uint32(Mix(h))
}

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
