package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/coord/relay"
	"monsoonstep/core/errs"
	"monsoonstep/core/state"
	"monsoonstep/io/group"
	"monsoonstep/io/logs"
)

// Directory reads and writes a list of balancers in the store, through which a process that knows no other node joins the fleet. The
// seeds in its settings are only a few nodes, and those may be down or start later.
type Directory struct {
	// Read returns the list in its stored form, and its revision. An error of kind NotFound means that there is none.
	Read func(ctx context.Context) ([]byte, state.Revision, error)
	// Write replaces the list if its revision is still the expected one; zero means that there is no list yet. An error of kind
	// Conflict means that the revision differs.
	Write func(ctx context.Context, list []byte, expected state.Revision) error
}

const (
	// listTimeout is the timeout of the calls to read or write the list.
	listTimeout = time.Second
	// listRereadInterval is how long a process that knows no other node waits before it reads the list again.
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
	// alone is true while no other node is known.
	alone bool
}

func newDiscovery(n *node, d Directory) *discovery {
	return &discovery{n: n, directory: d, log: n.log.Part("fleet"), alone: true}
}

// setBalancers sets the balancers that are present, sorted, and whether this node knows no other one.
func (d *discovery) setBalancers(now time.Time, balancers []netip.AddrPort, alone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alone = alone
	if !slices.Equal(d.balancers, balancers) {
		d.balancers = balancers
		d.changedAt = now
	}
}

// isAlone reports whether no other node is known.
func (d *discovery) isAlone() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alone
}

// discover reads the list at the start, and again while no other node is known.
func (d *discovery) discover(ctx context.Context) error {
	delays := newRetryDelays()
	for ctx.Err() == nil {
		if err := d.readList(ctx); err != nil && errs.KindOf(err) != errs.NotFound {
			d.log.Warn("list of balancers could not be read from the store; retrying", "error", errs.Text(err))
			group.Sleep(ctx, delays.NextBackOff())
		} else {
			group.Sleep(ctx, listRereadInterval)
		}
		for ctx.Err() == nil && !d.isAlone() {
			group.Sleep(ctx, listRereadInterval)
		}
	}
	return nil
}

// readList reads the list and adds the balancers on it to the seeds.
func (d *discovery) readList(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	raw, _, err := d.directory.Read(limited)
	if err != nil {
		return err
	}
	listed, err := decodeList(raw)
	if err != nil {
		return err
	}
	return d.n.runInLoop(ctx, func(time.Time) { d.n.fleet.addSeeds(listed) })
}

// publishList writes the list after it has changed, if this balancer has the highest rank, so that only one balancer writes it.
func (d *discovery) publishList(ctx context.Context) error {
	var written []netip.AddrPort
	for group.Sleep(ctx, listSettleTime/2) {
		list := d.listToPublish()
		if list == nil {
			// Another balancer may write the list in the meantime.
			written = nil
			continue
		}
		if slices.Equal(list, written) {
			continue
		}
		if err := d.writeList(ctx, list); err != nil {
			d.log.Warn("list of balancers could not be written to the store; retrying", "error", errs.Text(err))
			group.Sleep(ctx, maxRetryDelay)
			continue
		}
		written = list
	}
	return nil
}

// listToPublish returns the list to write, or nil if another balancer is to write it or the balancers have changed recently.
func (d *discovery) listToPublish() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.balancers) == 0 || time.Since(d.changedAt) < listSettleTime {
		return nil
	}
	hashes := make([]uint64, 0, len(d.balancers))
	for _, b := range d.balancers {
		hashes = append(hashes, relay.NodeHash(b))
	}
	if d.balancers[rank.Top(listRankKey, hashes, 1)[0]] != d.n.settings.Internal {
		return nil
	}
	return slices.Clone(d.balancers[:min(maxListLength, len(d.balancers))])
}

// writeList replaces the stored list if it differs. An error of kind Conflict means that the read was stale, or that another balancer
// wrote the list in between.
func (d *discovery) writeList(ctx context.Context, list []netip.AddrPort) error {
	encoded, err := encodeList(list)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stored, revision, err := d.directory.Read(limited)
	if err != nil && errs.KindOf(err) != errs.NotFound {
		return err
	}
	if slices.Equal(stored, encoded) {
		return nil
	}
	return d.directory.Write(limited, encoded, revision)
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
