package router

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxPreallocatedBytes bounds the buffer that is allocated for a body before it
// arrives, based on the size that the sender declared.
const maxPreallocatedBytes = 64 << 10

// readBody reads the caller's whole request body within the listener's limits.
func (q *ingressRequest) readBody(w http.ResponseWriter, r *http.Request, l Listener) error {
	if r.ContentLength == 0 {
		return nil
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, l.MaxBodyBytes), min(r.ContentLength, l.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, "body-too-large", "request body exceeds " + strconv.FormatInt(l.MaxBodyBytes, 10) + " bytes"}
	case isTimeout(err):
		return &refusal{http.StatusRequestTimeout, reasonSlowSender, "timeout while reading the request body"}
	default:
		return badRequest("request body ended early")
	}
	q.forward.Body = body
	return nil
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
