package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// sender sends requests through a link from its own source IP, each on a new
// connection.
type sender struct {
	client http.Client
	url    string
}

func newSender(link *Link, ip string) *sender {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &sender{client: http.Client{Transport: transport}, url: "http://" + link.Addr() + "/?work_ms=0"}
}

func (s *sender) send(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

const cutDurationMS = 50

// TestSourceFaultsAffectOnlyThatSource checks that the faults of one source IP don't
// affect connections from another.
func TestSourceFaultsAffectOnlyThatSource(t *testing.T) {
	target := startTarget(t, TargetOptions{})
	link, err := NewLink("a", "127.0.0.1:0", target.Addr())
	assert.NilError(t, err)
	defer link.Close()
	faultySender, otherSender := newSender(link, "127.0.1.1"), newSender(link, "127.0.1.2")
	ip := netip.MustParseAddr("127.0.1.1")
	done := make(chan error, 1)

	link.SetSourceFaults(ip, SourceFaults{Refuse: true})
	assert.Assert(t, faultySender.send(t.Context()) != nil)
	assert.NilError(t, otherSender.send(t.Context()))
	waitForRuns(t, target, 1)

	// Data to the source is held, and delivered when the cut ends.
	link.SetSourceFaults(ip, SourceFaults{CutDown: true})
	go func() { done <- faultySender.send(t.Context()) }()
	waitForRuns(t, target, 2)
	assert.NilError(t, otherSender.send(t.Context()))
	assert.Equal(t, len(done), 0)
	link.SetSourceFaults(ip, SourceFaults{})
	assert.NilError(t, <-done)

	// Data from the source is held: its request runs only after the cut ends.
	link.SetSourceFaults(ip, SourceFaults{CutUp: true})
	go func() { done <- faultySender.send(t.Context()) }()
	assert.NilError(t, otherSender.send(t.Context()))
	assert.NilError(t, sleep(t.Context(), milliseconds(cutDurationMS)))
	assert.Equal(t, len(target.Runs()), 4)
	link.SetSourceFaults(ip, SourceFaults{})
	assert.NilError(t, <-done)
	assert.Equal(t, len(target.Runs()), 5)
}

// TestRefusingSourceResetsOpenConnections checks that refusing a source also resets
// its connections with a request in progress.
func TestRefusingSourceResetsOpenConnections(t *testing.T) {
	target := startTarget(t, TargetOptions{})
	link, err := NewLink("a", "127.0.0.1:0", target.Addr())
	assert.NilError(t, err)
	defer link.Close()
	refusedSender := newSender(link, "127.0.1.1")
	ip := netip.MustParseAddr("127.0.1.1")
	done := make(chan error, 1)
	link.SetSourceFaults(ip, SourceFaults{CutDown: true})
	go func() { done <- refusedSender.send(t.Context()) }()
	waitForRuns(t, target, 1)
	link.SetSourceFaults(ip, SourceFaults{Refuse: true})
	assert.Assert(t, <-done != nil)
	link.SetSourceFaults(ip, SourceFaults{})
	assert.NilError(t, refusedSender.send(t.Context()))
}
