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
