package router

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

const (
	// maxBufferedAnswerBytes bounds the size of an answer that is buffered until it is
	// complete.
	maxBufferedAnswerBytes = 1 << 20
	// chunkBytes is the maximum size of the parts of a longer answer.
	chunkBytes = 64 << 10
)

// sink receives an answer that is too long to be buffered, part by part. If the last
// part is not passed, the answer must end visibly truncated.
type sink interface {
	// writeHead writes the status, the headers and the first part. It is called once.
	writeHead(a *pb.Answer) error
	// writeChunk writes a further part.
	writeChunk(data []byte, last bool) error
}

// frameSink sends parts to the ingress on another host.
type frameSink struct{ stream *wire.Stream }

func (s frameSink) writeHead(a *pb.Answer) error {
	return s.stream.Send(&pb.Frame{Body: &pb.Frame_Answer{Answer: a}})
}

func (s frameSink) writeChunk(data []byte, last bool) error {
	return s.stream.Send(&pb.Frame{Body: &pb.Frame_Chunk{Chunk: &pb.Chunk{Data: data, Last: last}}})
}

// callerSink writes an answer to the caller.
type callerSink struct {
	w        http.ResponseWriter
	held     *memlimit.Holder // of the request; may be nil
	abort    func()           // closes the connection at once
	started  bool
	complete bool
}

func (s *callerSink) writeHead(a *pb.Answer) error {
	s.started = true
	s.complete = !a.More
	s.held.Add(int64(len(a.Body)))
	s.held.MayEnd(s.abort)
	writeAnswerHead(s.w, a)
	_, err := s.w.Write(a.Body)
	return errors.Wrap(err, "write to caller")
}

func (s *callerSink) writeChunk(data []byte, last bool) error {
	s.complete = last
	_, err := s.w.Write(data)
	s.held.Progress()
	return errors.Wrap(err, "write to caller")
}

func writeAnswerHead(w http.ResponseWriter, a *pb.Answer) {
	addHeaders(w.Header(), a.Headers)
	h := newHeaderSetter(w.Header())
	h.set(headerRequestID, a.Id)
	h.set(headerOutcome, outcomeName(a.Outcome))
	if a.Reason != "" {
		h.set(headerReason, a.Reason)
	}
	if a.Replayed {
		h.set(headerReplayed, "true")
	}
	if a.RetryAfterMs > 0 {
		h.set("Retry-After", strconv.FormatInt((a.RetryAfterMs+999)/1000, 10))
	}
	if !a.More {
		h.set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(int(a.Status))
}

func outcomeName(o pb.Outcome) string {
	switch o {
	case pb.Outcome_OUTCOME_RAN:
		return "ran"
	case pb.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	default:
		return "unknown"
	}
}
