package router

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// Headers of the callers' and the targets' interface; see docs/INTERFACES.md.
const (
	headerClient       = "Mangopost-Client"
	headerKey          = "Mangopost-Key"
	headerIdempotency  = "Idempotency-Key"
	headerFirstSent    = "Mangopost-First-Sent"
	headerAttempt      = "Mangopost-Attempt"
	headerDeadline     = "Mangopost-Deadline-Ms"
	headerRequestID    = "Mangopost-Request-Id"
	headerOutcome      = "Mangopost-Outcome"
	headerReason       = "Mangopost-Reason"
	headerReplayed     = "Mangopost-Replayed"
	headerShard        = "Mangopost-Shard"
	headerOwnerEpoch   = "Mangopost-Owner-Epoch"
	headerGatewayEpoch = "Mangopost-Gateway-Epoch"
	headerGrant        = "Mangopost-Grant"
	headerRefused      = "Mangopost-Refused"

	ownHeaderPrefix = "Mangopost"
)

// hopByHopHeaders apply to a single connection only and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true, // set from the length of the body
}

// endToEndHeaders returns the headers to forward. Hop-by-hop headers and headers with
// this project's own prefix are never forwarded, from callers or from targets.
func endToEndHeaders(h http.Header) []*pb.Header {
	options := hopByHopOptions(h)
	out := newHeaderList(len(h))
	for name, values := range h {
		if hopByHopHeaders[name] || options[name] || isOwnHeader(name) {
			continue
		}
		for _, value := range values {
			out.add(name, value)
		}
	}
	return out.headers
}

// headerList builds a list of headers, with a single allocation for the expected
// number of them.
type headerList struct {
	headers []*pb.Header
	storage []pb.Header
}

func newHeaderList(expected int) *headerList {
	return &headerList{headers: make([]*pb.Header, 0, expected), storage: make([]pb.Header, expected)}
}

func (l *headerList) add(name, value string) {
	if len(l.storage) == 0 {
		l.storage = make([]pb.Header, 1)
	}
	header := &l.storage[0]
	l.storage = l.storage[1:]
	header.Name = name
	header.Value = value
	l.headers = append(l.headers, header)
}

// isOwnHeader reports whether a header has this project's own prefix. An underscore
// counts as a dash, as some targets treat them alike.
func isOwnHeader(name string) bool {
	rest, ok := strings.CutPrefix(name, ownHeaderPrefix)
	return ok && rest != "" && (rest[0] == '-' || rest[0] == '_')
}

// hopByHopOptions returns the headers that the Connection header declares hop-by-hop.
func hopByHopOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// addHeaders adds headers to h, with a single allocation for the values of headers
// that occur once.
func addHeaders(h http.Header, from []*pb.Header) {
	values := make([]string, len(from))
	for i, header := range from {
		name := textproto.CanonicalMIMEHeaderKey(header.Name)
		if earlier, ok := h[name]; ok {
			h[name] = append(earlier, header.Value)
			continue
		}
		values[i] = header.Value
		h[name] = values[i : i+1 : i+1]
	}
}

// maxOwnHeaders is the largest number of headers that this package sets on one request
// or answer.
const maxOwnHeaders = 9

// headerSetter sets headers whose names are in canonical form, with a single
// allocation for all values.
type headerSetter struct {
	header http.Header
	values []string
}

func newHeaderSetter(h http.Header) *headerSetter {
	return &headerSetter{header: h, values: make([]string, 0, maxOwnHeaders)}
}

// set replaces all values of a header by one value.
func (s *headerSetter) set(name, value string) {
	n := len(s.values)
	s.values = append(s.values, value)
	s.header[name] = s.values[n : n+1 : n+1]
}
