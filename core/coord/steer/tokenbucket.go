package steer

import "time"

const (
	// probeBytesPerSecond limits the probes of one balancer, in bytes of datagrams: they share its link with the packets of flows whose
	// location is known. Links have 10 Mbit/s and more, so that a fifth of the slowest is left to probes. More of them would delay
	// each other's replies until their searches time out and are repeated.
	probeBytesPerSecond = 256 << 10
	// probeBurstBytes is how many bytes of probes may be sent at once.
	probeBurstBytes = 64 << 10
	// probeOverheadBytes is the size of a probe's datagram without the packet that it carries.
	probeOverheadBytes = 60
)

// tokenBucket limits the bytes of probes to probeBytesPerSecond, with bursts of up to probeBurstBytes.
type tokenBucket struct {
	// tokens is how many bytes may be sent now.
	tokens float64
	// last is when tokens were last added.
	last time.Time
}

// take removes the tokens of up to wanted probes with a packet of a size, and returns how many there were tokens for.
func (b *tokenBucket) take(now time.Time, wanted, packetBytes int) int {
	b.tokens = min(probeBurstBytes, b.tokens+now.Sub(b.last).Seconds()*probeBytesPerSecond)
	b.last = now
	cost := packetBytes + probeOverheadBytes
	n := min(wanted, int(b.tokens)/cost)
	b.tokens -= float64(n * cost)
	return n
}
