package router

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

const requestIDBytes = 12

// requestID returns the caller's request ID if it is valid, else a new random one.
func (r *Router) requestID(req *http.Request) string {
	values := req.Header.Values(headerRequestID)
	if len(values) == 1 && isVisibleASCII(values[0], maxRequestIDBytes) {
		return values[0]
	}
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// fingerprint returns a hash of a request's content that does not depend on its
// request ID, so that repeats are recognized.
func fingerprint(f *pb.Forward) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{f.Service, f.Method, f.Path, f.Key, f.Client} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(f.Body)
	return d.Sum64()
}

// shardKey returns the key that determines a request's shard: the request's key for a
// keyed service, else client and idempotency key, so that a repeat reaches the dedup
// table that contains the first request. ok is false when any target may serve.
func shardKey(s *serviceTable, f *pb.Forward) (key string, ok bool) {
	if s.template.Keyed {
		return f.Key, true
	}
	if !f.Idempotent && f.IdempotencyKey != "" {
		return f.Client + "\x00" + f.IdempotencyKey, true
	}
	return "", false
}
