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

// Directory is a list of balancers in the store, where processes that know nobody find others. Settings name a few
// seeds only, and those may be gone or start later.
type Directory struct {
	// Read returns the list as it is stored, and its revision. An error of kind NotFound means that there is none.
	Read func(ctx context.Context) ([]byte, state.Revision, error)
	// Write replaces the list if it still has a revision; zero means that there is none.
	Write func(ctx context.Context, list []byte, expected state.Revision) error
}

const (
	// listTimeout is the time of one call for the list.
	listTimeout = time.Second
	// listRereadInterval is how long a process that read the list goes on alone before it reads it again.
	listRereadInterval = time.Second
	// listSettleTime is how long the balancers must be the same before their list is written.
	listSettleTime = 2 * time.Second
	// listRankKey ranks balancers for writing the list.
	listRankKey = 0x6a6f696e
	// maxListLength bounds the list: a newcomer needs a few that live.
	maxListLength = 32
)

// discovery finds other nodes by the list in the store, and keeps the list.
type discovery struct {
	n         *node
	directory Directory
	log       logs.Logger

	mu sync.Mutex
	// balancers are those that are thought to run, in order; changedAt is when they last changed.
	balancers []netip.AddrPort
	changedAt time.Time
	alone     bool
}

func newDiscovery(n *node, d Directory) *discovery {
	return &discovery{n: n, directory: d, log: n.log.Part("fleet"), alone: true}
}

// setBalancers takes in the balancers that are thought to run.
func (j *discovery) setBalancers(now time.Time, balancers []netip.AddrPort, alone bool) {
	slices.SortFunc(balancers, netip.AddrPort.Compare)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.alone = alone
	if !slices.Equal(j.balancers, balancers) {
		j.balancers = slices.Clone(balancers)
		j.changedAt = now
	}
}

func (j *discovery) isAlone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.alone
}

// discover is the duty that reads the list at the start, and again while no other node is known.
func (j *discovery) discover(ctx context.Context) error {
	pauses := newRetryDelays()
	for ctx.Err() == nil {
		if err := j.readList(ctx); err != nil && errs.KindOf(err) != errs.NotFound {
			j.log.Warn("the list of balancers could not be read", "error", errs.Text(err))
			group.Sleep(ctx, pauses.NextBackOff())
		} else {
			group.Sleep(ctx, listRereadInterval)
		}
		for ctx.Err() == nil && !j.isAlone() {
			group.Sleep(ctx, listRereadInterval)
		}
	}
	return nil
}

// readList reads the list and calls those on it.
func (j *discovery) readList(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	raw, _, err := j.directory.Read(limited)
	if err != nil {
		return err
	}
	listed, err := decodeList(raw)
	if err != nil {
		return err
	}
	return j.n.runInLoop(ctx, func(time.Time) { j.n.fleet.addSeeds(listed) })
}

// publishList is the duty that writes the list when it has changed. One balancer does so: the first in rank.
func (j *discovery) publishList(ctx context.Context) error {
	var written []netip.AddrPort
	for group.Sleep(ctx, listSettleTime/2) {
		list := j.listToPublish()
		if list == nil {
			// Another balancer may write meanwhile.
			written = nil
			continue
		}
		if slices.Equal(list, written) {
			continue
		}
		if err := j.writeList(ctx, list); err != nil {
			j.log.Warn("the list of balancers could not be written", "error", errs.Text(err))
			group.Sleep(ctx, maxRetryDelay)
			continue
		}
		written = list
	}
	return nil
}

// listToPublish returns the list to be written, or nil if it is another balancer's duty or the list still changes.
func (j *discovery) listToPublish() []netip.AddrPort {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.balancers) == 0 || time.Since(j.changedAt) < listSettleTime {
		return nil
	}
	hashes := make([]uint64, 0, len(j.balancers))
	for _, b := range j.balancers {
		hashes = append(hashes, relay.NodeHash(b))
	}
	if j.balancers[rank.Top(listRankKey, hashes, 1)[0]] != j.n.settings.Internal {
		return nil
	}
	return slices.Clone(j.balancers[:min(maxListLength, len(j.balancers))])
}

// writeList replaces the stored list if it differs. A conflict means that the read was stale, or that another balancer wrote.
func (j *discovery) writeList(ctx context.Context, list []netip.AddrPort) error {
	encoded, err := encodeList(list)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stored, revision, err := j.directory.Read(limited)
	if err != nil && errs.KindOf(err) != errs.NotFound {
		return err
	}
	if slices.Equal(stored, encoded) {
		return nil
	}
	return j.directory.Write(limited, encoded, revision)
}

// listDocument is the list as it is stored.
type listDocument struct {
	Balancers []string `json:"balancers"`
}

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

func decodeList(raw []byte) ([]netip.AddrPort, error) {
	var d listDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, errs.Wrap(err, errs.BadInput, "list of balancers")
	}
	var list []netip.AddrPort
	for _, text := range d.Balancers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errs.Wrap(err, errs.BadInput, "address %q", text)
		}
		list = append(list, address)
	}
	return list, nil
}
