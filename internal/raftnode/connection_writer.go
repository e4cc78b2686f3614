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

// connectionWriter writes what is queued for one member to one connection, and at most one
// snapshot at a time in parts between the other frames.
type connectionWriter struct {
	sender       *peerSender
	frames       *frameWriter
	ended        <-chan struct{} // closed when the peer has ended the connection
	onSendResult func(m *pb.Message, ok bool)

	snapshot  *pb.Message // being transferred; nil: none
	remaining []byte      // of the encoded snapshot message, not yet written
}

// queued is an item of a sender's queues: a message, a broadcast or, if both are empty, neither.
type queued struct {
	message   *pb.Message
	broadcast []byte
}

// writeFrames writes the queued items until the connection breaks or ctx ends. Frames of items
// that are queued at the same time are flushed together.
func (t *transport) writeFrames(ctx context.Context, sender *peerSender, conn *tls.Conn) error {
	rawConn := conn.NetConn()
	stopWatching := context.AfterFunc(ctx, func() { rawConn.Close() })
	defer stopWatching()
	ended := make(chan struct{})
	t.goroutines.Go(func() { // ends when the connection does, at the latest with the Close below
		defer close(ended)
		io.Copy(io.Discard, conn) // the peer sends nothing: this returns at the connection's end
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

// writeNext waits for the next item or part of a snapshot, and writes it.
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

// dequeue returns the next queued item. If there is nothing to write, it flushes and waits.
func (w *connectionWriter) dequeue(ctx context.Context) (queued, error) {
	if w.snapshot == nil && w.sender.isEmpty() {
		return w.flushAndWait(ctx)
	}
	select {
	case m := <-w.sender.messages:
		return queued{message: m}, nil
	case text := <-w.sender.broadcasts:
		return queued{broadcast: text}, nil
	case <-w.ended:
		return queued{}, errConnectionEnded
	default:
		return queued{}, nil
	}
}

// flushAndWait flushes the buffer and waits for the next item.
func (w *connectionWriter) flushAndWait(ctx context.Context) (queued, error) {
	if err := w.frames.flush(); err != nil {
		return queued{}, err
	}
	select {
	case m := <-w.sender.messages:
		return queued{message: m}, nil
	case text := <-w.sender.broadcasts:
		return queued{broadcast: text}, nil
	case <-w.ended:
		return queued{}, errConnectionEnded
	case <-ctx.Done():
		return queued{}, ctx.Err()
	}
}

// writeMessage writes a message, or begins the transfer of its snapshot.
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

// encodeMessage encodes a message, which must fit in a frame or, with a snapshot, in its parts.
func encodeMessage(m *pb.Message) ([]byte, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxFrameBytes {
		return nil, fmt.Errorf("message of %d bytes", len(encoded))
	}
	return encoded, nil
}

// beginSnapshot begins the transfer of a snapshot. A second one during a transfer is dropped.
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

// failSnapshot reports a snapshot as failed if its transfer was interrupted.
func (w *connectionWriter) failSnapshot() {
	if w.snapshot != nil {
		w.onSendResult(w.snapshot, false)
	}
}
