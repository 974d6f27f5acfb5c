package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// TLSName is the DNS name that the certificate of every instance must contain,
// so that a certificate that the same CA issued for another purpose cannot open
// a session.
const TLSName = "peer.balsamstair"

// TLSConfig returns TLS settings for both directions of a Transport, from PEM
// files: the certificate and key of the instance, and the certificates of the
// accepted CAs. Both sides must present a certificate for TLSName. The
// certificate and key are read again at each handshake, so that new files take
// effect without a restart; while they cannot be read, those that were read last
// are used. It returns an error if any of the files is unusable when it is
// called.
func TLSConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	initial, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer: certificate")
	}
	caPEM, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer: CA certificates")
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Newf("peer: CA certificates: no certificate in %s", caFile)
	}
	var latest atomic.Pointer[tls.Certificate]
	latest.Store(&initial)
	load := func() *tls.Certificate {
		if c, err := tls.LoadX509KeyPair(certFile, keyFile); err == nil {
			latest.Store(&c)
		}
		return latest.Load()
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    caPool,
		ClientCAs:  caPool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ServerName: TLSName,
		// A resumed session would not verify the certificate again.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return load(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return load(), nil
		},
		// crypto/tls verifies the name on the client side only.
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(TLSName)
		},
	}, nil
}
