package coldstart

import "time"

const (
	// AssumedHosts is the number of hosts that is assumed as long as the count is not
	// known for certain.
	AssumedHosts = 100
	// countSettleTime is how long counts must have been known before one below
	// AssumedHosts is believed: a coordinator that has just begun knows few hosts.
	countSettleTime = 10 * time.Second
	// countPeriod is half of the time for which the largest count holds: hosts that are
	// cut off from the coordinator still send.
	countPeriod = 10 * time.Minute
)

// HostCount is the number of hosts that may send to cold targets. The zero value knows
// no count.
type HostCount struct {
	known    bool
	since    time.Duration // time of the first count
	started  time.Duration // start of the current period
	current  int           // largest count of the current period
	previous int           // largest count of the previous period
}

// Record records a count of the coordinator.
func (h *HostCount) Record(now time.Duration, count int) {
	if count <= 0 {
		return
	}
	if !h.known {
		h.known, h.since, h.started = true, now, now
	}
	if now-h.started >= countPeriod {
		h.previous, h.current, h.started = h.current, 0, now
	}
	h.current = max(h.current, count)
}

// Count returns the largest count recorded recently, and no less than AssumedHosts while
// counts are new or unknown.
func (h *HostCount) Count(now time.Duration) int {
	largest := max(h.current, h.previous)
	if !h.known || now < h.since+countSettleTime {
		largest = max(largest, AssumedHosts)
	}
	return largest
}
