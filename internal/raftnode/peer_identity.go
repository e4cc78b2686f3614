package raftnode

import (
	"crypto/tls"
	"errors"
	"fmt"
	"strings"
)

// anyMember, as the expected member of verifyPeer, accepts every member of the cluster.
const anyMember = 0

var errNoCertificate = errors.New("no certificate")

// verifyPeer returns the id of the member at the other end of a connection. It is an error if that is not the expected
// member of this cluster. The handshake has verified the certificate against the authority; the cluster's name is
// verified here, so that a member of another cluster at a wrong address is rejected.
func (t *transport) verifyPeer(state tls.ConnectionState, expected uint64) (uint64, error) {
	id, err := VerifyMember(t.cluster, state)
	if err != nil {
		return 0, err
	}
	if expected != anyMember && id != expected {
		return 0, fmt.Errorf("peer is member %d, want member %d", id, expected)
	}
	return id, nil
}

// VerifyMember returns the id of the member at the other end of a connection. It is an error if the peer's certificate
// is not the certificate of a member of the cluster.
func VerifyMember(cluster string, state tls.ConnectionState) (uint64, error) {
	if len(state.PeerCertificates) == 0 {
		return 0, errNoCertificate
	}
	certificate := state.PeerCertificates[0]
	identity, err := IdentityOf(certificate)
	if err != nil || identity.Cluster != cluster || identity.Member == 0 {
		name := certificate.Subject.CommonName
		return 0, fmt.Errorf("certificate of %q is not the certificate of a member of cluster %q", name, cluster)
	}
	return identity.Member, nil
}

// memberCommonName returns the common name in a member's certificate.
func memberCommonName(cluster string, id uint64) string { return fmt.Sprintf("%s/%d", cluster, id) }

// cutLast cuts s around the last separator. If s contains no separator, it returns s, "" and false.
func cutLast(s, separator string) (before, after string, ok bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
