package router

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
)

// maxPreallocatedBytes bounds the buffer that is allocated for a body before it
// arrives, based on the size that the sender declared.
const maxPreallocatedBytes = 64 << 10

// readBody reads the caller's whole request body within the listener's limits.
func (q *ingressRequest) readBody(w http.ResponseWriter, r *http.Request, l Listener) error {
	if r.ContentLength == 0 {
		if !q.held.Keep() {
			return refuseForMemory(w, q)
		}
		return nil
	}
	if r.ContentLength > l.MaxBodyBytes {
		return bodyTooLarge(w, l)
	}
	body, err := readHeld(r.Context(), q.held, http.MaxBytesReader(w, r.Body, l.MaxBodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memlimit.ErrRefused) || !q.held.Keep():
		return refuseForMemory(w, q)
	case err == nil:
	case errors.As(err, &tooLarge):
		return bodyTooLarge(w, l)
	case isTimeout(err):
		return &refusal{http.StatusRequestTimeout, reasonSlowSender, "timeout while reading the request body"}
	default:
		return badRequest("request body ended early")
	}
	q.forward.Body = body
	return nil
}

// refuseForMemory refuses a request of which nothing was passed on.
func refuseForMemory(w http.ResponseWriter, q *ingressRequest) error {
	q.held.Return()
	w.Header().Set("Connection", "close")
	return &refusal{http.StatusServiceUnavailable, reasonMemory, "this host holds as much as it may for callers"}
}

func bodyTooLarge(w http.ResponseWriter, l Listener) error {
	w.Header().Set("Connection", "close")
	return &refusal{http.StatusRequestEntityTooLarge, "body-too-large", "request body exceeds " + strconv.FormatInt(l.MaxBodyBytes, 10) + " bytes"}
}

// readAll reads r to its end. sizeHint is the size that the sender declared, or
// negative if it declared none.
func readAll(r io.Reader, sizeHint int64) ([]byte, error) {
	if sizeHint < 0 {
		return io.ReadAll(r)
	}
	var buf bytes.Buffer
	buf.Grow(int(min(sizeHint, maxPreallocatedBytes)) + bytes.MinRead)
	_, err := buf.ReadFrom(r)
	return buf.Bytes(), err
}

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
