// Package gatewayconfig reads the operators' TOML files: that of a gateway instance ([Parse]), and that of the
// configuration that a cluster's members agree on ([ParseClusterFile]). An error names the file, the line and the
// field, and nothing of a file with an error is used.
package gatewayconfig

import (
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
)

// File is an instance's file.
type File struct {
	Config      gateway.Config
	Description string          // file name of the OpenAPI description, as written
	AccessLog   string          // file name of the access log, as written; empty: none
	TraceLog    string          // file name of the log of traces, as written; empty: none
	Member      *MemberConfig   // nil: the instance is no member of a cluster
	Follower    *FollowerConfig // nil: the instance is no follower of a cluster
}

// MemberConfig is an instance's place among the members of a cluster, which agree on what they serve.
type MemberConfig struct {
	Cluster           string
	MemberID          uint64
	DataFile, CertDir string        // as written
	TickInterval      time.Duration // 0: the default
	Members           map[uint64]clusterconfig.Member
	StreamListenAddr  string // for followers; empty: none are served

	DisableKeyOwnership bool // requests with an idempotency key may go to any site
}

// FollowerConfig is the place of an instance that is no member of a cluster and receives what its members agree on.
type FollowerConfig struct {
	Cluster, Name       string
	DataFile, CertDir   string // as written
	MemberStreamAddrs   map[uint64]string
	DisableKeyOwnership bool // requests with an idempotency key may go to any site
}

// Parse reads the text of an instance's file. The error is [routing.Problems].
func Parse(file string, text []byte) (*File, error) {
	p := &parser{file: file, text: text}
	var form instanceForm
	if !p.decode(&form) {
		return nil, p.problems
	}
	out := p.instance(&form)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return out, nil
}
