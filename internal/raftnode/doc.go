// Package raftnode replicates a cluster's configuration ([mulleinmux/clusterconfig.State])
// among the gateway instances that are its members, through the Raft protocol (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm", 2014). The protocol itself is
// go.etcd.io/raft; this package adds persistence, transport, timers, proposals, linearizable
// reads, membership changes and the members' certificates.
//
// # Layers
//
//   - [Core] is one member without its clock and its network. Its inputs are ticks, messages and requests; its output
//     is messages. It starts no goroutine, so that a test can simulate a whole cluster.
//   - [Storage] is the member's durable state; [BoltStorage] stores it in a bbolt file.
//   - [Node] runs a Core with a ticker, TLS connections and a Storage. One goroutine, the event loop, owns the Core;
//     [Node.Stop] ends the event loop and all other goroutines of the Node.
//   - [Authority], [Credentials] and [Identity] issue, hold and read the certificates that identify members,
//     operators and followers.
//
// # Failures
//
// A proposal whose outcome was returned has been committed by a quorum and survives the loss of any minority. A
// proposal that ends with [ErrOutcomeUnknown] may have been applied; repeating it with the same id applies it at most
// once. A member whose storage fails stops and must be started again. A member whose file lacks a part of what the
// member has acknowledged (a damaged file, an older copy) could vote twice in a term. Therefore the member does not
// start, or stops, or the other members reject its connections: see [ErrCorruptFile], [ErrRestoredFile] and
// [ErrStaleStorage].
//
// # File format
//
// The file of a member is a bbolt database with three buckets. Each value outside the meta bucket is an encoded
// protocol buffer, preceded by its CRC-32C checksum (Castagnoli, 4 bytes).
//
//	meta  format (4 bytes), cluster (text), member (8 bytes), starts (8 bytes: incarnation,
//	      the number of times that the file was opened), written (8 bytes: Unix time of the last
//	      transaction, in ns)
//	state hard: HardState; snapshot: Snapshot; last: an Entry with the index of the log's
//	      last entry, so that a missing tail is detected
//	log   index (8 bytes): Entry
//
// Integers are big-endian.
//
// # Wire format
//
// A connection uses TLS 1.3 with certificates on both sides, and carries frames only from the side that dialed to the
// side that accepted. A frame consists of a header and a payload. The header has 4 bytes, big-endian: the frame's kind
// in the upper 4 bits and the payload's length in the lower 28. The first frame is a hello (incarnation and process id,
// 8 bytes each). Messages of the Raft protocol are protocol buffers. A message with a snapshot is split into parts,
// between which other frames are sent, so that a long transfer does not delay heartbeats.
package raftnode
