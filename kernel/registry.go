// Package kernel provides the building blocks of the daemons: the registry of
// plug-ins, duties, bounded rings and numbered log events.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// PluginID is a dotted name such as "balance.least_outstanding". The part
// before the first dot is the extension point.
type PluginID string

// Namespace returns the extension point that the plug-in belongs to.
func (id PluginID) Namespace() string {
	space, _, _ := strings.Cut(string(id), ".")
	return space
}

// Plugin describes one registered implementation of an extension point. New
// returns a new instance, which implements the interface that its extension
// point documents.
type Plugin struct {
	ID  PluginID
	New func() any
}

var plugins struct {
	sync.RWMutex
	byID map[PluginID]Plugin
}

// Register adds a plug-in. Plug-ins call it from init. It panics if the ID is
// already registered, as that is a programming error.
func Register(p Plugin) {
	plugins.Lock()
	defer plugins.Unlock()
	if plugins.byID == nil {
		plugins.byID = make(map[PluginID]Plugin)
	}
	if _, taken := plugins.byID[p.ID]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q registered twice", p.ID))
	}
	plugins.byID[p.ID] = p
}

// Lookup returns the plug-in with the given ID.
func Lookup(id PluginID) (Plugin, bool) {
	plugins.RLock()
	defer plugins.RUnlock()
	p, ok := plugins.byID[id]
	return p, ok
}

// Plugins returns the IDs of one extension point in alphabetical order.
func Plugins(namespace string) []PluginID {
	plugins.RLock()
	defer plugins.RUnlock()
	var ids []PluginID
	for id := range plugins.byID {
		if id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
