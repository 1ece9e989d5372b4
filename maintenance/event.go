package maintenance

// Event is a requested transition of a stop.
type Event interface {
	meta() Meta
	name() string
}

// Meta holds the fields common to all events. ID is unique to the request that
// sent the event, and By names the operator or the host.
type Meta struct {
	ID string
	By string
}

func (m Meta) meta() Meta { return m }

// Called records that a client was telephoned. It is sent by an operator.
type Called struct {
	Meta
	Client string
	AtMS   int64 // Unix time of the call
	Note   string
}

// Refresh updates a stop from a newer configuration or host list.
type Refresh struct {
	Meta
	Snapshot Snapshot
}

// Begin starts a stop whose announced start has been reached. It is sent by a
// placer. If the snapshot contains an affected client that was not called, the
// stop returns to Calling instead of beginning.
type Begin struct {
	Meta
	Snapshot Snapshot
}

// Confirm puts a begun stop into effect. After writing Begin, the placer reads the
// configuration again and sends Confirm with that snapshot. If a client was added
// in between, the stop returns to Calling and nothing is drained.
type Confirm struct {
	Meta
	Snapshot Snapshot
}

// Drained reports targets of the stop on which no request is running. It is sent by
// a placer.
type Drained struct {
	Meta
	Targets []string
}

// Cancel ends a stop that has not reached Stopped. It is sent by an operator.
type Cancel struct {
	Meta
	Reason string
}

// Finish returns the targets of a stop in state Stopped to service. It is sent by
// an operator.
type Finish struct {
	Meta
}

func (Called) name() string  { return "called" }
func (Refresh) name() string { return "refresh" }
func (Begin) name() string   { return "begin" }
func (Confirm) name() string { return "confirm" }
func (Drained) name() string { return "drained" }
func (Cancel) name() string  { return "cancel" }
func (Finish) name() string  { return "finish" }
