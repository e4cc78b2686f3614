package raftnode

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Tests that a member's certificate is accepted only for its own cluster, and that the certificate of a follower or an
// operator is not accepted for a member's, even if its name looks like a member id.
func TestVerifyMember(t *testing.T) {
	t.Parallel()
	authority := newAuthority(t, "test")
	for commonName, want := range map[string]uint64{
		"test/member/3":              0,
		memberCommonName("test", 3):  3,
		memberCommonName("test2", 3): 0,
		"test/follower/3":            0,
		"test/operator/3":            0,
		"test/3x":                    0,
		memberCommonName("test", 0):  0,
	} {
		t.Run(commonName, func(t *testing.T) {
			encoded, _, err := authority.issueCertificate(commonName)
			if err != nil {
				t.Fatal(err)
			}
			block, _ := pem.Decode(encoded)
			certificate, err := x509.ParseCertificate(block.Bytes)
			if err != nil {
				t.Fatal(err)
			}
			state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}
			if id, err := VerifyMember("test", state); id != want || (err == nil) != (want > 0) {
				t.Errorf("VerifyMember: got member %d, error %v", id, err)
			}
		})
	}
}

// Tests that certificate files can be read back and are not overwritten, and that the loaded authority can issue the
// certificate of a further member.
func TestCertificateFiles(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	written := newAuthority(t, "c")
	if err := errors.Join(written.Write(dir), written.WriteMembers(dir, []uint64{1, 2})); err != nil {
		t.Fatal(err)
	}
	if err := written.Write(dir); !errors.Is(err, fs.ErrExist) {
		t.Errorf("second Write of the authority: got error %v, want fs.ErrExist", err)
	}
	if err := written.WriteMembers(dir, []uint64{1}); !errors.Is(err, fs.ErrExist) {
		t.Errorf("second WriteMembers of a member: got error %v, want fs.ErrExist", err)
	}
	loaded, err := LoadAuthority(dir)
	if err != nil || loaded.Cluster != "c" {
		t.Fatalf("LoadAuthority: got %+v, error %v, want cluster \"c\"", loaded, err)
	}
	if _, err := LoadMemberCredentials(dir, 2); err != nil {
		t.Error(err)
	}
	if _, err := LoadMemberCredentials(dir, 3); err == nil {
		t.Error("credentials of member 3, which has no certificate: got no error")
	}
	if _, _, err := loaded.IssueMember(3); err != nil {
		t.Error(err)
	}
}

// Tests that an authority whose key is of another type than ECDSA is rejected with an error that names both types.
func TestLoadAuthorityWithOtherKeyType(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	writeEd25519Authority(t, dir)
	_, err := LoadAuthority(dir)
	const want = "authority: the key is of type ed25519.PrivateKey, want *ecdsa.PrivateKey"
	if err == nil || err.Error() != want {
		t.Errorf("LoadAuthority: got error %v, want %q", err, want)
	}
}

// writeEd25519Authority writes the certificate and the key of an authority with an Ed25519 key.
func writeEd25519Authority(t *testing.T, dir string) {
	t.Helper()
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template, err := newTemplate("c")
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		authorityFile:    {Type: pemCertificate, Bytes: certificate},
		authorityKeyFile: {Type: pemPrivateKey, Bytes: key},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), keyMode); err != nil {
			t.Fatal(err)
		}
	}
}

// Tests that a member whose clock is up to an hour behind the issuer's clock accepts a new certificate.
func TestCertificateClockSkew(t *testing.T) {
	t.Parallel()
	credentials, err := newAuthority(t, "c").IssueCredentials(1)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(credentials.Certificate.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, offset := range []time.Duration{-59 * time.Minute, time.Hour, 24 * time.Hour} {
		_, err := leaf.Verify(x509.VerifyOptions{
			Roots:       credentials.Authority,
			CurrentTime: time.Now().Add(offset),
			KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		if err != nil {
			t.Errorf("certificate verified with a clock offset of %v: %v", offset, err)
		}
	}
}
