package peertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a key of its own.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{key: newKey(t)}
	template := template()
	template.Subject = pkix.Name{CommonName: "test authority"}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	must.NoError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	must.NoError(t, err)
	return a
}

// Files writes PEM files of a new certificate for a DNS name, its key and the
// authority, and returns their paths.
func (a *Authority) Files(t testing.TB, name string) (certificate, key, authority string) {
	t.Helper()
	private := newKey(t)
	template := template()
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	must.NoError(t, err)
	dir := t.TempDir()
	return writePEM(t, filepath.Join(dir, "certificate.pem"), "CERTIFICATE", der),
		writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER),
		writePEM(t, filepath.Join(dir, "authority.pem"), "CERTIFICATE", a.certificate.Raw)
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	return key
}

func template() *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(time.Hour),
	}
}

func writePEM(t testing.TB, path, kind string, der []byte) string {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}
