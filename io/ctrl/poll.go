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
	// maxPollBackoff is the longest back-off, before jitter of up to half of it, after failed reads of the platform. An edit made right
	// after an outage has to be in force within 11 s. In a fleet of more than a hundred nodes the poll interval is longer.
	maxPollBackoff = 5 * time.Second
	joinInterval   = 500 * time.Millisecond
	// joinTimeout is how long a starting node tries to find other members and to fetch a snapshot from one of them. After
	// that it joins as the first member, or without a snapshot, once it has read the platform.
	joinTimeout      = 3 * time.Second
	joinListInterval = 10 * time.Second
	// maxJoinAddresses is the length of a new join list.
	maxJoinAddresses = 8
	// minPresentJoinAddresses is how many addresses of present members the join list must have: with fewer, it is written
	// anew.
	minPresentJoinAddresses = 4
)

// poll reads the changed records from the platform in a loop. The interval grows with the fleet, so that the fleet as a whole
// makes a fixed number of reads per second; gossip spreads the changes that one node reads to the others.
func (n *Node) poll(ctx context.Context) error {
	var cursor state.Revision
	retry := newPollBackoff(n.settings.Platform.MinPollPeriod)
	for {
		n.metrics.polls.Inc()
		records, revision, err := n.store.ChangedSince(ctx, cursor)
		pause := n.pollInterval()
		switch {
		case ctx.Err() != nil:
			n.store.Close()
			return nil
		case err != nil:
			n.metrics.pollErrors.Inc()
			pause = max(pause, retry.NextBackOff())
			n.log.Debug("read of the platform failed; another one follows after a back-off", "err", errs.Text(err))
		default:
			retry.Reset()
			first := cursor == 0
			cursor = max(cursor, revision)
			n.lastPoll.Store(time.Now().UnixMilli())
			n.mergePolled(ctx, records, first)
		}
		if !group.Sleep(ctx, pause) {
			n.store.Close()
			return nil
		}
	}
}

// newPollBackoff returns the delays after failed reads of the platform.
func newPollBackoff(first time.Duration) *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = first
	retry.MaxInterval = maxPollBackoff
	return retry
}

// mergePolled passes records that were read from the platform to the machine. The first read returns all records, which the
// other members have already, so they are not spread again.
func (n *Node) mergePolled(ctx context.Context, records []state.Record, first bool) {
	if !first {
		n.MergeRecord(ctx, records)
		return
	}
	n.enqueue(ctx, func(time.Time) {
		for _, r := range records {
			n.machine.LoadRecord(r)
		}
	})
}

// pollInterval returns the pause until the next read: random, and on average the number of present members divided by the
// fleet's reads per second, or the shortest interval of the settings if that is longer.
func (n *Node) pollInterval() time.Duration {
	present := 0
	for _, m := range n.View().Members {
		if m.Present() {
			present++
		}
	}
	interval := time.Second * time.Duration(present) / time.Duration(n.settings.Platform.PollsPerSecond)
	interval = max(interval, n.settings.Platform.MinPollPeriod)
	return interval/2 + rand.N(interval)
}

// join sends join messages to the seeds of the settings and of the platform's join list until this node knows other members,
// and then fetches a snapshot from one of them.
func (n *Node) join(ctx context.Context) error {
	started := time.Now()
	for {
		if n.tryJoin(ctx, started) {
			n.joined.Store(true)
			return nil
		}
		if !group.Sleep(ctx, joinInterval) {
			return nil
		}
	}
}

// tryJoin makes one attempt to join the fleet and reports whether the node has joined.
func (n *Node) tryJoin(ctx context.Context, started time.Time) bool {
	otherMembers := n.otherMembers()
	if len(otherMembers) == 0 {
		n.enqueue(ctx, func(time.Time) {
			seeds := slices.Concat(n.settings.Seeds, n.fleetConfig.joins)
			n.send(n.machine.Join(seeds), n.View().Keys.At(0))
		})
		if time.Since(started) < joinTimeout {
			return false
		}
		n.log.Info("no other member answered; joining as the first one once the platform has been read")
		return n.lastPoll.Load() != 0
	}
	if n.snapshot == nil {
		return true
	}
	from := otherMembers[rand.IntN(len(otherMembers))]
	members, records, err := n.snapshot(ctx, from.Peer)
	if err != nil {
		n.log.Warn("snapshot could not be fetched; trying again, or joining without it if the join timeout has passed", "from", from.ID, "err", errs.Text(err))
		// While the whole fleet starts, no member has joined yet and so none provides a snapshot. This node then gets
		// members and records by anti-entropy (gossip digests).
		return time.Since(started) > joinTimeout && n.lastPoll.Load() != 0
	}
	n.enqueue(ctx, func(now time.Time) {
		for _, m := range members {
			n.machine.LoadMember(now, m)
		}
		for _, r := range records {
			n.machine.LoadRecord(r)
		}
	})
	n.log.Info("snapshot loaded; this node has joined the fleet", "from", from.ID, "members", len(members), "records", len(records))
	return true
}

// otherMembers returns the present members except this node.
func (n *Node) otherMembers() []state.Member {
	v := n.View()
	var found []state.Member
	for _, m := range v.Members {
		if m.ID != v.Self.ID && m.Present() {
			found = append(found, m)
		}
	}
	return found
}

// maintainJoinList keeps the platform's join list up to date, so that an instance can join even if all seeds in its settings
// have been replaced. Only the present member whose ID sorts first does this.
func (n *Node) maintainJoinList(ctx context.Context) error {
	for group.Sleep(ctx, joinListInterval/2+rand.N(joinListInterval)) {
		v := n.View()
		if !n.Joined() || slices.ContainsFunc(n.otherMembers(), func(m state.Member) bool { return m.ID < v.Self.ID }) {
			continue
		}
		n.refreshJoinList(ctx, v)
	}
	return nil
}

// refreshJoinList writes the join list anew if it has too few addresses of present members. It keeps those and fills the list
// with addresses of other present members.
func (n *Node) refreshJoinList(ctx context.Context, v *View) {
	present := make(map[netip.AddrPort]bool)
	for _, m := range v.Members {
		present[m.Gossip] = present[m.Gossip] || m.Present()
	}
	joinList := make(chan []netip.AddrPort, 1)
	n.enqueue(ctx, func(time.Time) { joinList <- n.fleetConfig.joins })
	var addresses []netip.AddrPort
	select {
	case joins := <-joinList:
		for _, a := range joins {
			if present[a] {
				addresses = append(addresses, a)
			}
		}
	case <-ctx.Done():
		return
	}
	if len(addresses) >= min(minPresentJoinAddresses, len(present)) {
		return
	}
	for a, ok := range present {
		if ok && len(addresses) < maxJoinAddresses && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	r, err := n.store.Edit(ctx, state.JoinsKey, string(v.Self.ID), wire.EditOf, func(_ state.Record, edit state.Edit) ([]byte, error) {
		return wire.EncodeJoins(addresses, edit)
	})
	if err != nil {
		n.log.Debug("join list could not be written; another attempt follows if it is still out of date", "err", errs.Text(err))
		return
	}
	n.MergeRecord(ctx, []state.Record{r})
}
