package raftnode

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Names of certificate and key files. The files of a member, operator or follower are named by its prefix and one of
// the suffixes.
const (
	authorityFile     = "authority.pem"
	authorityKeyFile  = "authority-key.pem" // must not be copied to the instances
	certificateSuffix = ".pem"
	keySuffix         = "-key.pem"
)

const (
	certificateMode os.FileMode = 0o644
	keyMode         os.FileMode = 0o600
)

// memberFilePrefix returns the common prefix of the names of a member's certificate and key files.
func memberFilePrefix(member uint64) string { return fmt.Sprintf("member-%d", member) }

// OperatorFilePrefix returns the common prefix of the names of an operator's certificate and key files.
func OperatorFilePrefix(name string) string { return roleFilePrefix(operatorRole, name) }

// FollowerFilePrefix returns the common prefix of the names of a follower's certificate and key files.
func FollowerFilePrefix(name string) string { return roleFilePrefix(followerRole, name) }

func roleFilePrefix(role, name string) string { return role + "-" + name }

// Write writes the authority's certificate and key into a directory. It does not overwrite an existing file: its error
// then wraps [os.ErrExist].
func (a *Authority) Write(dir string) error {
	key, err := encodePrivateKey(a.key)
	if err != nil {
		return err
	}
	if err := writeNewFile(dir, authorityKeyFile, key, keyMode); err != nil {
		return err
	}
	return writeNewFile(dir, authorityFile, encodeCertificate(a.certificate.Raw), certificateMode)
}

// WriteMembers issues and writes a certificate and a key for each member. Like [Authority.Write], it does not overwrite
// an existing file.
func (a *Authority) WriteMembers(dir string, members []uint64) error {
	for _, member := range members {
		if err := a.writeCertificate(dir, memberFilePrefix(member), memberCommonName(a.Cluster, member)); err != nil {
			return err
		}
	}
	return nil
}

// WriteOperator issues and writes a certificate and a key for an operator.
func (a *Authority) WriteOperator(dir, name string) error {
	return a.writeRoleCertificate(dir, operatorRole, name)
}

// WriteFollower issues and writes a certificate and a key for a follower: an instance that is
// not a member and receives the configuration.
func (a *Authority) WriteFollower(dir, name string) error {
	return a.writeRoleCertificate(dir, followerRole, name)
}

func (a *Authority) writeRoleCertificate(dir, role, name string) error {
	if name == "" || strings.ContainsAny(name, "/\\") {
		return fmt.Errorf("%s name %q is empty or contains a slash", role, name)
	}
	return a.writeCertificate(dir, roleFilePrefix(role, name), roleCommonName(a.Cluster, role, name))
}

// writeCertificate issues a certificate and writes it and its key.
func (a *Authority) writeCertificate(dir, filePrefix, commonName string) error {
	certificate, key, err := a.issueCertificate(commonName)
	if err != nil {
		return err
	}
	if err := writeNewFile(dir, filePrefix+keySuffix, key, keyMode); err != nil {
		return err
	}
	return writeNewFile(dir, filePrefix+certificateSuffix, certificate, certificateMode)
}

// writeNewFile creates, writes and syncs a file. The file must not exist.
func writeNewFile(dir, name string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(filepath.Join(dir, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.Join(err, file.Sync(), file.Close())
}

// LoadAuthority reads an authority from the files that [Authority.Write] has written.
func LoadAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, authorityFile), filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	key, isECDSA := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !isECDSA {
		return nil, fmt.Errorf("authority: the key is of type %T, want %T", pair.PrivateKey, key)
	}
	certificate, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, fmt.Errorf("authority: invalid certificate: %w", err)
	}
	return &Authority{Cluster: certificate.Subject.CommonName, certificate: certificate, key: key}, nil
}

// LoadMemberCredentials reads a member's credentials from a directory.
func LoadMemberCredentials(dir string, member uint64) (Credentials, error) {
	return LoadCredentialFiles(dir, memberFilePrefix(member))
}

// LoadCredentialFiles reads credentials from a directory. filePrefix is the common prefix of the names of the
// certificate and key files, as returned by [OperatorFilePrefix] or [FollowerFilePrefix].
func LoadCredentialFiles(dir, filePrefix string) (Credentials, error) {
	certificateFile := filepath.Join(dir, filePrefix+certificateSuffix)
	keyFile := filepath.Join(dir, filePrefix+keySuffix)
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Credentials{}, fmt.Errorf("%s: %w", filePrefix, err)
	}
	encodedAuthority, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return Credentials{}, fmt.Errorf("authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(encodedAuthority) {
		return Credentials{}, fmt.Errorf("authority: %s contains no PEM certificate", authorityFile)
	}
	return Credentials{Certificate: certificate, Authority: authority}, nil
}
