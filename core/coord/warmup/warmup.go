// Package warmup limits how many new flows a target gets in each second of its warm-up, the time after its start in which it is slow.
// An agent decides this, since it alone sees the new flows of all balancers.
//
// A limiter is deterministic: its methods receive events and the current time.
package warmup

import (
	"math"
	"slices"
	"time"

	"monsoonstep/core/state"
)

const (
	// window is the length of time to which the limit applies.
	window = time.Second
	// deliveryMargin is added to the window, since flows reach the target a varying time after they were accepted: an agent that has
	// used up its share of the processor is held up for most of a scheduling period of 100 ms at most.
	deliveryMargin = 50 * time.Millisecond
	// maxLimit bounds the limit, and with it the memory of a limiter.
	maxLimit = 4096
	// roundingError is the largest error of a limit that is computed from decimal fractions.
	roundingError = 1e-9
)

// NoLimit is the number of new flows that may be accepted if there is no limit.
const NoLimit = math.MaxInt32

// Settings determine the limit from the rate in the operator's configuration. The zero value sets no limit.
type Settings struct {
	// Overage is the factor by which the configured rate may be exceeded; zero if no limit is applied.
	Overage float64
	// Slack is the number of new flows that a target may get in a second in addition.
	Slack float64
}

// limit returns how many new flows a target may get in any second of its warm-up at a configured rate.
func (s Settings) limit(rate float64) int {
	return int(min(maxLimit, math.Floor(rate*s.Overage+s.Slack+roundingError)))
}

// Limiter counts the new flows of one target, and limits them while the target is in its warm-up. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	// rate is the configured rate of new flows a second; zero if there is no limit.
	rate float64
	// version is the newest configuration from which a rate was received.
	version state.ConfigVersion
	// warmUntil is the end of the target's warm-up according to its last heartbeat.
	warmUntil time.Time
	// assumedWarm is true while the target counts as in its warm-up until its next heartbeat.
	assumedWarm bool
	// fullUntil is until when the window counts as full, because flows that another process accepted may be in it.
	fullUntil time.Time
	// accepted holds when the flows in the window were accepted, as the time since origin, in ascending order; at most the last maxLimit.
	accepted []time.Duration
	// origin is the time that the entries of accepted count from.
	origin time.Time
}

// New returns a limiter for a target that is in no warm-up.
func New(now time.Time, settings Settings) *Limiter {
	return &Limiter{settings: settings, origin: now}
}

// SetRate sets the rate that a version of the configuration allows; zero if it sets no limit. The rate of an older version than the
// newest one received is ignored.
func (l *Limiter) SetRate(version state.ConfigVersion, rate float64) {
	if version >= l.version {
		l.version = version
		l.rate = rate
	}
}

// Heartbeat records how much longer the target's warm-up will last according to a heartbeat.
func (l *Limiter) Heartbeat(now time.Time, left time.Duration) {
	l.warmUntil = now.Add(left)
	l.assumedWarm = false
}

// AssumeWarmup makes the target count as in its warm-up until its next heartbeat.
func (l *Limiter) AssumeWarmup() { l.assumedWarm = true }

// TargetStarted records that the target started at a time: earlier flows went to another one.
func (l *Limiter) TargetStarted(at time.Time) { l.accepted = l.accepted[l.acceptedUntil(at):] }

// AssumeFull makes the window count as full with flows that were accepted up to a time, by an earlier process of the agent.
func (l *Limiter) AssumeFull(acceptedUntil time.Time) {
	l.fullUntil = acceptedUntil.Add(window + deliveryMargin)
}

// Accept records a new flow. Flows outside a warm-up count too, since one may begin within a second.
func (l *Limiter) Accept(now time.Time) {
	if l.settings.Overage <= 0 {
		return
	}
	l.accepted = l.accepted[l.acceptedUntil(now.Add(-window-deliveryMargin)):]
	if len(l.accepted) >= maxLimit {
		l.accepted = l.accepted[1:]
	}
	l.accepted = append(l.accepted, now.Sub(l.origin))
}

// Limited reports whether the target's new flows are limited now.
func (l *Limiter) Limited(now time.Time) bool {
	return l.settings.Overage > 0 && l.rate > 0 && l.Left(now) > 0
}

// Allowed returns how many new flows may be accepted now; NoLimit if the target is in no warm-up or no limit is set.
func (l *Limiter) Allowed(now time.Time) int {
	if !l.Limited(now) {
		return NoLimit
	}
	if now.Before(l.fullUntil) {
		return 0
	}
	return max(0, l.settings.limit(l.rate)-(len(l.accepted)-l.acceptedUntil(now.Add(-window-deliveryMargin))))
}

// Next returns the earliest time at which a new flow may be accepted, provided that none is until then.
func (l *Limiter) Next(now time.Time) time.Time {
	if l.Allowed(now) > 0 {
		return now
	}
	end := l.warmUntil
	if l.assumedWarm {
		end = now.Add(window)
	}
	next := end
	if limit := l.settings.limit(l.rate); limit > 0 {
		next = now
		if surplus := len(l.accepted) - limit; surplus >= 0 {
			next = l.origin.Add(l.accepted[surplus] + window + deliveryMargin)
		}
	}
	if next.Before(l.fullUntil) {
		next = l.fullUntil
	}
	if next.After(end) {
		return end
	}
	return next
}

// Left returns how much longer the target's warm-up will last, as far as is known; zero if it is over.
func (l *Limiter) Left(now time.Time) time.Duration {
	left := max(0, l.warmUntil.Sub(now))
	if l.assumedWarm {
		left = max(left, window)
	}
	return left
}

// acceptedUntil returns how many of the recorded flows were accepted at a time or before it.
func (l *Limiter) acceptedUntil(at time.Time) int {
	count, _ := slices.BinarySearch(l.accepted, at.Sub(l.origin)+1)
	return count
}
