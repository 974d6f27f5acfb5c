package peer

import (
	"crypto/tls"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/balsamstair/balsamstair/internal/peer/peertest"
)

func configOf(t *testing.T, a *peertest.Authority, name string) *tls.Config {
	t.Helper()
	c, err := TLSConfig(a.Files(t, name))
	must.NoError(t, err)
	return c
}

func TestTLSConfigNamesTheBadFile(t *testing.T) {
	cert, key, ca := peertest.NewAuthority(t).Files(t, TLSName)
	_, err := TLSConfig(cert, ca, ca)
	must.ErrorContains(t, err, "peer: certificate")
	_, err = TLSConfig(cert, key, key)
	must.ErrorContains(t, err, "peer: authorities: no certificate in")
	_, err = TLSConfig(cert, key, ca+"x")
	must.ErrorContains(t, err, "peer: authorities")
}

func TestTLSConfigReadsNewFiles(t *testing.T) {
	a := peertest.NewAuthority(t)
	cert, key, ca := a.Files(t, TLSName)
	c, err := TLSConfig(cert, key, ca)
	must.NoError(t, err)
	before, err := c.GetCertificate(nil)
	must.NoError(t, err)
	newCert, newKey, _ := a.Files(t, TLSName)
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
