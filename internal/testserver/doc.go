// Package testserver holds what stands outside the gateway: sites of app servers, their
// service discovery, and licensees' clients. They run on loopback addresses, keep an exact
// ledger of what reached them, and share no code for routes or costs with the gateway, so
// that the ledger can be compared with what the gateway counted.
package testserver
