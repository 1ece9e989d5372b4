package kernel

import (
	"fmt"
	"sort"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// EventID is the number of a log event, formatted as MPnnnn. Numbers are never
// reused; docs/EVENTS.md is the catalogue.
type EventID int

// String formats the number as in logs and in the catalogue.
func (id EventID) String() string { return fmt.Sprintf("MP%04d", int(id)) }

// EventDef describes one kind of event. Packages register their definitions
// with RegisterEvent from package-level variables.
type EventDef struct {
	ID      EventID
	Level   hclog.Level
	Summary string // one line, no variables

	name string // ID formatted by String
}

var events struct {
	sync.Mutex
	byID map[EventID]EventDef
}

// RegisterEvent adds a definition to the catalogue and returns its number. It
// panics if the number is already registered, as that is a programming error.
func RegisterEvent(id EventID, level hclog.Level, summary string) EventID {
	events.Lock()
	defer events.Unlock()
	if events.byID == nil {
		events.byID = make(map[EventID]EventDef)
	}
	if _, taken := events.byID[id]; taken {
		panic(fmt.Sprintf("kernel: event %v registered twice", id))
	}
	events.byID[id] = EventDef{ID: id, Level: level, Summary: summary, name: id.String()}
	return id
}

// Events returns every registered definition in ascending order.
func Events() []EventDef {
	events.Lock()
	defer events.Unlock()
	defs := make([]EventDef, 0, len(events.byID))
	for _, def := range events.byID {
		defs = append(defs, def)
	}
	sort.Slice(defs, func(i, j int) bool { return defs[i].ID < defs[j].ID })
	return defs
}

func lookupEvent(id EventID) EventDef {
	events.Lock()
	defer events.Unlock()
	return events.byID[id]
}
