package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// exchange sends a message from alice to bob, whose hello has the given version, and
// returns the message that bob reads and its encoded size.
func exchange(t *testing.T, m lease.Message, version uint32) (got lease.Message, size int) {
	t.Helper()
	conn := &bufferConn{}
	sender, receiver := newStream(conn), newStream(conn)
	sender.omitter = nameOmitter{self: toIncarnation(alice), peer: toIncarnation(bob), version: version}
	receiver.omitter = nameOmitter{self: toIncarnation(bob), peer: toIncarnation(alice), version: Version}
	frame, err := LeaseFrame(m)
	assert.NilError(t, err)
	assert.NilError(t, sender.Send(frame))
	size = proto.Size(frame) // after names were omitted
	read, err := receiver.Recv()
	assert.NilError(t, err)
	got, ok := DecodeLeaseMessage(read)
	assert.Assert(t, ok)
	return got, size
}

// TestNamesOfStreamEndsAreOmitted checks that the names of the two ends of a stream are
// omitted from vote requests and replies and restored by the receiver, and that they
// are sent to a peer of an earlier version.
func TestNamesOfStreamEndsAreOmitted(t *testing.T) {
	for name, m := range map[string]lease.Message{
		"request": lease.VoteRequest{Cell: "c", Record: 1, Holder: alice, Seq: 2, ClaimsVersion: 1, Unchanged: true},
		"reply":   lease.VoteReply{Cell: "c", Record: 1, Voter: alice, Holder: bob, Seq: 2, GrantedAll: true, ClaimsHeld: 1},
	} {
		t.Run(name, func(t *testing.T) {
			got, short := exchange(t, m, Version)
			assert.DeepEqual(t, got, m)
			got, whole := exchange(t, m, omitNamesVersion-1)
			assert.DeepEqual(t, got, m)
			assert.Assert(t, short < whole, "%d bytes of %d", short, whole)
		})
	}
}

// TestNamesOfOthersAreSent checks that the name of a process other than the two ends,
// or of an earlier run of one of them, is not omitted.
func TestNamesOfOthersAreSent(t *testing.T) {
	earlierRun := lease.Incarnation{Host: bob.Host, Run: bob.Run - 1}
	carol := lease.Incarnation{Host: "carol", Run: 3}
	for _, m := range []lease.Message{
		lease.VoteRequest{Cell: "c", Holder: carol, Seq: 2},
		lease.VoteReply{Cell: "c", Voter: carol, Holder: earlierRun, Seq: 2},
	} {
		got, _ := exchange(t, m, Version)
		assert.DeepEqual(t, got, m)
	}
}

// TestCellIsSentOnlyWhenItChanges checks that the messages of a stream arrive with the
// right cells, and that a peer of an earlier version is sent the cell of each.
func TestCellIsSentOnlyWhenItChanges(t *testing.T) {
	cells := []string{"c", "c", "d", "d", "c"}
	for version, wantNamed := range map[uint32]int{Version: 3, omitCellVersion - 1: len(cells)} {
		conn := &bufferConn{}
		sender, receiver := newStream(conn), newStream(conn)
		sender.omitter = nameOmitter{self: toIncarnation(alice), peer: toIncarnation(bob), version: version}
		receiver.omitter = nameOmitter{self: toIncarnation(bob), peer: toIncarnation(alice), version: Version}
		named := 0
		for i, cell := range cells {
			m := lease.VoteRequest{Cell: cell, Holder: alice, Seq: uint64(i)}
			frame, err := LeaseFrame(m)
			assert.NilError(t, err)
			assert.NilError(t, sender.Send(frame))
			if frame.GetVoteRequest().Cell != "" {
				named++
			}
			read, err := receiver.Recv()
			assert.NilError(t, err)
			got, ok := DecodeLeaseMessage(read)
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, m)
		}
		assert.Equal(t, named, wantNamed, "version %d", version)
	}
}
