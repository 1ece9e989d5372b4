package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/replay"
)

type replayCommand struct {
	Transcript bool `long:"transcript" description:"print every event and its outcome as JSON lines"`
	Args       struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replays each file and returns errBroken if a decision differs from the
// stated one.
func (c *replayCommand) Execute([]string) error {
	differing := 0
	for _, path := range c.Args.Files {
		transcript, err := replayFile(path)
		if err != nil {
			return errors.Wrap(err, path)
		}
		differing += transcript.WrongOutcomes
		if err := c.print(transcript); err != nil {
			return err
		}
	}
	if differing > 0 {
		return errors.Wrapf(errBroken, "%d decisions differ from the stated ones", differing)
	}
	return nil
}

func replayFile(path string) (replay.Transcript, error) {
	file, err := os.Open(path)
	if err != nil {
		return replay.Transcript{}, err
	}
	defer file.Close()
	trace, err := replay.Decode(file)
	if err != nil {
		return replay.Transcript{}, err
	}
	return replay.Run(trace)
}

func (c *replayCommand) print(t replay.Transcript) error {
	if c.Transcript {
		return t.Write(os.Stdout)
	}
	fmt.Printf("%s: %d events, %d stated outcomes, %d differ\n", t.Header.Trace, len(t.Entries), t.StatedOutcomes, t.WrongOutcomes)
	if t.SkippedEvents > 0 {
		fmt.Printf("  %d events follow a gap in the record and were not replayed\n", t.SkippedEvents)
	}
	for _, e := range t.Entries {
		if e.Wrong {
			fmt.Printf("  event %d, %s at %d ms: got %s, stated %s %s\n", e.Line, e.Kind, e.AtMS, e.Got, e.Want, e.Note)
		}
	}
	return nil
}
