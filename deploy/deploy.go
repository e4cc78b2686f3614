// Package deploy embeds the example files for operators that programs of this repository use as defaults.
package deploy

import _ "embed"

// Booking is the example of an OpenAPI description, booking.yaml.
//
//go:embed booking.yaml
var Booking []byte

// Gateway is the example of an instance's file, gateway.toml.
//
//go:embed gateway.toml
var Gateway []byte

// Member is the example of the file of an instance that is a member of a cluster, member.toml.
//
//go:embed member.toml
var Member []byte

// Fleet is the example of the configuration that a cluster's members agree on, fleet.toml.
//
//go:embed fleet.toml
var Fleet []byte

// Follower is the example of the file of an instance that follows a cluster, follower.toml.
//
//go:embed follower.toml
var Follower []byte
