package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
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

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{cert, key, der}
}

func writePEM(t *testing.T, path, kind string, der []byte) string {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// files writes a certificate for a name, its key and the authority.
func (a *authority) files(t *testing.T, name string) (cert, key, ca string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, private.Public(), a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	must.NoError(t, err)
	dir := t.TempDir()
	return writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", der),
		writePEM(t, filepath.Join(dir, "key.pem"), "EC PRIVATE KEY", keyDER),
		writePEM(t, filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.der)
}

func (a *authority) config(t *testing.T, name string) *tls.Config {
	t.Helper()
	c, err := TLSConfig(a.files(t, name))
	must.NoError(t, err)
	return c
}

func TestTLSConfigNamesTheBadFile(t *testing.T) {
	cert, key, ca := newAuthority(t).files(t, TLSName)
	_, err := TLSConfig(cert, ca, ca)
	must.ErrorContains(t, err, "peer: certificate")
	_, err = TLSConfig(cert, key, key)
	must.ErrorContains(t, err, "peer: authorities: no certificate in")
	_, err = TLSConfig(cert, key, ca+"x")
	must.ErrorContains(t, err, "peer: authorities")
}

func TestTLSConfigReadsNewFiles(t *testing.T) {
	a := newAuthority(t)
	cert, key, ca := a.files(t, TLSName)
	c, err := TLSConfig(cert, key, ca)
	must.NoError(t, err)
	before, err := c.GetCertificate(nil)
	must.NoError(t, err)
	newCert, newKey, _ := a.files(t, TLSName)
	must.NoError(t, os.Rename(newCert, cert))
	must.NoError(t, os.Rename(newKey, key))
	after, err := c.GetClientCertificate(nil)
	must.NoError(t, err)
	must.NotEq(t, before.Certificate[0], after.Certificate[0])
	// Half a change leaves a usable certificate.
	must.NoError(t, os.Remove(key))
	_, err = c.GetCertificate(nil)
	must.NoError(t, err)
}
