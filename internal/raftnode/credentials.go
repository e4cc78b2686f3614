package raftnode

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// Credentials are the certificate and key of a member, operator or follower, and the authority's certificate of its
// cluster.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// Identity returns the identity in the certificate.
func (c Credentials) Identity() (Identity, error) {
	if len(c.Certificate.Certificate) == 0 {
		return Identity{}, errNoCertificate
	}
	certificate, err := x509.ParseCertificate(c.Certificate.Certificate[0])
	if err != nil {
		return Identity{}, err
	}
	return IdentityOf(certificate)
}

// TLSConfig returns a TLS configuration for both sides of a connection. Each side presents its certificate and verifies
// that the authority has signed the peer's. Host names are not verified: the peer's identity is the one in its
// certificate (see [IdentityOf]).
func (c Credentials) TLSConfig() *tls.Config {
	return &tls.Config{
		Certificates:          []tls.Certificate{c.Certificate},
		ClientAuth:            tls.RequireAnyClientCert,
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true, // skips the check of the host name; verifyAuthority verifies the certificate
		VerifyPeerCertificate: c.verifyAuthority,
	}
}

// verifyAuthority verifies that the authority has signed the peer's certificate. If not, its error wraps
// [ErrUnknownAuthority].
func (c Credentials) verifyAuthority(rawCertificates [][]byte, _ [][]*x509.Certificate) error {
	if len(rawCertificates) == 0 {
		return errNoCertificate
	}
	leaf, err := x509.ParseCertificate(rawCertificates[0])
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{Roots: c.Authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := leaf.Verify(options); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownAuthority, err)
	}
	return nil
}
