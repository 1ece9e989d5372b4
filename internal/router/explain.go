package router

import (
	"strings"
	"sync"
)

const (
	// maxStoredStages is the capacity of the ring of request stages.
	maxStoredStages = 8192
	// maxStoredNames bounds the number of distinct stage, target, outcome and reason
	// names.
	maxStoredNames = 16384
)

// traceLine is one stage of a request on this host, as mangopostctl explain
// shows it. Times are in microseconds.
type traceLine struct {
	Stage        string `json:"stage"`
	Host         string `json:"host"`
	Target       string `json:"target,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason,omitempty"`
	OwnerEpoch   uint64 `json:"owner_epoch,omitempty"`
	GatewayEpoch uint64 `json:"gateway_epoch,omitempty"`
	WaitedUS     int64  `json:"waited_us"`
	TookUS       int64  `json:"took_us"`
}

// explainer stores the stages of the most recent requests in a ring.
type explainer struct {
	host  string
	mu    sync.Mutex
	next  int
	names nameTable
	lines [maxStoredStages]storedLine
}

// storedLine is a traceLine without pointers, so that the garbage collector need not
// scan the ring and no line keeps a request's strings alive.
type storedLine struct {
	id      [maxRequestIDBytes]byte
	idBytes uint8
	stage   nameIndex
	target  nameIndex
	outcome nameIndex
	reason  nameIndex

	ownerEpoch, gatewayEpoch uint64
	waitedUS, tookUS         int64
}

// add stores a stage of a request, overwriting the oldest one. It ignores an empty
// ID and one that is longer than an ingress allows.
func (e *explainer) add(id string, line traceLine) {
	if id == "" || len(id) > maxRequestIDBytes {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	slot := &e.lines[e.next]
	e.next = (e.next + 1) % maxStoredStages
	*slot = storedLine{
		idBytes:      uint8(len(id)),
		stage:        e.names.index(line.Stage),
		target:       e.names.index(line.Target),
		outcome:      e.names.index(line.Outcome),
		reason:       e.names.index(line.Reason),
		ownerEpoch:   line.OwnerEpoch,
		gatewayEpoch: line.GatewayEpoch,
		waitedUS:     line.WaitedUS,
		tookUS:       line.TookUS,
	}
	copy(slot.id[:], id)
}

// find returns the stored stages of a request, oldest first.
func (e *explainer) find(id string) []traceLine {
	e.mu.Lock()
	defer e.mu.Unlock()
	lines := []traceLine{}
	for i := range maxStoredStages {
		slot := &e.lines[(e.next+i)%maxStoredStages]
		if id != "" && string(slot.id[:slot.idBytes]) == id {
			lines = append(lines, e.line(slot))
		}
	}
	return lines
}

func (e *explainer) line(l *storedLine) traceLine {
	return traceLine{
		Stage:        e.names.name(l.stage),
		Host:         e.host,
		Target:       e.names.name(l.target),
		Outcome:      e.names.name(l.outcome),
		Reason:       e.names.name(l.reason),
		OwnerEpoch:   l.ownerEpoch,
		GatewayEpoch: l.gatewayEpoch,
		WaitedUS:     l.waitedUS,
		TookUS:       l.tookUS,
	}
}

// nameIndex is the index of a name in a nameTable, from 1; 0 is the empty name.
type nameIndex uint16

// nameTable interns the names that recur in lines. Targets come from the membership
// records and reasons are constants, so there are few. A name beyond maxStoredNames
// is stored as the empty name.
type nameTable struct {
	byName map[string]nameIndex
	names  []string
}

func (t *nameTable) index(name string) nameIndex {
	if name == "" {
		return 0
	}
	if i, ok := t.byName[name]; ok {
		return i
	}
	if len(t.names) >= maxStoredNames {
		return 0
	}
	if t.byName == nil {
		t.byName = make(map[string]nameIndex)
	}
	name = strings.Clone(name)
	t.names = append(t.names, name)
	t.byName[name] = nameIndex(len(t.names))
	return nameIndex(len(t.names))
}

func (t *nameTable) name(i nameIndex) string {
	if i == 0 {
		return ""
	}
	return t.names[i-1]
}
