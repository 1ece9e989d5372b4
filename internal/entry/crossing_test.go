package entry

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// Deployments whose terms do not name places are served as before, unless the flag says
// otherwise.
func TestCrossingIsLearnedWhereTermsNamePlaces(t *testing.T) {
	for _, c := range []struct {
		mode     CrossingMode
		contract string
		want     bool
	}{
		{"", "", false},
		{CrossingAuto, platform.ContractPressure, false},
		{CrossingAuto, platform.ContractPlaces, true},
		{CrossingFixed, platform.ContractPlaces, false},
		{CrossingLearned, "", true},
	} {
		n := &Node{}
		n.settings.Store(&platform.Settings{Contracts: []string{c.contract}})
		n.SetCrossing(Crossing{Mode: c.mode})
		assert.Equal(t, n.crossingConfig().Learned, c.want, "%+v", c)
	}
}

// Guards against requests that no metric attributes to a distance and a reason.
func TestSendsAreCountedByDistance(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, http.StatusOK, r.Header.Get(standin.HeaderID), "1234567", "")
		return true
	})
	n, url := newServingNode(t, target)
	status, _, _, err := ask(t, url, safePath, "a", strings.NewReader("12345"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	n.updateCrossing()
	var out bytes.Buffer
	n.counters.set.WritePrometheus(&out)
	labels := `{service="s",distance="data-centre",reason="near"} `
	assert.Assert(t, strings.Contains(out.String(), `mangopost_entry_sends_total`+labels+"1\n"), out.String())
	assert.Assert(t, strings.Contains(out.String(), `mangopost_entry_sent_bytes_total`+labels+"12\n"), out.String())
}
