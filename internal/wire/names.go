package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// omitNamesVersion is the first protocol version in which the sender of a vote
// request or reply, and the recipient of a reply, may be omitted: they are known
// from the hello of the stream.
const omitNamesVersion = 2

// omitCellVersion is the first protocol version in which the cell of a vote request
// or reply may be omitted if it is that of the preceding one in the stream.
const omitCellVersion = 3

// nameOmitter omits names that the peer knows from frames that are sent, and restores
// them in frames that are received. It holds the two processes of a stream, according
// to their hellos, and the cells of the latest vote requests or replies. Both sides
// have the same state, as a stream loses nothing and keeps its order.
type nameOmitter struct {
	self         *pb.Incarnation
	peer         *pb.Incarnation
	version      uint32 // protocol version of the peer
	sentCell     string
	receivedCell string
}

// omitKnown clears names that the peer knows in the frame that is sent next.
func (e *nameOmitter) omitKnown(f *pb.Frame) {
	if e.version < omitNamesVersion {
		return
	}
	switch body := f.Body.(type) {
	case *pb.Frame_VoteRequest:
		body.VoteRequest.Holder = omitIfEqual(e.self, body.VoteRequest.Holder)
		body.VoteRequest.Cell = e.omitCell(body.VoteRequest.Cell)
	case *pb.Frame_VoteReply:
		body.VoteReply.Voter = omitIfEqual(e.self, body.VoteReply.Voter)
		body.VoteReply.Holder = omitIfEqual(e.peer, body.VoteReply.Holder)
		body.VoteReply.Cell = e.omitCell(body.VoteReply.Cell)
	}
}

// restoreOmitted sets the names that the peer omitted.
func (e *nameOmitter) restoreOmitted(f *pb.Frame) {
	switch body := f.Body.(type) {
	case *pb.Frame_VoteRequest:
		body.VoteRequest.Holder = orDefault(body.VoteRequest.Holder, e.peer)
		body.VoteRequest.Cell = e.restoreCell(body.VoteRequest.Cell)
	case *pb.Frame_VoteReply:
		body.VoteReply.Voter = orDefault(body.VoteReply.Voter, e.peer)
		body.VoteReply.Holder = orDefault(body.VoteReply.Holder, e.self)
		body.VoteReply.Cell = e.restoreCell(body.VoteReply.Cell)
	}
}

// omitCell returns the cell name to be sent: empty if it is the one sent before. No
// cell's name is empty.
func (e *nameOmitter) omitCell(cell string) string {
	if e.version < omitCellVersion {
		return cell
	}
	if cell == e.sentCell {
		return ""
	}
	e.sentCell = cell
	return cell
}

func (e *nameOmitter) restoreCell(cell string) string {
	if cell != "" {
		e.receivedCell = cell
	}
	return e.receivedCell
}

// omitIfEqual returns nil if id is the known process, otherwise id.
func omitIfEqual(known, id *pb.Incarnation) *pb.Incarnation {
	if known == nil || known.GetHost() != id.GetHost() || known.GetRun() != id.GetRun() {
		return id
	}
	return nil
}

// orDefault returns id, or the known process if id was omitted.
func orDefault(id, known *pb.Incarnation) *pb.Incarnation {
	if id == nil {
		return known
	}
	return id
}

// LeaseBytes returns the size of a lease message between two processes of this
// version, including the frame header but not that of yamux. It assumes that a vote
// request or reply is for the same cell as the preceding one.
func LeaseBytes(from, to lease.Incarnation, m lease.Message) (int, error) {
	frame, err := LeaseFrame(m)
	if err != nil {
		return 0, err
	}
	e := nameOmitter{self: toIncarnation(from), peer: toIncarnation(to), version: Version}
	e.sentCell = cellOf(m)
	e.omitKnown(frame)
	return frameHeaderBytes + proto.Size(frame), nil
}

// cellOf returns the cell of a vote request or reply.
func cellOf(m lease.Message) string {
	switch m := m.(type) {
	case lease.VoteRequest:
		return m.Cell
	case lease.VoteReply:
		return m.Cell
	default:
		return ""
	}
}
