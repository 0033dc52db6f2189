package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

// Directory reads and writes a list of balancers in the store, through which a separated process joins the fleet. The
// seeds in its settings are only a few nodes, and those may be down or start later.
type Directory struct {
	// Read returns the list in its stored form, and the position of its last change. With allowStale the list may be seconds old, which
	// costs the store less. An error of kind NotFound means that there is none; the position then has the revision zero.
	Read func(ctx context.Context, allowStale bool) ([]byte, state.StorePosition, error)
	// Write replaces the list if its last change is still the expected one; a revision of zero means that there is no list yet. An
	// error of kind Conflict means that it is not, or that the store was restored since the read.
	Write func(ctx context.Context, list []byte, expected state.StorePosition) error
}

const (
	// listTimeout is the timeout of the calls to read or write the list.
	listTimeout = time.Second
	// listRereadInterval is how long a process that is separated from the fleet waits before it reads the list again.
	listRereadInterval = time.Second
	// listSettleTime is how long the set of balancers must not have changed before their list is written.
	listSettleTime = 2 * time.Second
	// listRankKey is the key by which the balancers are ranked to choose the one that writes the list.
	listRankKey = 0x6a6f696e
	// maxListLength is the maximum number of balancers on the list. A process that joins needs only a few that are running.
	maxListLength = 32
)

// discovery finds other nodes through the list of balancers in the store, and keeps the list up to date.
type discovery struct {
	n         *node
	directory Directory
	log       logs.Logger

	// mu protects the fields below.
	mu sync.Mutex
	// balancers are the addresses of the balancers that are present, sorted; changedAt is when they last changed.
	balancers []netip.AddrPort
	changedAt time.Time
	// separated is true while this node may know only a part of the fleet.
	separated bool
	// storeEra is the latest era of the store that the fleet has announced.
	storeEra state.StoreEra
}

func newDiscovery(n *node, d Directory) *discovery {
	return &discovery{n: n, directory: d, log: n.log.Part("fleet"), separated: true}
}

// setFleet sets the balancers that are present, sorted, whether this node may know only a part of the fleet, and the latest era of the store.
func (d *discovery) setFleet(now time.Time, balancers []netip.AddrPort, separated bool, storeEra state.StoreEra) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.separated = separated
	d.storeEra = storeEra
	if !slices.Equal(d.balancers, balancers) {
		d.balancers = balancers
		d.changedAt = now
	}
}

// isSeparated reports whether this node may know only a part of the fleet.
func (d *discovery) isSeparated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.separated
}

// discover reads the list at the start, and again while this node may know only a part of the fleet.
func (d *discovery) discover(ctx context.Context) error {
	delays := newRetryDelays()
	for ctx.Err() == nil {
		listed, err := d.readList(ctx)
		if err == nil {
			d.n.runInLoopOrLog(ctx, func(time.Time) { d.n.fleet.addSeeds(listed) })
		}
		group.Sleep(ctx, d.delayAfterRead(delays, err))
		for ctx.Err() == nil && !d.isSeparated() {
			group.Sleep(ctx, listRereadInterval)
		}
	}
	return nil
}

// delayAfterRead returns how long to wait after a read with a result. The delays after failed reads grow until a read succeeds or finds
// that there is no list.
func (d *discovery) delayAfterRead(delays backoff.BackOff, err error) time.Duration {
	if err == nil || errs.KindOf(err) == errs.NotFound {
		delays.Reset()
		return listRereadInterval
	}
	d.log.Warn("list of balancers could not be read from the store; retrying", "error", errs.Text(err))
	return delays.NextBackOff()
}

// readList reads the list.
func (d *discovery) readList(ctx context.Context) ([]netip.AddrPort, error) {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	raw, _, err := d.directory.Read(limited, true)
	if err != nil {
		return nil, err
	}
	return decodeList(raw)
}

// publishedList is a list with the era of the store in which it was written.
type publishedList struct {
	balancers []netip.AddrPort
	storeEra  state.StoreEra
}

// equal reports whether two lists are equal and were written in the same era. A store that was restored may have lost the list.
func (p publishedList) equal(other publishedList) bool {
	return p.storeEra == other.storeEra && slices.Equal(p.balancers, other.balancers)
}

// publishList writes the list after it has changed or the store was restored, if this balancer has the highest rank, so that only one
// balancer writes it.
func (d *discovery) publishList(ctx context.Context) error {
	var written publishedList
	for group.Sleep(ctx, listSettleTime/2) {
		list := d.listToPublish()
		if list.balancers == nil {
			// Another balancer may write the list in the meantime.
			written = publishedList{}
			continue
		}
		if list.equal(written) {
			continue
		}
		if err := d.writeList(ctx, list.balancers); err != nil {
			d.log.Warn("list of balancers could not be written to the store; retrying", "error", errs.Text(err))
			group.Sleep(ctx, maxRetryDelay)
			continue
		}
		written = list
	}
	return nil
}

// listToPublish returns the list to write, or none if another balancer is to write it or the balancers have changed recently.
func (d *discovery) listToPublish() publishedList {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.balancers) == 0 || time.Since(d.changedAt) < listSettleTime {
		return publishedList{}
	}
	hashes := make([]uint64, 0, len(d.balancers))
	for _, b := range d.balancers {
		hashes = append(hashes, relay.NodeHash(b))
	}
	if d.balancers[rank.Top(listRankKey, hashes, 1)[0]] != d.n.settings.Internal {
		return publishedList{}
	}
	return publishedList{
		balancers: slices.Clone(d.balancers[:min(maxListLength, len(d.balancers))]),
		storeEra:  d.storeEra,
	}
}

// writeList replaces the stored list if it differs. An error of kind Conflict means that another balancer wrote the list in between, or
// that the store was restored.
func (d *discovery) writeList(ctx context.Context, list []netip.AddrPort) error {
	encoded, err := encodeList(list)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stored, changedAt, err := d.directory.Read(limited, false)
	if err != nil && errs.KindOf(err) != errs.NotFound {
		return err
	}
	if slices.Equal(stored, encoded) {
		return nil
	}
	return d.directory.Write(limited, encoded, changedAt)
}

// listDocument is the list in its stored form.
type listDocument struct {
	Balancers []string `json:"balancers"`
}

// encodeList encodes a list of balancers in its stored form.
func encodeList(balancers []netip.AddrPort) ([]byte, error) {
	var d listDocument
	for _, b := range balancers {
		d.Balancers = append(d.Balancers, b.String())
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "list of balancers can't be encoded")
	}
	return raw, nil
}

// decodeList decodes a list of balancers. One invalid entry makes the whole list invalid.
func decodeList(raw []byte) ([]netip.AddrPort, error) {
	var d listDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, errs.Wrap(err, errs.BadInput, "list of balancers can't be decoded")
	}
	var list []netip.AddrPort
	for _, text := range d.Balancers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errs.Wrap(err, errs.BadInput, "list of balancers: address %q is not valid", text)
		}
		list = append(list, address)
	}
	return list, nil
}
