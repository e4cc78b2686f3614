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
	"strconv"
	"strings"
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

// IssueMember makes a member's certificate and key, in PEM.
func (a *Authority) IssueMember(member uint64) (certificate, key []byte, err error) {
	return a.issue(memberName(a.Cluster, member))
}

func (a *Authority) issue(name string) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	n, err := serial()
	if err != nil {
		return nil, nil, err
	}
	t := &x509.Certificate{SerialNumber: n, Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
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

// CertPool is the authority as members check against it.
func (a *Authority) CertPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// IssueCredentials issues and loads a member's credentials.
func (a *Authority) IssueCredentials(member uint64) (c Credentials, err error) {
	certificate, key, err := a.IssueMember(member)
	if err != nil {
		return c, err
	}
	if c.Certificate, err = tls.X509KeyPair(certificate, key); err != nil {
		return c, err
	}
	c.Authority = a.CertPool()
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
		if err := a.write(dir, memberFile(m), memberName(a.Cluster, m)); err != nil {
			return err
		}
	}
	return nil
}

// WriteOperator writes a certificate and a key with which an operator may ask instances.
func (a *Authority) WriteOperator(dir, name string) error {
	return a.writeNamed(dir, operatorRole, name)
}

// WriteFollower writes a certificate and a key of an instance that is no member and is told the configuration.
func (a *Authority) WriteFollower(dir, name string) error {
	return a.writeNamed(dir, followerRole, name)
}

// Roles of holders that are no members: "cluster/role/name" is in their certificates.
const (
	operatorRole = "operator"
	followerRole = "follower"
)

func (a *Authority) writeNamed(dir, role, name string) error {
	if name == "" || strings.ContainsAny(name, "/\\") {
		return fmt.Errorf("%s %q: a name without slashes is wanted", role, name)
	}
	return a.write(dir, roleFile(role, name), a.Cluster+"/"+role+"/"+name)
}

func roleFile(role, name string) string { return role + "-" + name }

func (a *Authority) write(dir, file, name string) error {
	certificate, key, err := a.issue(name)
	if err != nil {
		return err
	}
	if err := writeNew(dir, file+"-key.pem", key, 0o600); err != nil {
		return err
	}
	return writeNew(dir, file+".pem", certificate, 0o644)
}

func memberFile(member uint64) string { return fmt.Sprintf("member-%d", member) }

// OperatorFilePrefix is the name of an operator's files, without what tells certificate and key.
func OperatorFilePrefix(name string) string { return roleFile(operatorRole, name) }

// FollowerFilePrefix is that of a follower's.
func FollowerFilePrefix(name string) string { return roleFile(followerRole, name) }

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

// LoadMemberCredentials reads a member's credentials from a folder.
func LoadMemberCredentials(dir string, member uint64) (Credentials, error) {
	return LoadCredentialFiles(dir, memberFile(member))
}

// LoadCredentialFiles reads credentials by the name of their files, such as [OperatorFilePrefix] gives.
func LoadCredentialFiles(dir, file string) (c Credentials, err error) {
	c.Certificate, err = tls.LoadX509KeyPair(filepath.Join(dir, file+".pem"), filepath.Join(dir, file+"-key.pem"))
	if err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
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

// Identity is who a certificate was issued to.
type Identity struct {
	Cluster  string
	Member   uint64 // 0: an operator or a follower
	Operator string
	Follower string
}

// IdentityOf reads who holds a certificate.
func IdentityOf(cert *x509.Certificate) (h Identity, err error) {
	name := cert.Subject.CommonName
	cluster, rest, ok := cutLast(name, '/')
	if before, ok := strings.CutSuffix(cluster, "/"+operatorRole); ok {
		return Identity{Cluster: before, Operator: rest}, nil
	}
	if before, ok := strings.CutSuffix(cluster, "/"+followerRole); ok {
		return Identity{Cluster: before, Follower: rest}, nil
	}
	h.Cluster = cluster
	if h.Member, err = strconv.ParseUint(rest, 10, 64); !ok || err != nil || h.Member == 0 || name != memberName(cluster, h.Member) {
		return h, fmt.Errorf("certificate of %q, which is no member's, operator's or follower's", name)
	}
	return h, nil
}

// Identity is who these credentials were issued to.
func (c Credentials) Identity() (Identity, error) {
	if len(c.Certificate.Certificate) == 0 {
		return Identity{}, errors.New("no certificate")
	}
	cert, err := x509.ParseCertificate(c.Certificate.Certificate[0])
	if err != nil {
		return Identity{}, err
	}
	return IdentityOf(cert)
}

// ErrUnknownAuthority says that the other side's certificate is not by this cluster's authority.
var ErrUnknownAuthority = errors.New("its certificate is not by this cluster's authority")

// TLSConfig is a configuration for both sides: each shows its certificate, and checks that the
// other's is by the authority. Host names play no part: who the other side is must be read
// from its certificate.
func (c Credentials) TLSConfig() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{c.Certificate}, ClientAuth: tls.RequireAnyClientCert, MinVersion: tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyPeerCertificate checks the authority, without a host name
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			if len(raw) == 0 {
				return errors.New("no certificate")
			}
			leaf, err := x509.ParseCertificate(raw[0])
			if err != nil {
				return err
			}
			if _, err = leaf.Verify(x509.VerifyOptions{Roots: c.Authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
				return fmt.Errorf("%w: %w", ErrUnknownAuthority, err)
			}
			return nil
		}}
}
