// Package state holds the domain types that every other package speaks about (ids, units, catalogue
// entries, members, the key ring) and the rules by which two copies of them merge.
//
// The types carry no tags; package wire maps them to bytes. Nothing here reads a clock or a socket.
package state

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ServiceName is the name of a service in the catalogue, for example "atelier".
type ServiceName string

// ServiceID is the number of a service inside packets: a hash of its name, never 0.
type ServiceID uint32

// InstanceName is the name that an operator gives an instance, for example "atelier-3".
type InstanceName string

// InstanceID names one process of the system: the instance's name and the time at which the process
// started, for example "atelier-3/19ae6f3c1d2". A process that is started again is another member,
// so that nobody takes it to remember what the former one did.
type InstanceID string

// NewInstanceID returns the ID of a process of an instance that started at a time.
func NewInstanceID(name InstanceName, started Millis) InstanceID {
	return InstanceID(string(name) + "/" + strconv.FormatInt(int64(started), 16))
}

// Name returns the name of the instance.
func (i InstanceID) Name() InstanceName {
	name, _, _ := strings.Cut(string(i), "/")
	return InstanceName(name)
}

// Started returns the time at which the process started, by its own clock; zero if the ID does not tell.
func (i InstanceID) Started() Millis {
	_, started, _ := strings.Cut(string(i), "/")
	at, err := strconv.ParseInt(started, 16, 64)
	if err != nil {
		return 0
	}
	return Millis(at)
}

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region, a set of data centres.
type Region string

// Incarnation orders what an instance says of itself: the higher one is newer.
type Incarnation uint64

// Revision is a revision of the platform's key-value service.
type Revision int64

// Generation numbers the keys of the key ring.
type Generation uint8

// Millis is a time in milliseconds since the Unix epoch.
type Millis int64

// ID returns the service's number. Names whose numbers collide are refused by the catalogue.
func (n ServiceName) ID() ServiceID {
	id := ServiceID(xxhash.Sum64String(string(n)))
	if id == 0 {
		return 1
	}
	return id
}

// Hash returns a 64-bit hash of the instance's name, for rendezvous hashing.
func (i InstanceID) Hash() uint64 { return xxhash.Sum64String(string(i)) }
