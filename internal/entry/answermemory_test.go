package entry

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/memlimit"
)

// A body is whole only at its clean end, and what it takes of the memory is returned.
func TestAnswerMemory(t *testing.T) {
	broken := errors.New("broken")
	long := strings.Repeat("x", 3*partBytes)
	for name, c := range map[string]struct {
		body   io.Reader
		length int64
		want   string
		err    error
	}{
		"known length":        {strings.NewReader(long), int64(len(long)), long, nil},
		"unknown length":      {strings.NewReader(long), -1, long, nil},
		"a byte at a time":    {iotest.OneByteReader(strings.NewReader("abc")), -1, "abc", nil},
		"empty":               {strings.NewReader(""), -1, "", nil},
		"of length 0":         {strings.NewReader("more"), 0, "", nil},
		"short of its length": {strings.NewReader(long[1:]), int64(len(long)), "", io.ErrUnexpectedEOF},
		"breaks off":          {io.MultiReader(strings.NewReader(long), iotest.ErrReader(broken)), -1, "", broken},
		"ends unexpectedly":   {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, "", io.ErrUnexpectedEOF},
		"too large":           {iotest.DataErrReader(io.LimitReader(zeros{}, maxAnswerBytes+1)), -1, "", errAnswerTooLarge},
		"length too large":    {strings.NewReader(""), maxAnswerBytes + 1, "", errAnswerTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			limit := memlimit.New(0, nil)
			parts, taken, err := readAnswerBody(t.Context(), limit, c.body, c.length)
			if c.err != nil {
				assert.ErrorIs(t, err, c.err)
			} else {
				assert.NilError(t, err)
				assert.Assert(t, string(bytes.Join(parts, nil)) == c.want)
			}
			taken.Close()
			taken.Close()
			assert.Equal(t, limit.Used(), int64(0), "not all memory was returned")
		})
	}
}

// An answer waits for memory that others hold, until its time is over.
func TestAnswerWaitsForMemory(t *testing.T) {
	limit := memlimit.New(0, nil)
	assert.NilError(t, limit.Answer().Take(t.Context(), limit.AnswerTotal()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := readAnswerBody(ctx, limit, strings.NewReader(strings.Repeat("x", freeAnswerBytes+1)), -1)
	assert.ErrorIs(t, err, context.Canceled)
	parts, taken, err := readAnswerBody(ctx, limit, strings.NewReader("small"), -1)
	assert.NilError(t, err)
	assert.Equal(t, string(bytes.Join(parts, nil)), "small", "a small answer does not wait")
	taken.Close()
}

// zeros reads zero bytes without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
