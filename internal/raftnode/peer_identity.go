package raftnode

import (
	"crypto/tls"
	"errors"
	"fmt"
	"strings"
)

// anyMember as the expected member of verifyPeer accepts all members of the cluster.
const anyMember = 0

var errNoCertificate = errors.New("no certificate")

// verifyPeer returns the member of this cluster at the other end of a connection, which must
// be the expected one. The certificate was verified against the authority in the handshake.
// The cluster's name is checked here, so that a member of another cluster at a wrong address is rejected.
func (t *transport) verifyPeer(state tls.ConnectionState, expected uint64) (uint64, error) {
	id, err := VerifyMember(t.cluster, state)
	if err != nil {
		return 0, err
	}
	if expected != anyMember && id != expected {
		return 0, fmt.Errorf("member %d answers where member %d is expected", id, expected)
	}
	return id, nil
}

// VerifyMember returns the member of a cluster at the other end of a connection. It is an
// error if the peer's certificate is not that of a member of the cluster.
func VerifyMember(cluster string, state tls.ConnectionState) (uint64, error) {
	if len(state.PeerCertificates) == 0 {
		return 0, errNoCertificate
	}
	name := state.PeerCertificates[0].Subject.CommonName
	peerCluster, number, ok := cutLast(name, "/")
	var id uint64
	_, err := fmt.Sscanf(number, "%d", &id)
	if !ok || err != nil || peerCluster != cluster || name != memberCommonName(cluster, id) {
		return 0, fmt.Errorf("certificate of %q, not of a member of %q", name, cluster)
	}
	return id, nil
}

// memberCommonName returns the common name in a member's certificate.
func memberCommonName(cluster string, id uint64) string { return fmt.Sprintf("%s/%d", cluster, id) }

// cutLast cuts s around the last separator. Without one it returns s, "" and false.
func cutLast(s, separator string) (before, after string, ok bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
