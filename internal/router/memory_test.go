package router

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/memlimit"
)

// A body that breaks off must not pass for a whole one, and all that it took is counted
// and returned.
func TestHeldBodyIsWhole(t *testing.T) {
	long := strings.Repeat("0123456789", 300_000)
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		want   string
		err    error
	}{
		"short":               {strings.NewReader("abc"), 3, "abc", nil},
		"long":                {strings.NewReader(long), int64(len(long)), long, nil},
		"a byte at a time":    {iotest.OneByteReader(strings.NewReader(long)), int64(len(long)), long, nil},
		"unknown length":      {strings.NewReader(long), -1, long, nil},
		"unknown, short":      {iotest.OneByteReader(strings.NewReader("abc")), -1, "abc", nil},
		"unknown, empty":      {strings.NewReader(""), -1, "", nil},
		"breaks off":          {strings.NewReader(long[1:]), int64(len(long)), "", io.ErrUnexpectedEOF},
		"unknown, breaks off": {io.MultiReader(strings.NewReader(long), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, "", io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			limit := memlimit.New(defaultMemoryBytes, nil)
			held := limit.Request(nil)
			body, err := readHeld(t.Context(), held, c.body, c.length)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
			} else {
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(body, []byte(c.want)))
				assert.Assert(t, limit.Used() >= int64(cap(body)))
			}
			held.Close()
			assert.Equal(t, limit.Used(), int64(0))
		})
	}
}

// The largest body fits beside the dedup tables with the default memory, and one that is
// too large for what is held now is refused before it is read.
func TestLargestBodyFits(t *testing.T) {
	limit := memlimit.New(memoryForClients(Config{Memory: defaultMemoryBytes, DedupBytes: 64 << 20}), nil)
	const largest = 64 << 20
	held := limit.Request(nil)
	body, err := readHeld(t.Context(), held, io.LimitReader(zeros{}, largest), largest)
	assert.NilError(t, err)
	assert.Equal(t, len(body), largest)
	next := limit.Request(func() {})
	_, err = readHeld(t.Context(), next, io.LimitReader(zeros{}, largest), largest)
	assert.ErrorIs(t, err, memlimit.ErrRefused)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
