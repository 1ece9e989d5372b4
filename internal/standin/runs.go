package standin

import (
	"encoding/json"
	"io"
	"slices"
	"sync"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// runLog records every run of a target. It is kept over the target's restarts.
type runLog struct {
	mu   sync.Mutex
	runs []judge.Run
	sink *RunSink
}

// open records the start of a run and returns its number. Numbers start at 1.
func (l *runLog) open(run judge.Run) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Number = uint64(len(l.runs) + 1)
	run.Outcome = judge.RunOpen
	l.runs = append(l.runs, run)
	l.sink.write(run)
	return run.Number
}

// close records the end of a run. Only the first end counts.
func (l *runLog) close(number uint64, outcome judge.RunOutcome, end int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &l.runs[number-1]
	if run.Outcome == judge.RunOpen {
		run.Outcome, run.End = outcome, end
		l.sink.write(*run)
	}
}

func (l *runLog) all() []judge.Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// RunSink writes each run as a JSON line when it starts and again when it ends, so
// that the record is available after the process was killed.
type RunSink struct {
	mu sync.Mutex
	w  io.Writer
}

// NewRunSink returns a sink that writes each line with one Write call.
func NewRunSink(w io.Writer) *RunSink { return &RunSink{w: w} }

func (s *RunSink) write(run judge.Run) {
	if s == nil {
		return
	}
	line, _ := json.Marshal(run)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.w.Write(append(line, '\n'))
}
