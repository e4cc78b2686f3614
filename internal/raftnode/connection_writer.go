package raftnode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var errConnectionEnded = errors.New("the connection has ended")

// connectionWriter writes the queued items of one member's sender to one connection. It transfers at most one snapshot
// at a time, in parts between which it writes other frames.
type connectionWriter struct {
	sender       *peerSender
	frames       *frameWriter
	ended        <-chan struct{} // closed when the connection has ended
	onSendResult func(m *pb.Message, ok bool)

	snapshot  *pb.Message // the message whose snapshot is being transferred, or nil
	remaining []byte      // the part of the encoded snapshot message that is not yet written
}

// queuedItem is an item of a sender's queues: a message or a broadcast. If both are nil, no item was queued.
type queuedItem struct {
	message   *pb.Message
	broadcast []byte
}

// writeFrames writes the queued items to a connection until the connection fails or ctx ends. It flushes the frames of
// all items that are queued at the same time together.
func (t *transport) writeFrames(ctx context.Context, sender *peerSender, conn *tls.Conn) error {
	rawConn := conn.NetConn()
	stopWatching := context.AfterFunc(ctx, func() { rawConn.Close() })
	defer stopWatching()
	ended := make(chan struct{})
	t.goroutines.Go(func() { // ends with the connection, at the latest after the Close below
		defer close(ended)
		io.Copy(io.Discard, conn) // the peer sends nothing on this connection: Copy returns when it ends
	})
	defer func() {
		rawConn.Close()
		<-ended
	}()
	w := &connectionWriter{sender: sender, frames: newFrameWriter(conn), ended: ended, onSendResult: t.onSendResult}
	defer w.failSnapshot()
	if err := w.frames.write(frameHello, t.hello.encode()); err != nil {
		return err
	}
	for {
		if err := w.writeNext(ctx); err != nil {
			return err
		}
	}
}

// writeNext waits for the next item, if no snapshot is being transferred, and writes it. It then writes the next part
// of the snapshot, unless the item was a broadcast.
func (w *connectionWriter) writeNext(ctx context.Context) error {
	next, err := w.dequeue(ctx)
	if err != nil {
		return err
	}
	if next.broadcast != nil {
		return w.frames.write(frameBroadcast, next.broadcast)
	}
	if next.message != nil {
		if err := w.writeMessage(next.message); err != nil {
			return err
		}
	}
	if w.snapshot != nil {
		return w.writeSnapshotPart()
	}
	return nil
}

// dequeue returns the next queued item, or an empty one if only a part of a snapshot remains to be written. If there is
// nothing to write, it flushes the buffer and waits for an item.
func (w *connectionWriter) dequeue(ctx context.Context) (queuedItem, error) {
	if w.snapshot == nil && w.sender.isEmpty() {
		return w.flushAndWait(ctx)
	}
	select {
	case m := <-w.sender.messages:
		return queuedItem{message: m}, nil
	case text := <-w.sender.broadcasts:
		return queuedItem{broadcast: text}, nil
	case <-w.ended:
		return queuedItem{}, errConnectionEnded
	default:
		return queuedItem{}, nil
	}
}

// flushAndWait flushes the buffer and waits for the next item.
func (w *connectionWriter) flushAndWait(ctx context.Context) (queuedItem, error) {
	if err := w.frames.flush(); err != nil {
		return queuedItem{}, err
	}
	select {
	case m := <-w.sender.messages:
		return queuedItem{message: m}, nil
	case text := <-w.sender.broadcasts:
		return queuedItem{broadcast: text}, nil
	case <-w.ended:
		return queuedItem{}, errConnectionEnded
	case <-ctx.Done():
		return queuedItem{}, ctx.Err()
	}
}

// writeMessage writes a message. For a message with a snapshot, it begins the transfer.
func (w *connectionWriter) writeMessage(m *pb.Message) error {
	w.sender.releaseBytes(proto.Size(m))
	encoded, err := encodeMessage(m)
	if err != nil {
		w.onSendResult(m, false)
		return err
	}
	if m.GetType() == pb.MsgSnap {
		w.beginSnapshot(m, encoded)
		return nil
	}
	if err := w.frames.write(frameMessage, encoded); err != nil {
		w.onSendResult(m, false)
		return err
	}
	return nil
}

// encodeMessage encodes a message. Its size is limited to maxFrameBytes, also if it holds a snapshot and is sent in
// parts.
func encodeMessage(m *pb.Message) ([]byte, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxFrameBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds the maximum frame size", len(encoded))
	}
	return encoded, nil
}

// beginSnapshot begins the transfer of a snapshot. It drops the snapshot if another transfer is in progress.
func (w *connectionWriter) beginSnapshot(m *pb.Message, encoded []byte) {
	if w.snapshot != nil {
		w.onSendResult(m, false)
		return
	}
	w.snapshot = m
	w.remaining = encoded
}

// writeSnapshotPart writes and flushes the next part of the snapshot.
func (w *connectionWriter) writeSnapshotPart() error {
	kind := frameSnapshotPart
	length := snapshotPartBytes
	if len(w.remaining) <= length {
		kind = frameSnapshotEnd
		length = len(w.remaining)
	}
	if err := w.frames.write(kind, w.remaining[:length]); err != nil {
		return err
	}
	if err := w.frames.flush(); err != nil {
		return err
	}
	w.remaining = w.remaining[length:]
	if kind == frameSnapshotEnd {
		w.onSendResult(w.snapshot, true)
		w.snapshot = nil
	}
	return nil
}

// failSnapshot reports the snapshot in transfer, if any, as failed.
func (w *connectionWriter) failSnapshot() {
	if w.snapshot != nil {
		w.onSendResult(w.snapshot, false)
	}
}
