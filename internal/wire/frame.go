// Package wire carries messages between mangopost's own processes over yamux
// sessions on TCP, with one stream for each request in flight and long-lived
// streams for leases and objects. A frame is a 4-byte big-endian length followed
// by a protobuf message.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

const (
	// Version is the protocol version of this program.
	Version = 3
	// MaxFrameBytes limits the size of a frame's message, in bytes.
	MaxFrameBytes = 4 << 20

	frameHeaderBytes = 4
	readBufferBytes  = 4 << 10
	// maxKeptBufferBytes limits the buffers that a stream keeps between frames.
	maxKeptBufferBytes = 64 << 10
)

// ErrInvalidMessage means that a peer sent something other than a valid message. Its
// session is dropped.
var ErrInvalidMessage = errors.New("invalid message from peer")

// Stream is an ordered exchange of frames with a peer. Send may be called by
// several goroutines at once, Recv by one at a time.
type Stream struct {
	// From is the peer, according to its hello.
	From lease.Incarnation
	// Kind is the purpose of the stream.
	Kind pb.StreamKind
	// HelloReceivedAt is, for a stream opened by the peer, a clock reading taken before
	// this process sent its hello. The peer sends all later frames after that time.
	HelloReceivedAt time.Time

	metered metered
	omitter nameOmitter

	conn        net.Conn
	reader      *bufio.Reader
	readBuffer  []byte // reused by Recv; messages share no memory with it
	mu          sync.Mutex
	writeBuffer []byte
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// Send writes one frame. It may clear fields of f that the peer already knows.
func (s *Stream) Send(f *pb.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omitter.omitKnown(f)
	err := s.write(f)
	if err != nil {
		s.omitter.sentCell = ""
	}
	return err
}

// Recv reads one frame. It fails with an invalid message error if the peer sent
// something else.
func (s *Stream) Recv() (*pb.Frame, error) {
	f := new(pb.Frame)
	if err := s.read(f); err != nil {
		return nil, err
	}
	if f.Body == nil {
		return f, nil // a message of a later protocol version
	}
	s.omitter.restoreOmitted(f)
	return f, nil
}

// Close closes the stream in both directions and unblocks readers and writers.
// With yamux alone, a reader would block until the peer closes its end.
func (s *Stream) Close() error {
	_ = s.conn.SetDeadline(time.Unix(1, 0))
	return s.conn.Close()
}

// write writes one message. The caller must hold s.mu, or be the only user of the
// stream.
func (s *Stream) write(m proto.Message) error {
	buf := append(s.writeBuffer[:0], 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	size := len(buf) - frameHeaderBytes
	if size > MaxFrameBytes {
		return errors.Newf("frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	s.writeBuffer = reusable(buf)
	s.meterFrame(true, len(buf))
	_, err = s.conn.Write(buf)
	return errors.Wrap(err, "write frame")
}

// reusable returns buf for reuse by the next frame, or nil if it has grown too large.
func reusable(buf []byte) []byte {
	if cap(buf) > maxKeptBufferBytes {
		return nil
	}
	return buf
}

func (s *Stream) read(m proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return errors.Wrap(err, "read frame")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return errors.Wrapf(ErrInvalidMessage, "frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	buf := slices.Grow(s.readBuffer[:0], int(size))[:size]
	s.readBuffer = reusable(buf)
	if _, err := io.ReadFull(s.reader, buf); err != nil {
		return errors.Wrap(err, "read frame")
	}
	s.meterFrame(false, len(buf)+frameHeaderBytes)
	if err := proto.Unmarshal(buf, m); err != nil {
		return errors.Wrapf(ErrInvalidMessage, "decode frame: %v", err)
	}
	return nil
}

func (s *Stream) sendHello(from lease.Incarnation, kind pb.StreamKind) error {
	s.omitter.self = toIncarnation(from)
	return s.write(&pb.Hello{
		Version: Version,
		From:    s.omitter.self,
		Kind:    kind,
	})
}

func (s *Stream) recvHello() error {
	var hello pb.Hello
	if err := s.read(&hello); err != nil {
		return err
	}
	if hello.Version == 0 || hello.From == nil {
		return errors.Wrap(ErrInvalidMessage, "first frame is not a hello")
	}
	s.From = lease.Incarnation{Host: hello.From.Host, Run: hello.From.Run}
	s.Kind = hello.Kind
	s.omitter.peer = hello.From
	s.omitter.version = hello.Version
	return nil
}
