package entry

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform/standin"
)

// A target fails a request that may be repeated, and no other one can run the repeat. A
// refusal with 503 would say that the request has not run.
func TestRequestThatRanIsNotRefused(t *testing.T) {
	for name, script := range map[string]targetScript{
		"failure of the target": func(conn net.Conn, r *http.Request, _ int) bool {
			writeAnswer(conn, 500, r.Header.Get(standin.HeaderID), "", "")
			return true
		},
		"broken connection": func(net.Conn, *http.Request, int) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			target := startScriptedTarget(t, script)
			_, url := newServingNode(t, target)
			status, _, header, err := ask(t, url, safePath, "id", nil)
			assert.NilError(t, err)
			assert.Assert(t, status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "%d", status)
			assert.Equal(t, header.Get("Retry-After"), "")
			assert.Equal(t, len(target.received()), 1)
		})
	}
}
