// Package platform provides the client of the platform's object API and host list.
package platform

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Errors that callers distinguish.
var (
	// ErrNotFound is returned if the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict is returned if the object's version is not the expected one.
	ErrConflict = errors.New("object changed by another writer")
	// ErrCompacted is returned if a watch starts at a revision that is too old; the caller
	// must list again.
	ErrCompacted = errors.New("revision too old")
	// ErrUncertain is returned if no answer came, so that the change may or may not have
	// taken effect; the caller must read the object back.
	ErrUncertain = errors.New("no answer from the store")
	// ErrUnavailable is returned if the call had no effect: the store refused it, could
	// not be reached, or gave no valid answer to a read.
	ErrUnavailable = errors.New("store unavailable")
)

// Object is a stored value. Version is the revision of its last change.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Batch is a consistent set of objects at a revision of the store.
type Batch struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// Faults are the objects that could not be read. Those whose name is known are also
	// among Objects, without a value.
	Faults []Fault `json:"-"`
}

// Fault is an object of the store that cannot be read.
type Fault struct {
	Name   string // empty if it cannot be read either
	Reason string
}

// HostState is the state of a target's host in the host list.
type HostState string

const (
	// HostLive is a host that takes work.
	HostLive HostState = "live"
	// HostLeaving is a host that will end soon.
	HostLeaving HostState = "leaving"
)

// TargetHost is one entry of the host list: a target and where it listens.
type TargetHost struct {
	Name       string    `json:"name"`
	Service    string    `json:"service"`
	DataCentre string    `json:"data_centre"`
	Addr       string    `json:"addr"` // IP and port
	State      HostState `json:"state"`
}

// Store is the platform's service. Every method makes one call to the store.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object's current version is expected (0: it must not exist)
	// and returns the new version. Otherwise it returns ErrConflict, or ErrUncertain if no
	// answer came.
	Put(ctx context.Context, name string, expected uint64, value json.RawMessage) (uint64, error)
	// Delete removes the object if its current version is expected.
	Delete(ctx context.Context, name string, expected uint64) error
	// List returns all objects whose names start with prefix. They may be stale: their
	// state is that of the batch's revision.
	List(ctx context.Context, prefix string) (Batch, error)
	// Watch waits for changes after revision. It returns an empty batch if there were none
	// in time.
	Watch(ctx context.Context, prefix string, revision uint64) (Batch, error)
	// Since returns the changes after revision like Watch, but without waiting.
	Since(ctx context.Context, prefix string, revision uint64) (Batch, error)
	// Hosts returns the host list, which may lag.
	Hosts(ctx context.Context) ([]TargetHost, error)
}

// Names of the objects that mangopost stores.
const (
	ConfigObject = "mangopost/config"  // template.Config
	CellPrefix   = "mangopost/cells/"  // membership.Record, by cell
	OwnersPrefix = "mangopost/owners/" // ownership.Page, by service
	StopsPrefix  = "mangopost/stops/"  // maintenance.Stop, by ID
	PoisonPrefix = "mangopost/poison/" // quarantined requests, by fingerprint
	LeasePrefix  = "mangopost/leases/" // store leases, by cell
	RootPrefix   = "mangopost/"        // everything
)
