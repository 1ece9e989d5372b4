package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform/standin"
)

// A target in trouble sends a status line whose status is none. The bytes are no answer:
// the caller is told that the outcome is not known, and neither they nor what follows on
// the connection reach it or the next caller.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const fields = "\r\n" + standin.HeaderID + ": ID\r\nContent-Length: "
	for name, line := range map[string]string{
		"000":             "HTTP/1.1 000 x",
		"000 alone":       "HTTP/1.1 000",
		"001":             "HTTP/1.1 001 x",
		"099":             "HTTP/1.1 099 x",
		"four digits":     "HTTP/1.1 1000 x",
		"plus sign":       "HTTP/1.1 +20 x",
		"minus sign":      "HTTP/1.1 -20 x",
		"letters":         "HTTP/1.1 abc x",
		"empty":           "HTTP/1.1  x",
		"nothing":         "HTTP/1.1",
		"no protocol":     "200 OK",
		"other protocol":  "HTTP/9.9 200 OK",
		"bytes, no text":  "\x00\xff\xfe\x01",
		"switch protocol": "HTTP/1.1 101 Switching Protocols",
	} {
		for i, rest := range []string{"4\r\n\r\nfake", "0\r\n\r\n", "4\r\n\r\nfake", "0\r\n\r\n"} {
			position := i / 2 // on the connection, after good answers
			t.Run(fmt.Sprintf("%s at %d, %d", name, position, i), func(t *testing.T) {
				target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, number int) bool {
					id := r.Header.Get(standin.HeaderID)
					if id == "bad" {
						_, _ = io.WriteString(conn, strings.ReplaceAll(line+fields+rest, "ID", id))
						writeAnswer(conn, 200, id, "after", "") // what follows belongs to no request
						return true
					}
					writeAnswer(conn, 200, id, "good", "")
					return true
				})
				_, url := newServingNode(t, target)
				for i := range position {
					status, body, _, err := ask(t, url, unsafePath, fmt.Sprint("before-", i), strings.NewReader("x"))
					assert.NilError(t, err)
					assert.Equal(t, fmt.Sprint(status, body), "200good")
				}
				status, body, _, err := ask(t, url, unsafePath, "bad", strings.NewReader("x"))
				assert.NilError(t, err)
				assert.Equal(t, fmt.Sprint(status, body), "502")
				status, body, _, err = ask(t, url, unsafePath, "next", strings.NewReader("x"))
				assert.NilError(t, err)
				assert.Equal(t, fmt.Sprint(status, body), "200good")
			})
		}
	}
}

// A status line without a reason, or with one that is no text, is a valid answer of the
// target and is passed on.
func TestStatusWithoutTextualReasonIsAnAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"no reason": "HTTP/1.1 200", "empty reason": "HTTP/1.1 200 ", "bytes": "HTTP/1.1 200 \xff\xfe", "201": "HTTP/1.1 201 x",
	} {
		t.Run(name, func(t *testing.T) {
			target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
				_, _ = fmt.Fprintf(conn, "%s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", line, standin.HeaderID, r.Header.Get(standin.HeaderID))
				return true
			})
			_, url := newServingNode(t, target)
			status, body, _, err := ask(t, url, unsafePath, "id-1", strings.NewReader("x"))
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(status/100, body), "2body")
		})
	}
}
