package daemon

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestTraceIsNotOverwritten checks that a restart with the same command line keeps
// the trace recorded by the previous process.
func TestTraceIsNotOverwritten(t *testing.T) {
	log := hclog.NewNullLogger()
	assert.Assert(t, openTrace(log, "") == nil)
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	file := openTrace(log, path)
	assert.Assert(t, file != nil)
	_, err := file.WriteString("incident\n")
	assert.NilError(t, err)
	assert.NilError(t, file.Close())

	assert.Assert(t, openTrace(log, path) == nil)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "incident\n")
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(traceFileMode))
}
