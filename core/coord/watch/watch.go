// Package watch chooses the balancers that watch the platform's store for changes. The others learn of changes from them, so that the
// calls to the store don't grow with the fleet.
package watch

import (
	"net/netip"

	"monsoonstep/core/coord/rank"
	"monsoonstep/core/coord/relay"
)

const (
	// watcherCount is how many balancers watch the store.
	watcherCount = 4
	// replacementCount is how many further balancers may replace watchers that can't reach the store. It is limited so that an outage of
	// the store doesn't make the whole fleet call it in turn.
	replacementCount = 8
	// rankKey is the key by which the balancers are ranked.
	rankKey = 0x77617463686572
)

// Balancer is a balancer that may watch the store.
type Balancer struct {
	Address netip.AddrPort
	// StoreUnreachable is true if the balancer has announced that its calls to the store fail.
	StoreUnreachable bool
}

// Watchers returns the addresses of the balancers that watch the store: the first candidates, in the order of their rank, that can reach
// it. If no candidate can, it returns the first ones of all, which keep trying. Nodes with the same list choose the same ones.
func Watchers(balancers []Balancer) []netip.AddrPort {
	var reachable, all []netip.AddrPort
	for _, b := range candidates(balancers) {
		all = append(all, b.Address)
		if !b.StoreUnreachable {
			reachable = append(reachable, b.Address)
		}
	}
	if len(reachable) == 0 {
		reachable = all
	}
	return reachable[:min(watcherCount, len(reachable))]
}

// Candidates returns the addresses of the balancers that may become watchers, in the order of their rank.
func Candidates(balancers []Balancer) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, b := range candidates(balancers) {
		addresses = append(addresses, b.Address)
	}
	return addresses
}

// candidates returns the balancers that may become watchers, in the order of their rank.
func candidates(balancers []Balancer) []Balancer {
	hashes := make([]uint64, 0, len(balancers))
	for _, b := range balancers {
		hashes = append(hashes, relay.NodeHash(b.Address))
	}
	var found []Balancer
	for _, i := range rank.Top(rankKey, hashes, watcherCount+replacementCount) {
		found = append(found, balancers[i])
	}
	return found
}
