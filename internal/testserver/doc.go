// Package testserver provides the systems around the gateway for tests: sites of app servers,
// their service discovery, and licensees' clients. They run on loopback addresses. Sites keep
// an exact ledger of the requests that reached them. The package shares no code for routes or
// costs with the gateway, so that the ledger can be compared with what the gateway counted.
package testserver
