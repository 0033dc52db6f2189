// Package fleet starts monsoonstep's processes and the stand-ins on loopback, for the demo and the
// integration tests: it writes their settings, starts, freezes and stops them by process id, and
// reads what they report.
package fleet

// CallerReport is what a caller process saw.
type CallerReport struct {
	// Flows is how many callers had a connection.
	Flows int `json:"flows"`
	// FeedsOpen is how many feeds were open at the end; FeedsBroken how many ended, stalled or skipped.
	FeedsOpen   int      `json:"feedsOpen"`
	FeedsBroken int      `json:"feedsBroken"`
	FeedErrors  []string `json:"breaks"`
	// FeedStallMillis is the time from the last good event of each broken feed to its error.
	FeedStallMillis []int64 `json:"resetMillis"`
	// Bookings is how many bookings were made, each with all its tries.
	Bookings int `json:"asked"`
	Answered int `json:"answered"`
	Wrong    int `json:"wrong"`
	Attempts int `json:"tries"`
	// NotRun and Unknown hold the identities of bookings whose last outcome that was.
	NotRun  []string `json:"notRun"`
	Unknown []string `json:"unknown"`
	// ReplacedKeys holds the keys that were refused as not run and replaced by a new one.
	ReplacedKeys []string `json:"refused"`
	// AttemptErrors holds the errors of tries that had no answer at all.
	AttemptErrors []string `json:"failed"`
	// AnsweredKeys holds the identities of the bookings that were answered whole.
	AnsweredKeys []string `json:"done"`
	// SlowestMillis is the longest time of a booking with its tries.
	SlowestMillis int64 `json:"slowestMillis"`
	P50Millis     int64 `json:"p50Millis"`
	P99Millis     int64 `json:"p99Millis"`
}
