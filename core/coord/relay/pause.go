package relay

import "time"

const (
	// maxTickGap is the time between two ticks of a node above which its process counts as paused in between: a few tick periods.
	maxTickGap = 250 * time.Millisecond
	// resumptionTime is how long after a pause packets that arrived during it may still be waiting to be handled.
	resumptionTime = 500 * time.Millisecond
)

// PauseDetector tells whether a packet that a node handles may have waited while its process was paused. An opening packet that waited
// proves little: its client has given up, or opened the flow elsewhere with a copy.
type PauseDetector struct {
	lastTick time.Time
	// reported is true from when a pause was reported until the next event.
	reported bool
	// resumedAt is when the end of the last pause was detected; zero if there was none.
	resumedAt time.Time
}

// NewPauseDetector returns a detector for a process that starts now.
func NewPauseDetector(now time.Time) PauseDetector { return PauseDetector{lastTick: now} }

// Paused records a pause that something else has detected.
func (d *PauseDetector) Paused() { d.reported = true }

// Tick records that the process runs.
func (d *PauseDetector) Tick(now time.Time) {
	d.detect(now)
	d.lastTick = now
}

// MayBeLate reports whether a packet that is handled now may have waited during a pause.
func (d *PauseDetector) MayBeLate(now time.Time) bool {
	d.detect(now)
	return !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < resumptionTime
}

// detect records the end of a pause that was reported, or that the missing ticks show.
func (d *PauseDetector) detect(now time.Time) {
	if d.reported || now.Sub(d.lastTick) > maxTickGap {
		d.resumedAt = now
		d.reported = false
	}
}
