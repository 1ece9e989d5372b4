// Package ownership implements the shard map: which target owns which shard of
// a service's keys, and at which epoch. It does no I/O; a page takes effect only
// when a conditional update of its object in the platform's store succeeds.
package ownership

// Epoch orders the owners of a shard. It never decreases.
type Epoch uint64

// ShardRef identifies one shard of a service.
type ShardRef struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
}

// Assignment is the owner of a shard: a target of a cell, at an epoch.
type Assignment struct {
	Cell   string `json:"cell"`
	Target string `json:"target"`
	Epoch  Epoch  `json:"epoch"`
}

// MoveKind says how a shard leaves its owner.
type MoveKind string

const (
	// MovePlanned lets the old owner finish its running requests and release the
	// shard.
	MovePlanned MoveKind = "planned"
	// MoveLost moves the shard away from an owner that does not answer, without
	// waiting for a release.
	MoveLost MoveKind = "lost"
)

// Move is a change of owner that has been agreed but not completed. Until it is
// completed, the new owner may serve only after a majority of the old cell's
// voters stopped every epoch up to Stop and the leases that they granted
// expired, or after the old owner released the shard.
type Move struct {
	From Assignment `json:"from"`
	Kind MoveKind   `json:"kind"`
	Stop Epoch      `json:"stop"`
	// Cells are further cells whose voters must stop these epochs: those of the
	// owners of unfinished moves that this move supersedes.
	Cells []string `json:"cells,omitempty"`
	// AlsoStop lists epochs of other shards that must be stopped too, because the new
	// owner receives keys of these shards when a key is pinned or unpinned.
	AlsoStop []ShardStop `json:"also,omitempty"`
	// Fenced are cells whose voters need not be asked and whose leases need not
	// be waited for: they lost the right to serve the service with their store
	// leases, and they acquire no new one before they have stopped every epoch
	// that the page no longer assigns to them.
	Fenced []string `json:"fenced,omitempty"`
}

// ShardStop requires the voters of Cells to stop all epochs of a shard up to
// Epoch.
type ShardStop struct {
	Shard uint32   `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	Cells []string `json:"cells"`
}

// Shard is the ownership of one shard. The embedded Assignment is the owner.
// Next is the assignment agreed in advance that applies if the owner has to be
// replaced while the store is down.
type Shard struct {
	Assignment
	Next     *Assignment `json:"next,omitempty"`
	Move     *Move       `json:"move,omitempty"`
	SinceMS  int64       `json:"since_ms"` // Unix time of the last change of owner
	Reason   string      `json:"reason"`   // why the last change was made
	PinnedTo string      `json:"pinned_key,omitempty"`
}

// Stamp identifies one conditional update, so that a writer that lost the answer
// can recognise its update when it reads the object back.
type Stamp struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Write       uint64 `json:"write"`
}

// Page is the store object with a service's shard map. Shards divide the hash
// range into equal parts; Pins holds the shards of pinned keys. A pin without a
// key is free. Free pins are kept in the list so that their epochs keep rising
// when they are reused.
type Page struct {
	Service string  `json:"service"`
	Shards  []Shard `json:"shards"`
	Pins    []Shard `json:"pins,omitempty"` // shard numbers continue after Shards
	Stamp   Stamp   `json:"stamp"`
}
