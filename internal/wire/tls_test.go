package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// authority is a certificate authority for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	return authority{cert: cert, key: key}
}

// issue writes the certificate files of a host to dir and returns their names.
func (a authority) issue(t *testing.T, dir string, serial int64) *Keys {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	keys := &Keys{CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	writePEM(t, keys.CA, "CERTIFICATE", a.cert.Raw)
	writePEM(t, keys.Cert, "CERTIFICATE", raw)
	writePEM(t, keys.Key, "PRIVATE KEY", der)
	return keys
}

func writePEM(t *testing.T, name, kind string, raw []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	assert.NilError(t, os.WriteFile(name, data, 0o600))
}

func startTLSServer(t *testing.T, keys *Keys) string {
	t.Helper()
	cfg, err := keys.Config()
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Server{Self: bob, TLS: cfg, Handler: echo}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, l) }()
	return l.Addr().String()
}

func openWithKeys(t *testing.T, addr string, keys *Keys) error {
	t.Helper()
	var cfg *tls.Config
	if keys != nil {
		var err error
		cfg, err = keys.Config()
		assert.NilError(t, err)
	}
	dialer := &Dialer{Self: alice, TLS: cfg}
	defer dialer.Close()
	_, err := dialer.Open(t.Context(), addr, pb.StreamKind_STREAM_KIND_REQUEST)
	return err
}

func TestPeersNeedTheSameCA(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	addr := startTLSServer(t, ours.issue(t, t.TempDir(), 2))
	assert.NilError(t, openWithKeys(t, addr, ours.issue(t, t.TempDir(), 3)))
	assert.Assert(t, openWithKeys(t, addr, theirs.issue(t, t.TempDir(), 4)) != nil)
	assert.Assert(t, openWithKeys(t, addr, nil) != nil)
}

func TestCertificateIsReloadedAfterChange(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	keys := ca.issue(t, dir, 10)
	_, err := keys.Config()
	assert.NilError(t, err)
	ca.issue(t, dir, 11)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(keys.Cert, later, later))
	keys.checkedAt = time.Time{} // as if the interval had passed
	cert, err := keys.currentCert()
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	assert.NilError(t, err)
	assert.Equal(t, leaf.SerialNumber.Int64(), int64(11))
}
