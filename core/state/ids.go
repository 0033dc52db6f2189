// Package state defines the domain types that the other packages share (IDs, units, catalogue entries,
// members, flows, the key ring) and the rules by which two copies of them are merged.
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

// ServiceID identifies a service in packets. It is a hash of the service's name, never 0.
type ServiceID uint32

// InstanceName is the name that an operator gives an instance, for example "atelier-3".
type InstanceName string

// InstanceID identifies one process of the system by the instance's name and the time at which the process
// started, in hexadecimal milliseconds, for example "atelier-3/19ae6f3c1d2". A restarted process is another
// member, so that no node relies on it to have the state of the former one.
type InstanceID string

// NewInstanceID returns the ID of the process of an instance that started at the given time.
func NewInstanceID(name InstanceName, started Millis) InstanceID {
	return InstanceID(string(name) + "/" + strconv.FormatInt(int64(started), 16))
}

// Name returns the name of the instance.
func (i InstanceID) Name() InstanceName {
	name, _, _ := strings.Cut(string(i), "/")
	return InstanceName(name)
}

// Started returns the time at which the process started, by its own clock; zero if the ID does not contain it.
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

// Incarnation orders the announcements of one process: the higher one is newer.
type Incarnation uint64

// Revision is a revision of the platform's key-value service.
type Revision int64

// StoreEra counts how often the platform's key-value service came back from an earlier copy of itself. Such a copy lacks
// the latest changes, and gives out their revisions again, so revisions are comparable only within one era.
type StoreEra uint64

// StorePosition is a point in the history of the platform's key-value service.
type StorePosition struct {
	Era      StoreEra
	Revision Revision
}

// Generation numbers the keys of the key ring.
type Generation uint8

// Millis is a time in milliseconds since the Unix epoch.
type Millis int64

// ID returns the service's ID. The catalogue refuses a name whose ID collides with that of another.
func (n ServiceName) ID() ServiceID {
	id := ServiceID(xxhash.Sum64String(string(n)))
	if id == 0 {
		return 1
	}
	return id
}

// Hash returns a 64-bit hash of the ID, for rendezvous hashing.
func (i InstanceID) Hash() uint64 { return xxhash.Sum64String(string(i)) }
