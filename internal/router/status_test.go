package router

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatusTarget answers requests for /good, and writes a raw status line to the
// others, followed by an answer that belongs to no request.
type invalidStatusTarget struct{ line string }

func (s invalidStatusTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	if r.URL.Path == "/good" || r.URL.Path == "/mangopost/health" {
		w.Header().Set(headerRequestID, id)
		_, _ = io.WriteString(w, "good")
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	body := map[string]string{"/empty": "", "/body": "fake"}[r.URL.Path]
	_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", s.line, headerRequestID, id, len(body), body)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nafter", headerRequestID, id)
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// A target in trouble sends a status line whose status is none. The bytes are no answer:
// the outcome is not known, and neither they nor what follows on the connection reach a
// caller, at any position of a kept connection.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for name, line := range map[string]string{
		"000": "HTTP/1.1 000 x", "000 alone": "HTTP/1.1 000", "001": "HTTP/1.1 001 x", "099": "HTTP/1.1 099 x",
		"four digits": "HTTP/1.1 1000 x", "plus sign": "HTTP/1.1 +20 x", "minus sign": "HTTP/1.1 -20 x",
		"letters": "HTTP/1.1 abc x", "empty": "HTTP/1.1  x", "nothing": "HTTP/1.1", "no protocol": "200 OK",
		"other protocol": "HTTP/9.9 200 OK", "bytes, no text": "\x00\xff\xfe\x01", "switch protocol": "HTTP/1.1 101 x",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startPair(t, invalidStatusTarget{line}, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
			for _, path := range []string{"/body", "/good", "/empty", "/good", "/empty", "/good", "/good", "/body", "/good"} {
				response := p.post(t, path)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				if path == "/good" {
					assert.Equal(t, fmt.Sprint(response.StatusCode, string(body)), "200good")
					continue
				}
				assert.Equal(t, response.StatusCode, 502)
				assert.Equal(t, response.Header.Get(headerOutcome), "unknown")
			}
		})
	}
}
