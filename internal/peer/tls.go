package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// TLSName is the DNS name that the certificate of every instance must bear, so
// that a certificate which the same authority gave for another purpose opens
// no session.
const TLSName = "peer.balsamstair"

// TLSConfig returns settings for TLS in both directions of a Transport, from
// PEM files: an instance's certificate and key, and the authorities whose
// certificates are accepted. Both sides must show a certificate for TLSName.
// The certificate and key are read again at each handshake, so that new files
// take effect without a restart; while they cannot be read, the last ones
// serve. It returns an error if any of the files cannot be used now.
func TLSConfig(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	first, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer: certificate")
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "peer: authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("peer: authorities: no certificate in %s", authorityFile)
	}
	load := func() *tls.Certificate {
		if c, err := tls.LoadX509KeyPair(certFile, keyFile); err == nil {
			return &c
		}
		return &first
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    authorities,
		ClientCAs:  authorities,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ServerName: TLSName,
		// A resumed session would not look at the certificate again.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return load(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return load(), nil
		},
		// A client checks the name by itself, a server does not.
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(TLSName)
		},
	}, nil
}
