package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// certCheckInterval is the minimum time between checks of the key files for changes.
const certCheckInterval = 5 * time.Second

// Keys names the files of a host's peer certificate. They are reloaded when they
// change, so that keys can be rotated without a restart.
type Keys struct {
	CA, Cert, Key string

	mu            sync.Mutex
	checkedAt     time.Time
	loadedModTime time.Time
	cert          *tls.Certificate
	pool          *x509.CertPool
}

// Config returns a mutual TLS configuration for both ends of a session. Peers are
// authenticated by the CA only, without a name, as hosts are addressed by IP.
func (k *Keys) Config() (*tls.Config, error) {
	if err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // verifyPeer checks the chain instead, for both ends
		VerifyConnection:       k.verifyPeer,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.currentCert() },
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.currentCert() },
		SessionTicketsDisabled: true,
	}, nil
}

func (k *Keys) currentCert() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) >= certCheckInterval && k.checkChanged() {
		// Loading fails if the files are only partly written; the old certificate is
		// used until the next check.
		_ = k.loadLocked()
	}
	return k.cert, nil
}

func (k *Keys) checkChanged() bool {
	k.checkedAt = time.Now()
	return k.newestModTime().After(k.loadedModTime)
}

func (k *Keys) newestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{k.CA, k.Cert, k.Key} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (k *Keys) load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkedAt = time.Now()
	return k.loadLocked()
}

func (k *Keys) loadLocked() error {
	modTime := k.newestModTime()
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return errors.Wrap(err, "load peer certificate")
	}
	pem, err := os.ReadFile(k.CA)
	if err != nil {
		return errors.Wrap(err, "read peer CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Newf("peer CA file %s contains no certificate", k.CA)
	}
	k.cert, k.pool, k.loadedModTime = &cert, pool, modTime
	return nil
}

func (k *Keys) verifyPeer(cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	k.mu.Lock()
	pool := k.pool
	k.mu.Unlock()
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "verify peer certificate")
}
