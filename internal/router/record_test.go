package router

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	traces "github.com/mangopost/mangopost/internal/replay"
)

// TestRecordedGatewayReplays checks that the replay of a trace that a running gateway
// wrote produces the same messages as the gateway did.
func TestRecordedGatewayReplays(t *testing.T) {
	var out bytes.Buffer
	t.Cleanup(func() {
		// Runs after the routers have ended.
		trace, err := traces.Decode(&out)
		assert.NilError(t, err)
		transcript, err := traces.Run(trace)
		assert.NilError(t, err)
		assert.Equal(t, transcript.WrongOutcomes, 0)
		assert.Equal(t, transcript.SkippedEvents, 0)
		assert.Assert(t, transcript.StatedOutcomes > 0)
	})
	startPair(t, &echoTarget{}, pairOptions{record: &out})
}
