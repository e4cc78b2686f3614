package raftnode

import (
	"crypto/x509"
	"fmt"
	"strconv"
	"strings"
)

// Roles of holders that are no members; their certificates' common names are
// "cluster/role/name".
const (
	operatorRole = "operator"
	followerRole = "follower"
)

// Identity is whom a certificate was issued to: a member, an operator or a follower.
type Identity struct {
	Cluster  string
	Member   uint64 // 0: an operator or a follower
	Operator string // name; "": no operator
	Follower string // name; "": no follower
}

// IdentityOf returns whom a certificate was issued to. It does not verify who signed it.
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

// roleCommonName returns the common name in the certificate of a holder that is no member.
func roleCommonName(cluster, role, name string) string {
	return cluster + "/" + role + "/" + name
}
