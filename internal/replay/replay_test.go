package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const traceGlob = "../../testdata/traces/*.jsonl"

func tracePaths(t testing.TB) []string {
	t.Helper()
	paths, err := filepath.Glob(traceGlob)
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	return paths
}

func replayBytes(t *testing.T, data []byte) (Transcript, []byte) {
	t.Helper()
	trace, err := Decode(bytes.NewReader(data))
	assert.NilError(t, err)
	transcript, err := Run(trace)
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, transcript.Write(&out))
	return transcript, out.Bytes()
}

func TestStoredTracesReplayAsStated(t *testing.T) {
	for _, path := range tracePaths(t) {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".jsonl"), func(t *testing.T) {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			transcript, first := replayBytes(t, data)
			_, second := replayBytes(t, data)
			assert.Equal(t, string(first), string(second))
			assert.Assert(t, transcript.StatedOutcomes > 0, "the trace states no outcome")
			assert.Assert(t, len(transcript.Header.Promises) > 0, "the header lists no promises")
			assert.Equal(t, transcript.Header.Trace+".jsonl", filepath.Base(path))
			for _, e := range transcript.Entries {
				assert.Assert(t, !e.Wrong, "event %d %s at %d ms (%s):\n got %s\nwant %s", e.Line, e.Kind, e.AtMS, e.Note, e.Got, e.Want)
			}
		})
	}
}

// TestEveryAlteredOutcomeIsDetected alters each stated outcome of each trace in turn
// and verifies that the replay detects it.
func TestEveryAlteredOutcomeIsDetected(t *testing.T) {
	for _, path := range tracePaths(t) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		trace, err := Decode(bytes.NewReader(data))
		assert.NilError(t, err)
		for i := range trace.Lines {
			if trace.Lines[i].Want == nil {
				continue
			}
			original := trace.Lines[i].Want
			trace.Lines[i].Want = []byte(`"another outcome"`)
			transcript, err := Run(trace)
			assert.NilError(t, err)
			assert.Equal(t, transcript.WrongOutcomes, 1, "%s event %d", path, i+1)
			trace.Lines[i].Want = original
		}
	}
}

func TestDecodeReportsFaultsOfAllLines(t *testing.T) {
	text := `{"trace":"t","about":"","promises":[]}
{"at_ms":5,"kind":"no.such"}
{"at_ms":5,"kind":"dedup.new","in":{"tabel":"x"}}
{"at_ms":6,"kind":"poison.new","in":{"host":"a"}}
{"at_ms":5,"kind":"poison.new","in":{"host":"a"}} 
{"at_ms":7,"kind":"poison.new","in":{"host":"a"}} {}
`
	_, err := Decode(strings.NewReader(text))
	assert.Assert(t, err != nil)
	for _, want := range []string{"line 2", "no.such", "line 3", "tabel", "line 5", "line 6"} {
		assert.ErrorContains(t, err, want)
	}
	assert.Assert(t, !strings.Contains(err.Error(), "line 4"))
	_, err = Decode(strings.NewReader(""))
	assert.ErrorContains(t, err, "no header")
}

// FuzzDecode verifies that any input is either decoded or rejected, and that a
// decoded trace replays without a panic and twice with the same result.
func FuzzDecode(f *testing.F) {
	for _, path := range tracePaths(f) {
		data, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Decode(bytes.NewReader(data))
		if err != nil {
			return
		}
		first, firstErr := Run(trace)
		second, secondErr := Run(trace)
		assert.Equal(t, firstErr == nil, secondErr == nil)
		assert.DeepEqual(t, first, second)
	})
}
