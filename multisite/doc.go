// Package multisite routes requests that must not be executed twice among several sites, and limits the load that a
// site receives while it recovers from a failure.
//
// It guarantees that a key is never executed at two sites. A site drops repeats of a key for a while, but has no record
// of what another site has executed. Every key therefore has one owner: the first, by rendezvous hashing (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), of the sites that are open in an agreed
// ownership epoch. While the epoch does not change, that alone keeps a key at one site, whichever instance its client
// sends it to. When a new epoch moves a key to another owner, this or another instance may already have sent the key to
// the previous owner. The key is routed to the new owner only once no such attempt can remain:
//
//   - every other instance has announced that it routes by the new epoch and which keys it has sent before, and none of
//     its messages is missing; then a key that no instance has sent is new; or
//   - enough time has passed that no instance can send by the old epoch any more (the lease: an instance sends only by
//     an epoch that was confirmed recently enough) and that no client still repeats a key that was sent by it (the
//     key's TTL).
//
// A key that may have run at a site is routed to that site only, or rejected at once.
//
// The main types:
//
//   - [KeyTable] routes keyed requests and keeps the ledger of keys that may have run.
//   - [QuorumConfirmation] confirms that the ownership epoch in force is the newest.
//   - [HealthMonitor] detects by majority which sites are lost and when they have recovered.
//   - [RecoveryRamp] divides the load that warming servers may receive among all instances.
//   - [ForwardedRequests] and [RelayBudget] serve requests that are relayed from one site to another.
//
// The package does no I/O and reads no clock. Times are readings of one monotonic clock of this instance; messages
// between instances hold durations alone, so that clocks need not be synchronized.
package multisite
