package placer

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
)

// fault is the fault that is injected into one Put.
type fault int

const (
	accepted              fault = iota // the Put is accepted and answered
	answerLost                         // the Put is accepted, but its answer is lost
	requestLost                        // the Put does not arrive and gets no answer
	otherWriter                        // another writer changes the object first
	storeGoesDown                      // the store refuses the Put and every later call
	answerLostThenDown                 // the Put is accepted, its answer is lost, and every later call is refused
	otherWriterAnswerLost              // another writer changes the object first, and the answer is lost
)

// fakeStore is a store of objects by name. faults[n] is injected into the n-th Put.
type fakeStore struct {
	objects    map[string]platform.Object
	hosts      []platform.TargetHost
	faults     []fault
	puts       int
	down       bool
	otherWrite func(name string) // the update of the other writer

	hostReads int // number of reads of the host list
}

func (s *fakeStore) Get(_ context.Context, name string) (platform.Object, error) {
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, ok := s.objects[name]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, name string, expected uint64, value json.RawMessage) (uint64, error) {
	injected := accepted
	if s.puts < len(s.faults) {
		injected = s.faults[s.puts]
	}
	s.puts++
	switch injected {
	case requestLost:
		return 0, platform.ErrUncertain
	case otherWriter, otherWriterAnswerLost:
		s.otherWrite(name)
	case storeGoesDown, answerLostThenDown:
		s.down = true
	}
	if injected == storeGoesDown {
		return 0, platform.ErrUnavailable
	}
	if injected == otherWriterAnswerLost {
		return 0, platform.ErrUncertain
	}
	version := s.objects[name].Version
	if version != expected {
		return 0, platform.ErrConflict
	}
	s.objects[name] = platform.Object{Name: name, Version: version + 1, Value: value}
	if injected != accepted {
		return 0, platform.ErrUncertain
	}
	return version + 1, nil
}

func (s *fakeStore) Delete(context.Context, string, uint64) error { return platform.ErrUnavailable }

func (s *fakeStore) List(_ context.Context, prefix string) (platform.Batch, error) {
	var batch platform.Batch
	for name, o := range s.objects {
		batch.Revision = max(batch.Revision, o.Version)
		if strings.HasPrefix(name, prefix) {
			batch.Objects = append(batch.Objects, o)
		}
	}
	return batch, nil
}

func (s *fakeStore) Watch(context.Context, string, uint64) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrUnavailable
}

func (s *fakeStore) Since(context.Context, string, uint64) (platform.Batch, error) {
	return platform.Batch{}, platform.ErrUnavailable
}

func (s *fakeStore) Hosts(context.Context) ([]platform.TargetHost, error) {
	if s.down {
		return nil, platform.ErrUnavailable
	}
	s.hostReads++
	return s.hosts, nil
}

// set stores a value on behalf of another writer.
func (s *fakeStore) set(t *testing.T, name string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	s.objects[name] = platform.Object{Name: name, Version: s.objects[name].Version + 1, Value: raw}
}

// stored returns the decoded value of an object.
func stored[T any](t *testing.T, s *fakeStore, name string) T {
	t.Helper()
	var value T
	assert.NilError(t, json.Unmarshal(s.objects[name].Value, &value))
	return value
}

// newTestPlacer returns the placer of host kl-1 on a store whose Puts have the given
// faults. The placer's clock shows one hour.
func newTestPlacer(faults ...fault) (*Placer, *fakeStore) {
	store := &fakeStore{objects: make(map[string]platform.Object), faults: faults}
	cfg := Config{
		Self: lease.Incarnation{Host: "kl-1", Run: 5}, Cell: "kl", DataCentre: "kl", Region: "my",
		Peers: "127.0.0.1:1", Timing: lease.DefaultTiming,
	}
	p := New(cfg, store, hclog.NewNullLogger())
	p.start = time.Now().Add(-time.Hour)
	return p, store
}

// syncCache applies all objects of the store to the placer's cache.
func syncCache(t *testing.T, p *Placer, s *fakeStore) {
	t.Helper()
	batch, err := s.List(t.Context(), "")
	assert.NilError(t, err)
	p.cache.Apply(batch.Objects)
}
