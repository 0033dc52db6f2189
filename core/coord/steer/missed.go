package steer

import "time"

const (
	// isolationTimeout is how long no message of any other node must have arrived for a balancer to count as isolated. Every node sends
	// several gossip messages a second.
	isolationTimeout = time.Second
	// minMissedMessagesWindow is the least time for which a balancer that missed messages from other nodes doesn't treat silence as
	// evidence. It is longer than any report timeout that leads to a reset.
	minMissedMessagesWindow = 2 * time.Second
)

// MessagesDropped records that this node dropped messages from other nodes: load reports of agents that seem unresponsive may have been
// among them.
func (b *Balancer) MessagesDropped(now time.Time) { b.messagesDroppedAt = now }

// NodeHeard records that a message of another node, of any kind, was received.
func (b *Balancer) NodeHeard(now time.Time) {
	if b.isolated(now) {
		b.messagesDroppedAt = now
	}
	b.nodeHeardAt = now
}

// isolated reports whether all other nodes have become silent at once, so that the fault is likely to be at this balancer or its link.
func (b *Balancer) isolated(now time.Time) bool {
	return !b.nodeHeardAt.IsZero() && now.Sub(b.nodeHeardAt) > isolationTimeout
}

// missedMessages reports whether this balancer is isolated, or has missed messages so recently that the silence of an agent proves
// nothing: the membership may then call agents dead that run.
func (b *Balancer) missedMessages(now time.Time) bool {
	window := max(minMissedMessagesWindow, unresponsiveIntervals*b.reportInterval())
	return b.isolated(now) || !b.messagesDroppedAt.IsZero() && now.Sub(b.messagesDroppedAt) < window
}

// presumedDead reports whether the flows of a target can be reset; see target.presumedDead.
func (b *Balancer) presumedDead(now time.Time, t *target) bool {
	return t.presumedDead(now) && !b.missedMessages(now)
}
