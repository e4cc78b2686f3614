// Package policy decides, for one edge node, what happens to each request: whether its customer's quota admits it,
// whether the servers have capacity for it, which server receives it, and what follows the result of each attempt.
//
// The host owns the network, the clock and the timers. It creates one [Engine] per node with [New], calls
// [Engine.Start] once, then one method per event, and carries out the calls that the engine makes on [Actions].
//
// An Engine is not safe for concurrent use: the host makes one call at a time. The methods of Actions are called
// synchronously, in the order in which they are to take effect, and must not call back into the engine. Times passed in
// are readings of one clock that never goes backwards; its origin does not matter. Events for an unknown or finished
// request, server, timer or attempt are ignored. The engine retains no slice passed to it.
//
// Each rule is a function or a method of the small type that owns its state; other state that it needs is passed in as
// arguments. The methods of Engine connect the rules: events.go defines the order in which they are evaluated. Package
// quota implements quotas and gossip, package overload implements overload control; neither depends on this package.
// docs/decisions.md lists the rules, deploy/balancer.toml the files that contain them.
package policy
