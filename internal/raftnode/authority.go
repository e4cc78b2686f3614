package raftnode

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"
)

const (
	certificateValidityYears = 5
	// maxClockSkew is how much a member's clock may be behind the authority's.
	maxClockSkew     = time.Hour
	serialNumberBits = 120
)

// Types of PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// Authority signs the certificates of a cluster's members, operators and followers.
type Authority struct {
	Cluster     string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates the authority of a new cluster.
func NewAuthority(cluster string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(cluster)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{Cluster: cluster, certificate: certificate, key: key}, nil
}

// newTemplate returns a certificate template with the fields that all certificates share.
func newTemplate(commonName string) (*x509.Certificate, error) {
	serialNumber, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serialNumber,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    time.Now().Add(-maxClockSkew),
		NotAfter:     time.Now().AddDate(certificateValidityYears, 0, 0),
	}, nil
}

// IssueMember creates a member's certificate and private key, both in PEM.
func (a *Authority) IssueMember(member uint64) (certificate, key []byte, err error) {
	return a.issueCertificate(memberCommonName(a.Cluster, member))
}

// issueCertificate creates a certificate with the given common name and its private key, both in PEM.
func (a *Authority) issueCertificate(commonName string) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate(commonName)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	key, err = encodePrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	return encodeCertificate(der), key, nil
}

// encodeCertificate returns a certificate in PEM.
func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
}

// encodePrivateKey returns a private key in PKCS #8 and PEM.
func encodePrivateKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), nil
}

// CertPool returns a pool that holds only the authority's certificate.
func (a *Authority) CertPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// IssueCredentials issues a member's certificate and returns it as credentials.
func (a *Authority) IssueCredentials(member uint64) (Credentials, error) {
	certificate, key, err := a.IssueMember(member)
	if err != nil {
		return Credentials{}, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return Credentials{}, err
	}
	return Credentials{Certificate: pair, Authority: a.CertPool()}, nil
}
