// Package cluster runs a gateway instance as a member of a Raft cluster, or as a follower of the configuration that the
// members agree on.
//
// A [Member] puts the replicated configuration (package raftnode) in force at its instance (package gateway), exchanges
// messages on idempotency keys and site health with the other members, answers operators over an admin API, and pushes
// the configuration to followers. A [Follower] holds no vote: its [StreamClient] receives the configuration from one
// member at a time and stores it in a file, so that it can serve without any member. A [Client] is an operator's side
// of the admin API.
//
// Invariant: a member's instance serves with a version only after a quorum has confirmed, since the process started,
// that it was the newest version then. So it never serves with an older version than it has served with before, across
// restarts too.
package cluster
