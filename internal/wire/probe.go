package wire

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// Probe pings the peer at addr and drops its session if it does not answer within
// limit, so that every exchange with it ends. Only one probe of a peer runs at a
// time.
func (d *Dialer) Probe(addr string, limit time.Duration) {
	p := d.peer(addr)
	p.mu.Lock()
	session := p.session
	if p.probing || session == nil {
		p.mu.Unlock()
		return
	}
	p.probing = true
	p.mu.Unlock()
	defer p.endProbe()
	if answersPing(session, limit) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == session {
		p.reset()
		p.failedAt = time.Now()
	}
}

func (p *peer) endProbe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing = false
}

func answersPing(session *yamux.Session, limit time.Duration) bool {
	done := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		done <- err
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-timer.C:
		return false
	}
}

// Ping pings the peer at addr, connecting first if necessary, and waits for its
// answer.
func (d *Dialer) Ping(ctx context.Context, addr string) error {
	session, err := d.session(ctx, addr)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		done <- err
	}()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		d.peer(addr).recordNoAnswer(session, ctx.Err() != nil)
		return errors.Wrapf(err, "ping %s", addr)
	}
	d.peer(addr).recordAnswer(session)
	return nil
}
