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

// CA is a certificate authority that issues certificates for tests.
type CA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewCA returns a CA with a new key.
func NewCA(t testing.TB) *CA {
	t.Helper()
	ca := &CA{key: newKey(t)}
	template := template()
	template.Subject = pkix.Name{CommonName: "test CA"}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, ca.key.Public(), ca.key)
	must.NoError(t, err)
	ca.certificate, err = x509.ParseCertificate(der)
	must.NoError(t, err)
	return ca
}

// WriteFiles writes PEM files of a new certificate for a DNS name, its key and
// the CA certificate, and returns their paths.
func (ca *CA) WriteFiles(t testing.TB, name string) (certificate, key, caCertificate string) {
	t.Helper()
	private := newKey(t)
	template := template()
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, private.Public(), ca.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	must.NoError(t, err)
	dir := t.TempDir()
	return writePEM(t, filepath.Join(dir, "certificate.pem"), "CERTIFICATE", der),
		writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER),
		writePEM(t, filepath.Join(dir, "authority.pem"), "CERTIFICATE", ca.certificate.Raw)
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
