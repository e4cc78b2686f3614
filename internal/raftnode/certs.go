package raftnode

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority signs the certificates of a cluster's members.
type Authority struct {
	Cluster string
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
}

// Files of a cluster's certificates.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority-key.pem" // kept away from the instances
	certificateYears = 5
)

func serial() (*big.Int, error) { return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) }

// NewAuthority makes the authority of a new cluster.
func NewAuthority(cluster string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	n, err := serial()
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: n, Subject: pkix.Name{CommonName: cluster}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().AddDate(certificateYears, 0, 0), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cluster, cert, key}, nil
}

// Issue makes a member's certificate and key, in PEM.
func (a *Authority) Issue(member uint64) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	n, err := serial()
	if err != nil {
		return nil, nil, err
	}
	t := &x509.Certificate{SerialNumber: n, Subject: pkix.Name{CommonName: memberName(a.Cluster, member)}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().AddDate(certificateYears, 0, 0), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	key, err = encodeKey(k)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), key, err
}

func encodeKey(k *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// Pool is the authority as members check against it.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Credentials issues and loads a member's credentials.
func (a *Authority) Credentials(member uint64) (c Credentials, err error) {
	certificate, key, err := a.Issue(member)
	if err != nil {
		return c, err
	}
	if c.Certificate, err = tls.X509KeyPair(certificate, key); err != nil {
		return c, err
	}
	c.Authority = a.Pool()
	return c, nil
}

// writeNew writes a file that is not there yet.
func writeNew(dir, name string, text []byte, mode os.FileMode) error {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Sync(), f.Close())
}

// Write writes the authority's certificate and key into a folder. A file that is there is
// never written over: the error is [fs.ErrExist].
func (a *Authority) Write(dir string) error {
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := writeNew(dir, authorityKeyFile, key, 0o600); err != nil {
		return err
	}
	return writeNew(dir, authorityFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw}), 0o644)
}

// WriteMembers writes a certificate and a key for each member, as [Authority.Write] does.
func (a *Authority) WriteMembers(dir string, members []uint64) error {
	for _, m := range members {
		certificate, key, err := a.Issue(m)
		if err != nil {
			return err
		}
		if err := writeNew(dir, fmt.Sprintf("member-%d-key.pem", m), key, 0o600); err != nil {
			return err
		}
		if err := writeNew(dir, fmt.Sprintf("member-%d.pem", m), certificate, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// LoadAuthority reads an authority back, to issue a certificate for a further member.
func LoadAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, authorityFile), filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil || !ok {
		return nil, fmt.Errorf("authority: no certificate with an ECDSA key: %w", err)
	}
	return &Authority{cert.Subject.CommonName, cert, key}, nil
}

// LoadCredentials reads a member's credentials from a folder.
func LoadCredentials(dir string, member uint64) (c Credentials, err error) {
	c.Certificate, err = tls.LoadX509KeyPair(filepath.Join(dir, fmt.Sprintf("member-%d.pem", member)), filepath.Join(dir, fmt.Sprintf("member-%d-key.pem", member)))
	if err != nil {
		return c, fmt.Errorf("member %d: %w", member, err)
	}
	text, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return c, fmt.Errorf("authority: %w", err)
	}
	c.Authority = x509.NewCertPool()
	if !c.Authority.AppendCertsFromPEM(text) {
		return c, fmt.Errorf("authority: %s holds no certificate", authorityFile)
	}
	return c, nil
}
