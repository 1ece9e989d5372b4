package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
)

const (
	// freeAnswerBytes is the size up to which an answer is not counted.
	freeAnswerBytes = 16 << 10
	// firstPartBytes is the size of the first part of a body, and partBytes that of the
	// further ones, in which memory is taken for it.
	firstPartBytes = freeAnswerBytes
	partBytes      = 256 << 10
)

// errAnswerTooLarge reports an answer of more than maxAnswerBytes.
var errAnswerTooLarge = errors.Newf("answer exceeds %d bytes", maxAnswerBytes)

// readAnswerBody reads the body of an answer of the given length, or -1 if it is not
// known, in parts, and takes the memory for them. The holder must be closed when they
// are no longer used; it is nil after an error.
func readAnswerBody(ctx context.Context, limit *memlimit.Limit, body io.Reader, length int64) ([][]byte, *memlimit.Holder, error) {
	if length > maxAnswerBytes {
		return nil, nil, errAnswerTooLarge
	}
	if body == http.NoBody { // the length of an answer to HEAD is that of no body
		return nil, nil, nil
	}
	h := limit.Answer()
	parts, err := partReader{holder: h, free: freeAnswerBytes, limit: maxAnswerBytes}.read(ctx, body, length)
	if err != nil {
		h.Close()
		return nil, nil, err
	}
	return parts, h, nil
}

// partReader reads bodies in parts and takes the memory for each part before it reads
// it. Parts are not joined: a buffer that grows holds more than was taken for it.
type partReader struct {
	holder *memlimit.Holder
	free   int64 // bytes at the beginning that are not counted
	limit  int64 // of the body; a longer one gives errAnswerTooLarge
}

func (p partReader) read(ctx context.Context, body io.Reader, length int64) (parts [][]byte, err error) {
	total, size := int64(0), int64(firstPartBytes)
	for length < 0 || total < length {
		if length >= 0 {
			size = min(size, length-total)
		}
		if total+size > p.free {
			if err := p.holder.Take(ctx, size); err != nil {
				return nil, err
			}
		}
		part, err := readPart(body, make([]byte, size))
		parts = append(parts, part)
		total += int64(len(part))
		switch {
		case total > p.limit:
			return nil, errAnswerTooLarge
		case errors.Is(err, io.EOF) && (length < 0 || total == length):
			return parts, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		size = partBytes
	}
	return parts, nil
}

// readPart fills buf. Unlike io.ReadFull it returns io.EOF only at the clean end of the
// body, and other errors as they are.
func readPart(body io.Reader, buf []byte) ([]byte, error) {
	n := 0
	for n < len(buf) {
		m, err := body.Read(buf[n:])
		n += m
		if err != nil {
			return buf[:n], err
		}
	}
	return buf, nil
}
