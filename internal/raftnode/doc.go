// Package raftnode replicates a cluster's configuration ([mulleinmux/clusterconfig.State])
// among the gateway instances that are its members, through the Raft protocol (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm", 2014). The protocol itself is
// go.etcd.io/raft; this package adds persistence, transport, timers, proposals, linearizable
// reads, membership changes and the members' certificates.
//
// # Layers
//
//   - [Core] is one member without its clock and its network: its inputs are ticks and
//     messages, its outputs messages. It starts no goroutine, so that a test can simulate a
//     whole cluster.
//   - [Storage] is the member's durable state; [BoltStorage] stores it in a bbolt file.
//   - [Node] runs a Core on real time, TLS connections and a Storage. One goroutine, the event
//     loop, owns the Core; [Node.Stop] ends it and all others.
//   - [Authority], [Credentials] and [Identity] are the certificates that identify members,
//     operators and followers.
//
// # Failure
//
// A proposal whose outcome was returned has been committed by a quorum and survives the loss
// of any minority. A proposal that ends with [ErrOutcomeUnknown] may have been applied;
// repeating it with the same id applies it at most once. A member whose storage fails stops
// and must be started again. A member that lost part of what it has acknowledged (a damaged
// file, an older copy) is not started, or its connections are rejected, because it could vote
// twice in a term: see [ErrCorruptFile], [ErrRestoredFile] and [ErrStaleStorage].
//
// # File format
//
// The file of a member is a bbolt database with three buckets. Each value except those of
// meta is a CRC-32C (Castagnoli, 4 bytes, big-endian) of the rest, and a protocol buffer.
//
//	meta  format (4 bytes), cluster (text), member (8 bytes), starts (8 bytes: incarnation,
//	      how often the file was opened), written (8 bytes: Unix time of the last
//	      transaction, in ns)
//	state hard: HardState; snapshot: Snapshot; last: an Entry with the index of the log's
//	      last entry, so that a missing tail is detected
//	log   index (8 bytes): Entry
//
// Integers are big-endian.
//
// # Wire format
//
// A connection is TLS 1.3 with certificates on both sides, and carries frames from the side
// that dialed to the other. A frame is a header of 4 bytes, big-endian, with the frame's kind
// in the upper four bits and the payload's length in the others, and the payload. The first
// frame is a hello (incarnation and process id, 8 bytes each); messages of the protocol are
// protocol buffers. A message with a snapshot is split into parts, between which other frames
// pass, so that a long transfer delays no heartbeat.
package raftnode
