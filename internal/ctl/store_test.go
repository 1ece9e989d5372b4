package ctl

import (
	"context"
	"encoding/json"
	"sort"
	"strings"

	"github.com/mangopost/mangopost/internal/platform"
)

// fakeStore is an in-memory store that can simulate faults.
type fakeStore struct {
	objects  map[string]platform.Object
	revision uint64
	hosts    []platform.TargetHost

	down          bool
	loseAnswers   int    // number of next writes that take effect but whose answers are lost
	loseWrites    int    // number of next writes that are lost without effect
	downAfterLoss bool   // the store goes down when an answer is lost
	beforePut     func() // called once, before the next write
	afterPut      func() // called once, after the next write of the command under test
}

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]platform.Object)} }

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
	if hook := s.beforePut; hook != nil {
		s.beforePut = nil
		hook()
	}
	if s.down {
		return 0, platform.ErrUnavailable
	}
	if s.loseWrites > 0 {
		s.loseWrites--
		s.down = s.downAfterLoss
		return 0, platform.ErrUncertain
	}
	if s.objects[name].Version != expected {
		return 0, platform.ErrConflict
	}
	s.set(name, value)
	if hook := s.afterPut; hook != nil {
		s.afterPut = nil
		hook()
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		s.down = s.downAfterLoss
		return 0, platform.ErrUncertain
	}
	return s.revision, nil
}

func (s *fakeStore) set(name string, value json.RawMessage) {
	s.revision++
	s.objects[name] = platform.Object{Name: name, Version: s.revision, Value: value}
}

func (s *fakeStore) Delete(context.Context, string, uint64) error { return platform.ErrUnavailable }

func (s *fakeStore) List(_ context.Context, prefix string) (platform.Batch, error) {
	if s.down {
		return platform.Batch{}, platform.ErrUnavailable
	}
	b := platform.Batch{Revision: s.revision}
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			b.Objects = append(b.Objects, o)
		}
	}
	sort.Slice(b.Objects, func(i, j int) bool { return b.Objects[i].Name < b.Objects[j].Name })
	return b, nil
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
	return s.hosts, nil
}
