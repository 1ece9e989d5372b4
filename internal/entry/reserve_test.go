package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/loadreport"
	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// Deployments whose terms name neither contract are served as before.
func TestCapacityIsReservedUnderContractsOnly(t *testing.T) {
	for contract, want := range map[string]bool{"": false, "other": false, platform.ContractPlaces: true, platform.ContractPressure: true} {
		n := &Node{}
		n.settings.Store(&platform.Settings{Contracts: []string{"more", contract}})
		assert.Equal(t, n.reservesUrgent(), want, contract)
	}
}

// Reports of a target reach the pool with the outcome of its requests: one that refuses
// each request while it reports free slots is no longer believed.
func TestLoadReportsReachPool(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 503, r.Header.Get(standin.HeaderID), "", standin.LineNotRun+standin.LineIdle)
		return true
	})
	n, url := newServingNode(t, target)
	reports := n.counters.set.GetOrCreateCounter(`mangopost_entry_load_reports_total{service="s"}`)
	for i := 0; reports.Get() < 10; i++ {
		assert.Assert(t, i < 100, "%d reports", reports.Get())
		r, err := http.NewRequest(http.MethodGet, url+safePath, nil)
		assert.NilError(t, err)
		r.Host = "host.example"
		r.Header.Set(standin.HeaderID, fmt.Sprintf("id-%d", i))
		r.Header.Set(standin.HeaderDeadline, "300")
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		time.Sleep(10 * time.Millisecond) // the target cools down after a refusal
	}
	s := n.allServices()["s"]
	a := pool.Action{Start: true, Target: keyrange.Owner{Target: "t0", Run: 1, Addr: target.listener.Addr().String()}}
	regained := false
	s.updatePool(func(p *pool.Pool) {
		for range 20 {
			idle := loadreport.Load{Slots: 6, Pace: 1}
			regained = regained || p.RecordLoad(steadyClock(), a, idle, time.Millisecond, pool.Answered) == loadreport.Regained
		}
	})
	assert.Assert(t, regained, "the reports were still believed")
}
