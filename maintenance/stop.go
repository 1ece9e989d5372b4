// Package maintenance implements planned stops and the telephone calls that must
// precede them. Transitions are pure functions of (stop, event, now). A transition
// takes effect only when the stop's object in the platform's store is replaced by a
// conditional update. The package does no I/O.
//
// An operator announces a stop. Every client that the stop slows down is called,
// and each call is recorded. At the announced start the placer begins the stop, but
// only if every such client was called and its parameters allow the time of day.
package maintenance

import "time"

// State is the state of a stop.
type State string

const (
	// Announced means that no client has been called.
	Announced State = "announced"
	// Calling means that some of the affected clients have been called.
	Calling State = "calling"
	// Cleared means that every affected client has been called, or that no
	// client is affected; the stop begins at its announced start.
	Cleared State = "cleared"
	// Draining means that the stop has begun; once it is confirmed, its targets
	// receive no new work.
	Draining State = "draining"
	// Stopped means that no request is running on the stop's targets.
	Stopped State = "stopped"
	// Cancelled means that the stop will not take place, or was aborted.
	Cancelled State = "cancelled"
)

// Bounds of a stop.
const (
	MaxTimeToStart = 90 * 24 * time.Hour // longest time from the announcement to the start
	MaxStartDelay  = time.Hour           // longest delay of Begin after the announced start
	MaxHistory     = 256                 // entries
	MaxTargets     = 10_000
)

// Target is one target of the host list.
type Target struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
}

// Scope selects what is stopped: a list of targets, a service or a data centre.
// Exactly one field is set.
type Scope struct {
	Targets    []string `json:"targets,omitempty"`
	Service    string   `json:"service,omitempty"`
	DataCentre string   `json:"data_centre,omitempty"`
}

// Call is an affected client and the record of its call.
type Call struct {
	Client     string `json:"client"`
	Phone      string `json:"phone"`
	CalledAtMS int64  `json:"called_at_ms,omitempty"` // Unix time; 0 if not called yet
	CalledBy   string `json:"called_by,omitempty"`
	Note       string `json:"note,omitempty"`
}

// Called reports whether the call has been recorded.
func (c Call) Called() bool { return c.CalledAtMS != 0 }

// Entry is one accepted transition.
type Entry struct {
	ID    string `json:"id"` // request ID; identifies an update whose answer was lost
	Event string `json:"event"`
	By    string `json:"by"`
	State State  `json:"state"` // state after the transition
	AtMS  int64  `json:"at_ms"` // Unix time
	What  string `json:"what,omitempty"`
}

// Stop is the store object of one planned stop.
type Stop struct {
	ID          string `json:"id"`
	Scope       Scope  `json:"scope"`
	State       State  `json:"state"`
	StartMS     int64  `json:"start_ms"` // announced start, Unix time
	Reason      string `json:"reason,omitempty"`
	AnnouncedBy string `json:"announced_by"`
	AnnouncedMS int64  `json:"announced_ms"`

	// Services are all services whose targets the stop has covered since its
	// announcement. Entries are only added, as the host list lags behind.
	Services []string `json:"services"`
	// Calls has one entry for each client that uses one of Services.
	Calls []Call `json:"calls"`
	// ConfigVersion is the version of the configuration from which Calls was
	// computed.
	ConfigVersion uint64 `json:"config_version"`

	BegunMS   int64    `json:"begun_ms,omitempty"`
	Confirmed bool     `json:"confirmed,omitempty"` // see Confirm
	Targets   []Target `json:"targets,omitempty"`   // set when the stop begins
	Drained   []string `json:"drained,omitempty"`   // names of targets on which no request is running
	Finished  bool     `json:"finished,omitempty"`  // the targets may receive work again
	History   []Entry  `json:"history"`             // the newest MaxHistory transitions, oldest first
}

// Start returns the announced start.
func (s Stop) Start() time.Time { return time.UnixMilli(s.StartMS) }

// Active reports whether the stop is neither cancelled nor finished.
func (s Stop) Active() bool {
	return s.State != Cancelled && !s.Finished
}

// UncalledClients returns the entries of affected clients that have not been
// called.
func (s Stop) UncalledClients() []Call {
	var calls []Call
	for _, c := range s.Calls {
		if !c.Called() {
			calls = append(calls, c)
		}
	}
	return calls
}

// Find returns the history entry of a request. It shows whether an update whose
// answer was lost has been applied.
func (s Stop) Find(id string) (Entry, bool) {
	for _, e := range s.History {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}
