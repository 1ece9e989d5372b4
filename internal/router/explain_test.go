package router

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExplainReturnsStagesOfNewestRequests(t *testing.T) {
	e := &explainer{host: "h1"}
	ingress := traceLine{Stage: "ingress", Target: "t1", Outcome: "ran", TookUS: 7}
	gateway := traceLine{
		Stage: "gateway", Target: "t2", Outcome: "not-run", Reason: "no-lease", OwnerEpoch: 3, GatewayEpoch: 1 << 40, WaitedUS: 5, TookUS: 6,
	}
	e.add("a", ingress)
	e.add("b", ingress)
	e.add("a", gateway)
	ingress.Host, gateway.Host = "h1", "h1"
	assert.DeepEqual(t, e.find("a"), []traceLine{ingress, gateway})
	assert.DeepEqual(t, e.find("b"), []traceLine{ingress})
	assert.DeepEqual(t, e.find("c"), []traceLine{})
	assert.DeepEqual(t, e.find(""), []traceLine{})
	for i := range maxStoredStages {
		e.add("n"+strconv.Itoa(i), ingress)
	}
	assert.DeepEqual(t, e.find("a"), []traceLine{})
	assert.DeepEqual(t, e.find("n0"), []traceLine{ingress})
}

func TestExplainStoresIDsUpToMaximumLength(t *testing.T) {
	e := &explainer{host: "h1"}
	longest := strings.Repeat("x", maxRequestIDBytes)
	e.add(longest, traceLine{Stage: "ingress"})
	e.add(longest+"y", traceLine{Stage: "gateway"})
	assert.DeepEqual(t, e.find(longest), []traceLine{{Stage: "ingress", Host: "h1"}})
	assert.DeepEqual(t, e.find(longest+"y"), []traceLine{})
}

func TestExplainBoundsStoredNames(t *testing.T) {
	e := &explainer{host: "h1"}
	e.add("a", traceLine{Stage: "gateway", Target: "t1"})
	for i := range maxStoredNames {
		e.add("b", traceLine{Stage: "gateway", Target: "n" + strconv.Itoa(i)})
	}
	assert.Equal(t, len(e.names.names), maxStoredNames)
	e.add("c", traceLine{Stage: "gateway", Target: "t1"})
	assert.DeepEqual(t, e.find("c"), []traceLine{{Stage: "gateway", Host: "h1", Target: "t1"}})
}
