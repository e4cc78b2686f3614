// Package gatewayconfig parses the operators' TOML files: the file of a gateway instance ([Parse]), and the file of the
// configuration that a cluster's members agree on ([ParseClusterFile]). An error names the file, the line and the
// field, and a file with an error is rejected as a whole.
package gatewayconfig

import (
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
)

// File is the parsed file of a gateway instance.
type File struct {
	Config      gateway.Config
	Description string          // file name of the OpenAPI description, as written
	AccessLog   string          // file name of the access log, as written; empty if there is no access log
	TraceLog    string          // file name of the trace log, as written; empty if there is no trace log
	Member      *MemberConfig   // nil if the instance is not a member of a cluster
	Follower    *FollowerConfig // nil if the instance is not a follower of a cluster
}

// MemberConfig configures an instance that is a member of a cluster, whose members agree on their configuration.
type MemberConfig struct {
	Cluster           string
	MemberID          uint64
	DataFile, CertDir string        // file names, as written
	TickInterval      time.Duration // 0 selects the default
	Members           map[uint64]clusterconfig.Member
	StreamListenAddr  string // for followers; empty if it serves none

	DisableKeyOwnership bool // requests with an idempotency key may go to any site
}

// FollowerConfig configures an instance that is not a member of a cluster and receives the configuration that the
// cluster's members agree on.
type FollowerConfig struct {
	Cluster, Name       string
	DataFile, CertDir   string // file names, as written
	MemberStreamAddrs   map[uint64]string
	DisableKeyOwnership bool // requests with an idempotency key may go to any site
}

// Parse parses the text of an instance's file. The error is [routing.Problems].
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
