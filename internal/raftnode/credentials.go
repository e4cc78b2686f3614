package raftnode

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// Credentials are the certificate and key of a member, operator or follower, and the authority
// of its cluster.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// Identity returns the identity to which these credentials were issued.
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

// TLSConfig returns a configuration for both sides of a connection: each presents its
// certificate and verifies that the authority has signed the other's. Host names are not
// verified: the identity of the other side is in its certificate, see [IdentityOf].
func (c Credentials) TLSConfig() *tls.Config {
	return &tls.Config{
		Certificates:          []tls.Certificate{c.Certificate},
		ClientAuth:            tls.RequireAnyClientCert,
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true, // of the host name; verifyAuthority takes its place
		VerifyPeerCertificate: c.verifyAuthority,
	}
}

// verifyAuthority verifies that the authority has signed the peer's certificate. Otherwise
// its error wraps [ErrUnknownAuthority].
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
