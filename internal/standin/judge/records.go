package judge

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of one run record.
const maxLineBytes = 1 << 20

// ReadRuns reads run records, one JSON value per line. The last line of a run
// replaces earlier ones. A malformed last line is ignored, as the writer may have been
// killed while writing it.
func ReadRuns(r io.Reader) ([]Run, error) {
	type runID struct {
		target string
		number uint64
	}
	var runs []Run
	indexes := make(map[runID]int)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var malformed error
	for lines.Scan() {
		if malformed != nil {
			return nil, malformed
		}
		var run Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			malformed = errors.Wrapf(err, "decode run %d", len(runs)+1)
			continue
		}
		index, seen := indexes[runID{run.Target, run.Number}]
		if !seen {
			indexes[runID{run.Target, run.Number}] = len(runs)
			runs = append(runs, run)
			continue
		}
		runs[index] = run
	}
	return runs, errors.Wrap(lines.Err(), "read runs")
}

// MarkOpenCrashed marks open runs as crashed at endNS, in Unix nanoseconds. It completes
// the record of a process that was killed at that time.
func MarkOpenCrashed(runs []Run, endNS int64) {
	for i := range runs {
		if runs[i].Outcome == RunOpen {
			runs[i].Outcome, runs[i].End = RunCrashed, endNS
		}
	}
}
