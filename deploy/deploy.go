// Package deploy holds the operators' files that programs of this repository have as
// embedded defaults.
package deploy

import _ "embed"

// Booking is the example description, booking.yaml.
//
//go:embed booking.yaml
var Booking []byte

// Gateway is the example of an instance's file, gateway.toml.
//
//go:embed gateway.toml
var Gateway []byte

// Member is the example of the file of an instance in a cluster, member.toml.
//
//go:embed member.toml
var Member []byte

// Fleet is the example of what instances agree on, fleet.toml.
//
//go:embed fleet.toml
var Fleet []byte

// Follower is the example of the file of an instance that follows a cluster, follower.toml.
//
//go:embed follower.toml
var Follower []byte
