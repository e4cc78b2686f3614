package raftnode

import (
	"crypto/x509"
	"fmt"
	"strconv"
	"strings"
)

// Roles in the certificates of operators and followers, whose common names are "cluster/role/name". The common name of
// a member is "cluster/id".
const (
	operatorRole = "operator"
	followerRole = "follower"
)

// Identity identifies the subject of a certificate: a member, an operator or a follower.
type Identity struct {
	Cluster  string
	Member   uint64 // member id, or 0 if the subject is not a member
	Operator string // operator name, or "" if the subject is not an operator
	Follower string // follower name, or "" if the subject is not a follower
}

// String returns the subject's role, its id or name, and its cluster.
func (i Identity) String() string {
	switch {
	case i.Operator != "":
		return fmt.Sprintf("operator %q of cluster %q", i.Operator, i.Cluster)
	case i.Follower != "":
		return fmt.Sprintf("follower %q of cluster %q", i.Follower, i.Cluster)
	default:
		return fmt.Sprintf("member %d of cluster %q", i.Member, i.Cluster)
	}
}

// IdentityOf returns the identity in a certificate. It does not verify the certificate's signature.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	commonName := certificate.Subject.CommonName
	prefix, name, ok := cutLast(commonName, "/")
	if cluster, isOperator := strings.CutSuffix(prefix, "/"+operatorRole); isOperator {
		return Identity{Cluster: cluster, Operator: name}, nil
	}
	if cluster, isFollower := strings.CutSuffix(prefix, "/"+followerRole); isFollower {
		return Identity{Cluster: cluster, Follower: name}, nil
	}
	member, err := strconv.ParseUint(name, 10, 64)
	identity := Identity{Cluster: prefix, Member: member}
	if !ok || err != nil || member == 0 || commonName != memberCommonName(prefix, member) {
		return identity, fmt.Errorf("certificate of %q does not identify a member, an operator or a follower", commonName)
	}
	return identity, nil
}

// roleCommonName returns the common name in the certificate of an operator or a follower.
func roleCommonName(cluster, role, name string) string {
	return cluster + "/" + role + "/" + name
}
