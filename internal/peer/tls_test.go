package peer

import (
	"crypto/tls"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/peer/peertest"
)

func newTLSConfig(t *testing.T, a *peertest.CA, name string) *tls.Config {
	t.Helper()
	c, err := TLSConfig(a.WriteFiles(t, name))
	must.NoError(t, err)
	return c
}

func TestTLSConfigReportsInvalidFile(t *testing.T) {
	cert, key, ca := peertest.NewCA(t).WriteFiles(t, TLSName)
	_, err := TLSConfig(cert, ca, ca)
	must.ErrorContains(t, err, "peer: certificate")
	_, err = TLSConfig(cert, key, key)
	must.ErrorContains(t, err, "peer: CA certificates: no certificate in")
	_, err = TLSConfig(cert, key, ca+"x")
	must.ErrorContains(t, err, "peer: CA certificates")
}

func TestTLSConfigReloadsFiles(t *testing.T) {
	a := peertest.NewCA(t)
	cert, key, ca := a.WriteFiles(t, TLSName)
	c, err := TLSConfig(cert, key, ca)
	must.NoError(t, err)
	before, err := c.GetCertificate(nil)
	must.NoError(t, err)
	newCert, newKey, _ := a.WriteFiles(t, TLSName)
	must.NoError(t, os.Rename(newCert, cert))
	must.NoError(t, os.Rename(newKey, key))
	after, err := c.GetClientCertificate(nil)
	must.NoError(t, err)
	must.NotEq(t, before.Certificate[0], after.Certificate[0])
	// An incomplete replacement of the files leaves a usable certificate.
	must.NoError(t, os.Remove(key))
	_, err = c.GetCertificate(nil)
	must.NoError(t, err)
}

// Guards against an old certificate, perhaps an expired one, that comes back
// while the files of a later one are being replaced.
func TestTLSConfigKeepsLastReadCertificate(t *testing.T) {
	a := peertest.NewCA(t)
	cert, key, ca := a.WriteFiles(t, TLSName)
	c, err := TLSConfig(cert, key, ca)
	must.NoError(t, err)
	newCert, newKey, _ := a.WriteFiles(t, TLSName)
	must.NoError(t, os.Rename(newCert, cert))
	must.NoError(t, os.Rename(newKey, key))
	rotated, err := c.GetCertificate(nil)
	must.NoError(t, err)
	must.NoError(t, os.Remove(key))
	kept, err := c.GetClientCertificate(nil)
	must.NoError(t, err)
	must.Eq(t, rotated.Certificate[0], kept.Certificate[0])
}
