package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/mangopost/mangopost/internal/memlimit"
)

const (
	defaultMemoryBytes = 256 << 20
	// memoryRetryAfter is the Retry-After of requests that are refused for want of memory.
	memoryRetryAfter = time.Second
	// freeAnswerBytes is the size up to which an answer is not counted.
	freeAnswerBytes = 16 << 10
	// unreadBodyTime limits how long the rest of a body is read that nobody needs.
	unreadBodyTime = time.Second
	// firstBodyBytes is how much of a body is read before memory is taken for all of it,
	// so that a sender cannot take much by declaring a size.
	firstBodyBytes = 1 << 20
	// progressBytes is the length of a part of a body that counts as progress.
	progressBytes = 256 << 10
)

// memoryForClients returns the memory that is left beside the dedup tables.
func memoryForClients(cfg Config) int64 {
	if cfg.Memory <= 0 {
		return defaultMemoryBytes
	}
	return cfg.Memory - cfg.DedupBytes
}

// connections returns how many connections the listeners may have.
func (r *Router) connections() memlimit.Connections {
	return memlimit.ConnectionsOf(memoryForClients(r.cfg), memlimit.Files(r.cfg.Files))
}

// recordHeldRefusal counts a client that had to give way, and logs at most one line a
// second. The limit calls it while it is locked.
func (r *Router) recordHeldRefusal(cause string) {
	r.metrics.heldRefusals[cause].Inc()
	if fields := r.heldLog.Add(time.Now(), cause); fields != nil {
		r.log.Emit(evHeld, fields...)
	}
}

// limitUnreadBody limits how long net/http reads the rest of a body before it answers or
// closes the connection.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != http.NoBody {
		// Only the writers of tests do not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// readAnswer reads the part of an answer that is buffered, and takes the memory for it
// while it is read. The ingress counts it from then on.
func (r *Router) readAnswer(ctx context.Context, response *http.Response) ([]byte, error) {
	held := r.memory.Answer()
	defer held.Close()
	if size := response.ContentLength; size < 0 || size > freeAnswerBytes {
		if size < 0 || size > maxBufferedAnswerBytes {
			size = maxBufferedAnswerBytes
		}
		if err := held.Take(ctx, size); err != nil {
			return nil, err
		}
	}
	return readAll(io.LimitReader(response.Body, maxBufferedAnswerBytes+1), response.ContentLength)
}

// heldReader takes the memory for a body while it is read into one buffer.
type heldReader struct {
	held *memlimit.Holder
	body io.Reader
	read int64 // since the last progress
}

// Read implements io.Reader.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.body.Read(p)
	if h.read += int64(n); h.read >= progressBytes {
		h.held.Progress()
		h.read = 0
	}
	return n, err
}

// readHeld reads a body of the given length, or -1 if it is not known, and takes the
// memory for it before it is read.
func readHeld(ctx context.Context, held *memlimit.Holder, body io.Reader, length int64) ([]byte, error) {
	r := &heldReader{held: held, body: body}
	if length < 0 {
		return readUnknown(ctx, r)
	}
	first := make([]byte, min(length, maxPreallocatedBytes))
	if err := held.Take(ctx, int64(len(first))); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(r, first); err != nil || int64(len(first)) == length {
		return first, err
	}
	for size := min(length, firstBodyBytes); ; size = length {
		if err := held.Take(ctx, size); err != nil {
			return nil, err
		}
		next := make([]byte, size)
		done := copy(next, first)
		held.GiveBack(int64(len(first)))
		first = next
		if _, err := io.ReadFull(r, next[done:]); err != nil || size == length {
			return next, err
		}
	}
}

// readUnknown reads a body of unknown length in parts and joins them, for which it takes
// twice the memory.
func readUnknown(ctx context.Context, r *heldReader) ([]byte, error) {
	var parts [][]byte
	total := int64(0)
	for size := int64(maxPreallocatedBytes); ; size = progressBytes {
		if err := r.held.Take(ctx, size); err != nil {
			return nil, err
		}
		part, err := fill(r, make([]byte, size))
		parts = append(parts, part)
		total += int64(len(part))
		if err == nil {
			continue
		}
		if err != io.EOF {
			return nil, err
		}
		if err := r.held.Take(ctx, total); err != nil {
			return nil, err
		}
		defer r.held.GiveBack(total)
		return bytes.Join(parts, nil), nil
	}
}

// fill fills buf. Unlike io.ReadFull it returns io.EOF only at the clean end of the
// body, and other errors as they are.
func fill(r io.Reader, buf []byte) ([]byte, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Read(buf[n:])
		n += m
		if err != nil {
			return buf[:n], err
		}
	}
	return buf, nil
}
