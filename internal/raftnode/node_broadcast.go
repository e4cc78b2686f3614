package raftnode

import "fmt"

// Broadcast sends a text of up to 64 KiB to all other members, whose [NodeConfig.OnBroadcast]
// is called with it. Texts may be lost, but are not reordered.
func (n *Node) Broadcast(text []byte) error {
	if len(text) > maxBroadcastBytes {
		return fmt.Errorf("a word of %d bytes: %d are the most", len(text), maxBroadcastBytes)
	}
	n.transport.broadcast(text)
	return nil
}
