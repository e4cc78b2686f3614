// Package multisite decides what instances of several sites may do with requests that must not run twice, and how a
// site that failed gets its load back.
//
// It guarantees that a key is never executed at two sites. A site drops repeats of a key for a while, but knows nothing
// of what another site has run. Every key therefore has one owner: the first, by rendezvous hashing (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), of the sites that are open in an agreed
// ownership epoch. While epochs don't change, that alone keeps a key at one site, whichever instance its client
// tries. When an epoch moves a key to another owner, the key may have been sent to the old one, here or elsewhere. It
// goes to the new owner only once no such attempt can be left:
//
//   - each other instance has announced that it routes by the new epoch and which keys it has sent before, and none of
//     its messages is missing; then a key that none has sent is new; or
//   - so much time has passed that none can have sent by the old epoch (the lease: an instance sends only by an epoch
//     that was confirmed so recently), and that no client still repeats what was sent by then (the key's TTL).
//
// A key that may have run at a site goes there and nowhere else, or is rejected at once.
//
// The main types:
//
//   - [KeyTable] routes keyed requests and keeps the ledger of keys that may have run.
//   - [QuorumConfirmation] confirms that the ownership epoch in force is the newest.
//   - [HealthMonitor] detects by majority which sites are lost and when they have recovered.
//   - [RecoveryRamp] divides among all instances what servers that are warming up may be sent.
//   - [ForwardedRequests] and [RelayBudget] serve requests that are relayed from one site to another.
//
// The package does no I/O and reads no clock. Times are readings of one monotonic clock of this instance; messages
// between instances hold durations alone, so that clocks need not be synchronized.
package multisite
