package ctrl

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"monsoonstep/io/group"

	"github.com/cenkalti/backoff/v5"

	"monsoonstep/core/errs"
	"monsoonstep/core/proto/wire"
	"monsoonstep/core/state"
)

const (
	maxPollBackoff = 30 * time.Second
	joinPeriod     = 500 * time.Millisecond
	// aloneAfter is how long a node looks for others before it takes itself for the first one.
	aloneAfter     = 3 * time.Second
	joinListPeriod = 10 * time.Second
	joinListLength = 8
	joinListFresh  = 4
)

// poll reads what changed at the platform. The period grows with the fleet, so that the fleet as a
// whole makes a fixed number of reads in a second; what one node reads, gossip hands on.
func (n *Node) poll(ctx context.Context) error {
	var cursor state.Revision
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = n.settings.Platform.MinPollPeriod
	retry.MaxInterval = maxPollBackoff
	for {
		n.metrics.polls.Inc()
		records, revision, err := n.store.ChangedSince(ctx, cursor)
		pause := n.pollPeriod()
		switch {
		case ctx.Err() != nil:
			n.store.Close()
			return nil
		case err != nil:
			n.metrics.pollErrors.Inc()
			pause = max(pause, retry.NextBackOff())
			n.log.Debug("a read of the platform failed", "err", errs.Text(err))
		default:
			retry.Reset()
			first := cursor == 0
			cursor = max(cursor, revision)
			n.polled.Store(time.Now().UnixMilli())
			n.takeIn(ctx, records, first)
		}
		if !group.Sleep(ctx, pause) {
			n.store.Close()
			return nil
		}
	}
}

// takeIn hands records of the platform to the machine. The first read brings the whole catalogue, which
// the others have: it is not spread again.
func (n *Node) takeIn(ctx context.Context, records []state.Record, first bool) {
	if !first {
		n.MergeRecord(ctx, records)
		return
	}
	n.do(ctx, func(time.Time) {
		for _, r := range records {
			n.machine.LoadRecord(r)
		}
	})
}

func (n *Node) pollPeriod() time.Duration {
	fleet := 0
	for _, m := range n.View().Members {
		if m.Present() {
			fleet++
		}
	}
	period := time.Second * time.Duration(fleet) / time.Duration(n.settings.Platform.PollsPerSecond)
	period = max(period, n.settings.Platform.MinPollPeriod)
	return period/2 + rand.N(period)
}

// join introduces this node to the seeds of its settings and of the platform until it knows others,
// and then fetches a snapshot from one of them.
func (n *Node) join(ctx context.Context) error {
	started := time.Now()
	for {
		if n.tryJoin(ctx, started) {
			n.joined.Store(true)
			return nil
		}
		if !group.Sleep(ctx, joinPeriod) {
			return nil
		}
	}
}

func (n *Node) tryJoin(ctx context.Context, started time.Time) bool {
	others := n.others()
	if len(others) == 0 {
		n.do(ctx, func(time.Time) {
			seeds := slices.Concat(n.settings.Seeds, n.intent.joins)
			n.send(n.machine.Join(seeds), n.View().Keys.At(0))
		})
		if time.Since(started) < aloneAfter {
			return false
		}
		n.log.Info("no other member answered; this one may be the first")
		return n.polled.Load() != 0
	}
	if n.snapshot == nil {
		return true
	}
	from := others[rand.IntN(len(others))]
	members, records, err := n.snapshot(ctx, from.Peer)
	if err != nil {
		n.log.Warn("a snapshot could not be fetched", "from", from.ID, "err", errs.Text(err))
		// In a fleet that is just starting nobody has a snapshot to give; digests bring what there is.
		return time.Since(started) > aloneAfter && n.polled.Load() != 0
	}
	n.do(ctx, func(now time.Time) {
		for _, m := range members {
			n.machine.LoadMember(now, m)
		}
		for _, r := range records {
			n.machine.LoadRecord(r)
		}
	})
	n.log.Info("a snapshot was taken in", "from", from.ID, "members", len(members), "records", len(records))
	return true
}

func (n *Node) others() []state.Member {
	v := n.View()
	var found []state.Member
	for _, m := range v.Members {
		if m.ID != v.Self.ID && m.Present() {
			found = append(found, m)
		}
	}
	return found
}

// keepJoinList keeps the platform's list of join addresses fresh, so that an instance can join whose
// settings name only instances that were replaced since. One node does it: the one whose ID sorts first.
func (n *Node) keepJoinList(ctx context.Context) error {
	for group.Sleep(ctx, joinListPeriod/2+rand.N(joinListPeriod)) {
		v := n.View()
		if !n.Joined() || slices.ContainsFunc(n.others(), func(m state.Member) bool { return m.ID < v.Self.ID }) {
			continue
		}
		n.refreshJoinList(ctx, v)
	}
	return nil
}

func (n *Node) refreshJoinList(ctx context.Context, v *View) {
	present := make(map[netip.AddrPort]bool)
	for _, m := range v.Members {
		present[m.Gossip] = present[m.Gossip] || m.Present()
	}
	listed := make(chan []netip.AddrPort, 1)
	n.do(ctx, func(time.Time) { listed <- n.intent.joins })
	var fresh []netip.AddrPort
	select {
	case joins := <-listed:
		for _, a := range joins {
			if present[a] {
				fresh = append(fresh, a)
			}
		}
	case <-ctx.Done():
		return
	}
	if len(fresh) >= min(joinListFresh, len(present)) {
		return
	}
	for a, ok := range present {
		if ok && len(fresh) < joinListLength && !slices.Contains(fresh, a) {
			fresh = append(fresh, a)
		}
	}
	r, err := n.store.Edit(ctx, state.JoinsKey, string(v.Self.ID), wire.EditOf, func(_ state.Record, edit state.Edit) ([]byte, error) {
		return wire.EncodeJoins(fresh, edit)
	})
	if err != nil {
		n.log.Debug("the list of join addresses could not be written", "err", errs.Text(err))
		return
	}
	n.MergeRecord(ctx, []state.Record{r})
}
