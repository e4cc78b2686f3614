package raftnode

import "fmt"

// Broadcast sends a text of up to 64 KiB to all other members, which call their [NodeConfig.OnBroadcast] with it. A
// broadcast may be lost; broadcasts to the same member are not reordered.
func (n *Node) Broadcast(text []byte) error {
	if len(text) > maxBroadcastBytes {
		return fmt.Errorf("broadcast of %d bytes exceeds the maximum of %d bytes", len(text), maxBroadcastBytes)
	}
	n.transport.broadcast(text)
	return nil
}
