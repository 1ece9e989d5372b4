package usage

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReadOwnProcessUsage(t *testing.T) {
	a, err := Read(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, a.RSS > 0)
	assert.Assert(t, a.Read > 0)
	_, err = Read(-1)
	assert.Assert(t, err != nil)
}

func TestParse(t *testing.T) {
	var s Sample
	assert.NilError(t, parseStat(&s, "7 (a) b) S 1 1 1 0 -1 4 0 0 0 0 150 50 0 0 20 0"))
	assert.Equal(t, s.CPU, 2*time.Second)
	assert.NilError(t, parseIO(&s, "rchar: 10\nwchar: 20\nsyscr: x\n"))
	assert.Equal(t, s.Read, int64(10))
	assert.Equal(t, s.Written, int64(20))
	assert.Assert(t, parseStat(&s, "7 (a) S 1") != nil)
	assert.Assert(t, parseMemory(&s, "1") != nil)
}

func TestBetween(t *testing.T) {
	r := Between("x", Sample{CPU: time.Second, Written: 10}, Sample{CPU: 2 * time.Second, Written: 30, RSS: 5}, 2*time.Second)
	assert.DeepEqual(t, r, Rate{Name: "x", Core: 0.5, RSS: 5, Written: 10})
}
