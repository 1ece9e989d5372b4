package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// A router without a configuration knows no service. It must answer 503, as the fault
// is not the request's, instead of reporting an unknown service.
func TestUnconfiguredRouterAnswersUnavailable(t *testing.T) {
	r := New(Config{Self: ingressRun, Cell: "kl", Timing: lease.DefaultTiming}, nil, hclog.NewNullLogger())
	in := &ingress{router: r, listener: Listener{TrustClientHeader: true}}
	w := httptest.NewRecorder()
	in.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/katalog/a", http.NoBody))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(headerOutcome), "not-run")
	assert.Equal(t, w.Header().Get("Retry-After"), "1")
}
