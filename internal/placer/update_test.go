package placer

import (
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/ownership"
)

// TestUpdate adds one letter to a page's service name, so that a change that was applied
// twice shows in the number of letters.
func TestUpdate(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		err    error
		want   string
		puts   int
	}{
		{"accepted", []fault{accepted}, nil, "m", 1},
		{"conflict: made again from the new value", []fault{otherWriter}, nil, "om", 2},
		{"answer lost after effect: recognised", []fault{answerLost}, nil, "m", 1},
		{"no answer and no effect: made again", []fault{requestLost}, nil, "m", 2},
		{"no answer, another came first: made again", []fault{otherWriterAnswerLost}, nil, "om", 2},
		{"no answer twice, effect at the second", []fault{requestLost, answerLost}, nil, "m", 2},
		{"store down", []fault{storeGoesDown}, platform.ErrUnavailable, "", 1},
		{"no answer and no read back: undecided", []fault{answerLostThenDown}, errUndecided, "m", 1},
		{"always another writer", slices.Repeat([]fault{otherWriter}, maxUpdateAttempts), platform.ErrConflict, "oooo", maxUpdateAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, store := newTestPlacer(c.faults...)
			store.otherWrite = func(name string) { store.set(t, name, appendLetter(storedPage(t, store, name), "o")) }
			err := update(t.Context(), p, "page", isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
				page = appendLetter(page, "m")
				page.Stamp = s
				return page, nil
			})
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, storedPage(t, store, "page").Service, c.want)
			assert.Equal(t, store.puts, c.puts)
			if err == nil {
				assert.Equal(t, p.cache.Object("page").Version, store.objects["page"].Version)
			}
		})
	}
}

func appendLetter(page ownership.Page, letter string) ownership.Page {
	page.Service += letter
	return page
}

func storedPage(t *testing.T, s *fakeStore, name string) ownership.Page {
	t.Helper()
	if s.objects[name].Version == 0 {
		return ownership.Page{}
	}
	return stored[ownership.Page](t, s, name)
}

func TestUpdateWritesNothingOnChangeError(t *testing.T) {
	p, store := newTestPlacer()
	refused := errors.New("refused")
	for _, changeErr := range []error{errNoChange, refused} {
		err := update(t.Context(), p, "page", isOwnPageWrite, func(page ownership.Page, _ ownership.Stamp) (ownership.Page, error) {
			return page, changeErr
		})
		assert.Equal(t, errors.Is(err, refused), changeErr == refused)
		assert.Equal(t, store.puts, 0)
	}
}

// TestStampsAreUnique: stamps distinguish this process's writes from each other and from
// those of other processes.
func TestStampsAreUnique(t *testing.T) {
	p, store := newTestPlacer(otherWriter, requestLost)
	store.otherWrite = func(name string) { store.set(t, name, ownership.Page{Service: "o"}) }
	var stamps []ownership.Stamp
	err := update(t.Context(), p, "page", isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		stamps = append(stamps, s)
		page.Stamp = s
		return page, nil
	})
	assert.NilError(t, err)
	assert.Equal(t, len(stamps), 3)
	slices.SortFunc(stamps, func(a, b ownership.Stamp) int { return int(a.Write) - int(b.Write) })
	assert.Equal(t, len(slices.Compact(stamps)), 3)
}

// TestStaleReadReturnsCachedValue: a read that lags does not replace a newer value that is
// already known.
func TestStaleReadReturnsCachedValue(t *testing.T) {
	p, store := newTestPlacer()
	store.set(t, "page", ownership.Page{Service: "old"})
	p.cache.Apply([]platform.Object{{Name: "page", Version: 7, Value: []byte(`{"service":"new"}`)}})
	page, version, err := read[ownership.Page](t.Context(), p, "page")
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(7))
	assert.Equal(t, page.Service, "new")
}
