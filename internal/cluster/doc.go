// Package cluster runs a gateway instance as a member of a Raft cluster, or as a follower of the configuration that the
// members agree on.
//
// A [Member] puts the replicated configuration (package raftnode) in force at its instance (package gateway), exchanges
// messages on idempotency keys and site health with the other members, serves an admin API to operators, and pushes the
// configuration to followers. A [Follower] has no vote: its [StreamClient] receives the configuration from one member
// at a time and stores it in a file, so that the follower can serve without any member. A [Client] calls the admin API.
//
// Invariant: a member's instance serves with a version only after a quorum has confirmed, since the process started,
// that this was the newest version at that time. Therefore it never serves with an older version than it has served
// with before, even across restarts.
package cluster
