package placer

import (
	"bytes"
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/replay"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

// TestRecordedVoterReplays: replaying a trace that a placer's voter wrote sends the same
// messages that the voter sent.
func TestRecordedVoterReplays(t *testing.T) {
	var out bytes.Buffer
	p, _ := newTestPlacer()
	p.cfg.Record = &out
	p = New(p.cfg, p.store, hclog.NewNullLogger())
	record := membership.Record{
		Cell: "kl", Number: 2, Hosts: []membership.Host{p.selfHost()}, Old: []membership.Host{{Name: "kl-2", PlacerRun: 4}},
		Gateways: []membership.Gateway{{Target: "a", First: 1, Candidates: []lease.Incarnation{{Host: "kl-1", Run: 9}}}},
	}
	p.voting.setRecord(record)
	assert.Equal(t, len(p.voting.tick()), 1, "the new voter asks the old one")
	old := lease.Incarnation{Host: "kl-2", Run: 4}
	p.voting.step(old, lease.JoinReply{Cell: "kl", Record: 2, Voter: old, Done: true, Ready: 1})
	assert.Assert(t, p.voting.isReady())
	receiveVoteRequest(p, 1, lease.VoteRequest{Record: 2, Claims: newClaims("a", true, false)})

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, p.serveTrace(ctx))
	trace, err := replay.Decode(&out)
	assert.NilError(t, err)
	transcript, err := replay.Run(trace)
	assert.NilError(t, err)
	assert.Equal(t, transcript.WrongOutcomes, 0)
	assert.Equal(t, transcript.StatedOutcomes, 3)
	assert.Assert(t, bytes.Contains(trace.Lines[len(trace.Lines)-1].Want, []byte(`"vote_reply"`)))
}
