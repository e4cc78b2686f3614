package raftnode

import (
	"crypto/x509"
	"fmt"
	"strconv"
	"strings"
)

// Roles in certificates other than members'. Their common names are "cluster/role/name".
const (
	operatorRole = "operator"
	followerRole = "follower"
)

// Identity is the subject of a certificate: a member, an operator or a follower.
type Identity struct {
	Cluster  string
	Member   uint64 // 0: an operator or a follower
	Operator string // name; "": not an operator
	Follower string // name; "": not a follower
}

// IdentityOf returns the identity in a certificate. It does not verify the signature.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	commonName := certificate.Subject.CommonName
	owner, name, ok := cutLast(commonName, "/")
	if cluster, isOperator := strings.CutSuffix(owner, "/"+operatorRole); isOperator {
		return Identity{Cluster: cluster, Operator: name}, nil
	}
	if cluster, isFollower := strings.CutSuffix(owner, "/"+followerRole); isFollower {
		return Identity{Cluster: cluster, Follower: name}, nil
	}
	member, err := strconv.ParseUint(name, 10, 64)
	identity := Identity{Cluster: owner, Member: member}
	if !ok || err != nil || member == 0 || commonName != memberCommonName(owner, member) {
		return identity, fmt.Errorf("certificate of %q, which is no member's, operator's or follower's", commonName)
	}
	return identity, nil
}

// roleCommonName returns the common name in the certificate of an operator or a follower.
func roleCommonName(cluster, role, name string) string {
	return cluster + "/" + role + "/" + name
}
