package relay

import "time"

const (
	// minReportInterval is the time between two load reports of an agent to a balancer in a small fleet.
	minReportInterval = 200 * time.Millisecond
	// maxReportsPerSecond limits the load reports of one agent to all balancers.
	maxReportsPerSecond = 60
)

// ReportInterval returns the time between two load reports of an agent to each balancer of a fleet: it grows with the
// number of balancers so that an agent's reports stay within maxReportsPerSecond.
func ReportInterval(balancers int) time.Duration {
	return max(minReportInterval, time.Duration(balancers)*time.Second/maxReportsPerSecond)
}
