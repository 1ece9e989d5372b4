package placer

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/wire"
)

// TestLinkMeterCountsOnlyOtherRegions: traffic within the own region and with unknown
// hosts is not counted.
func TestLinkMeterCountsOnlyOtherRegions(t *testing.T) {
	p, store := newTestPlacer()
	store.objects[platform.CellPrefix+"kuching"] = platform.Object{
		Name: platform.CellPrefix + "kuching", Version: 1,
		Value: []byte(`{"cell":"kuching","region":"borneo","hosts":[{"name":"kc-1"}]}`),
	}
	store.objects[platform.CellPrefix+"kl"] = platform.Object{
		Name: platform.CellPrefix + "kl", Version: 1,
		Value: []byte(`{"cell":"kl","region":"my","hosts":[{"name":"kl-2"}]}`),
	}
	count := func(peer string) {
		p.links.count(wire.Traffic{Peer: peer, Cause: wire.CauseSync, Sent: true, Bytes: 40})
	}
	count("kc-1") // not in a record yet
	syncCache(t, p, store)
	count("kc-1")
	count("kc-1")
	count("kl-2")
	p.links.count(wire.Traffic{Peer: "kc-1", Cause: wire.CauseLeases, Bytes: 7})
	var out bytes.Buffer
	p.metrics.set.WritePrometheus(&out)
	for _, line := range []string{
		`mangopost_link_bytes_total{region="borneo",cause="sync",direction="sent"} 80`,
		`mangopost_link_bytes_total{region="borneo",cause="leases",direction="received"} 7`,
	} {
		assert.Assert(t, strings.Contains(out.String(), line), "no %s in\n%s", line, out.String())
	}
	assert.Assert(t, !strings.Contains(out.String(), `region="my"`))
}
