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
//   - every other instance of both epochs has announced that it routes by the new epoch and which keys it has sent
//     before, and none of its messages is missing; then a key that no instance has sent is new; or
//   - enough time has passed that no instance can send by the old epoch any more (the lease: an instance sends only by
//     an epoch that was confirmed recently enough) and that no client still repeats a key that was sent by it (the
//     key's TTL).
//
// A key that may have run at a site is routed to that site only, or rejected at once.
//
// # What must hold over all orders of events
//
// Let e be the epoch in force at an instance, installed at the time t. The instance sends a key that is not in its ledger
// to the key's owner in e only if, for every epoch f that was ever agreed on before e, one of these holds:
//
//   - the instance has received f, f has the same owner for the key, and the instance knows all instances of f; or
//   - it has received f, and each instance of f and of e has announced e and all keys that it sent before, with no
//     message missing for as long as clients repeat keys; or
//   - LeaseTTL and the longest key TTL have passed since the instance installed an epoch later than f.
//
// The last needs no knowledge of f: f was replaced before its successor was installed anywhere, an instance sends by f
// only until the lease ends that it had then, and the key's client repeats it for no longer than the TTL. It alone
// covers the epochs that an instance never received: those before its first one, whenever that comes, and those that may
// lie between two that it installs one after the other. An instance may skip any number of epochs (it applies several
// entries in one step, is cut off or stopped, restores a snapshot, or is sent the newest version alone), and what it
// installs next may look like what it had before. The host therefore has to show that an epoch directly succeeds the one
// before (see [KeyTable.InstallEpoch]); an epoch of which that is not shown follows unknown ones. The instances of an
// epoch change while it is in force; each such change counts as a new epoch with the same owners.
//
// The rule depends on no ID or number that a client chooses: keys that collide share an entry of the ledger, which only
// rejects more. Numbers of epochs and incarnations come from the agreement and from the instances' own storage.
//
// Between sites the outcome and the answer that are reported for an attempt are those of this attempt, whatever IDs
// clients choose for their requests: see [ForwardedRequestID].
//
// The TTL that the rule needs is the longest of any key that is still repeated. An instance knows the TTLs of the
// versions that it had in force itself and those that other instances announce.
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
