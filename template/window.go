package template

import (
	"time"
	_ "time/tzdata" // embedded, so that every host uses the same time zones
)

const minutesPerDay = 24 * 60

// parseTimeOfDay parses HH:MM and returns the minutes since midnight.
func parseTimeOfDay(s string) (int, bool) {
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != len("15:04") {
		return 0, false
	}
	return t.Hour()*60 + t.Minute(), true
}

// MayStop reports whether a planned stop that affects the client may begin at now.
// A window whose end is earlier than its start extends past midnight; the end
// itself is excluded. A client without a window allows any time, and one whose
// window cannot be parsed allows none.
func (c Client) MayStop(now time.Time) bool {
	if c.StopFrom == "" && c.StopUntil == "" {
		return true
	}
	from, fromOK := parseTimeOfDay(c.StopFrom)
	until, untilOK := parseTimeOfDay(c.StopUntil)
	zone, err := time.LoadLocation(c.Zone)
	if !fromOK || !untilOK || err != nil {
		return false
	}
	local := now.In(zone)
	minute := local.Hour()*60 + local.Minute()
	length := (until - from + minutesPerDay) % minutesPerDay
	return (minute-from+minutesPerDay)%minutesPerDay < length
}
