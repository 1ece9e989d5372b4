package wire

import (
	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// LeaseFrame encodes a lease message.
func LeaseFrame(m lease.Message) (*pb.Frame, error) {
	switch m := m.(type) {
	case lease.VoteRequest:
		return &pb.Frame{Body: &pb.Frame_VoteRequest{VoteRequest: toVoteRequest(m)}}, nil
	case lease.VoteReply:
		return &pb.Frame{Body: &pb.Frame_VoteReply{VoteReply: toVoteReply(m)}}, nil
	case lease.StopRequest:
		return &pb.Frame{Body: &pb.Frame_StopRequest{StopRequest: toStopRequest(m)}}, nil
	case lease.StopReply:
		return &pb.Frame{Body: &pb.Frame_StopReply{StopReply: toStopReply(m)}}, nil
	case lease.JoinRequest:
		return &pb.Frame{Body: &pb.Frame_JoinRequest{JoinRequest: toJoinRequest(m)}}, nil
	case lease.JoinReply:
		return &pb.Frame{Body: &pb.Frame_JoinReply{JoinReply: toJoinReply(m)}}, nil
	default:
		return nil, errors.Newf("encode lease message: unknown type %T", m)
	}
}

// DecodeLeaseMessage decodes a lease message; ok is false for a frame of another kind.
func DecodeLeaseMessage(f *pb.Frame) (m lease.Message, ok bool) {
	switch body := f.Body.(type) {
	case *pb.Frame_VoteRequest:
		return fromVoteRequest(body.VoteRequest), true
	case *pb.Frame_VoteReply:
		return fromVoteReply(body.VoteReply), true
	case *pb.Frame_StopRequest:
		return fromStopRequest(body.StopRequest), true
	case *pb.Frame_StopReply:
		return fromStopReply(body.StopReply), true
	case *pb.Frame_JoinRequest:
		return fromJoinRequest(body.JoinRequest), true
	case *pb.Frame_JoinReply:
		return fromJoinReply(body.JoinReply), true
	default:
		return nil, false
	}
}
