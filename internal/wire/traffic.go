package wire

import "github.com/mangopost/mangopost/internal/wire/pb"

// Cause classifies the traffic between two processes by its purpose.
type Cause uint8

const (
	// CauseRequests are requests, from ingress to gateway.
	CauseRequests Cause = iota
	// CauseAnswers are answers, from gateway to ingress.
	CauseAnswers
	// CauseLeases are lease messages, activity reports and handovers between gateways.
	CauseLeases
	// CauseSync are the configuration, records and shard maps.
	CauseSync
	// NumCauses is the number of valid values of Cause.
	NumCauses = 4
)

// String returns the cause as a metric label.
func (c Cause) String() string {
	switch c {
	case CauseRequests:
		return "requests"
	case CauseAnswers:
		return "answers"
	case CauseLeases:
		return "leases"
	case CauseSync:
		return "sync"
	default:
		return "invalid"
	}
}

// Traffic describes one frame sent to a peer or received from it.
type Traffic struct {
	Peer     string // host
	Cause    Cause
	Sent     bool // sent by this process, otherwise received
	Optional bool // the exchange could have used a nearer peer
	// Bytes is the size of the frame with its length header and its yamux header,
	// but without the overhead of TCP, IP and TLS.
	Bytes int
}

// Meter is called for each frame. It must be safe for concurrent use.
type Meter func(Traffic)

// metered is the state of a stream that its meter needs.
type metered struct {
	meter    Meter
	opened   bool // this process opened the stream
	optional bool
}

// SetOptional sets whether the following exchanges could have used a nearer peer. It
// must only be called between exchanges.
func (s *Stream) SetOptional(optional bool) { s.metered.optional = optional }

func (s *Stream) meterFrame(sent bool, bytes int) {
	if s.metered.meter == nil {
		return
	}
	s.metered.meter(Traffic{
		Peer:     s.From.Host,
		Cause:    causeOf(s.Kind, sent == s.metered.opened),
		Sent:     sent,
		Optional: s.metered.optional,
		Bytes:    bytes + muxHeaderBytes,
	})
}

// causeOf returns the cause of a frame; fromOpener reports whether it was sent by the
// process that opened the stream.
func causeOf(kind pb.StreamKind, fromOpener bool) Cause {
	switch {
	case kind == pb.StreamKind_STREAM_KIND_LEASE, kind == pb.StreamKind_STREAM_KIND_DEDUP,
		kind == pb.StreamKind_STREAM_KIND_LEARNED:
		return CauseLeases
	case kind == pb.StreamKind_STREAM_KIND_SYNC:
		return CauseSync
	case fromOpener:
		return CauseRequests
	default:
		return CauseAnswers
	}
}
