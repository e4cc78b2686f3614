package raftnode

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"time"
)

// frameKind is the kind of a frame's payload. The values are part of the wire format.
type frameKind uint32

const (
	frameMessage      frameKind = iota // a message of the Raft protocol
	frameSnapshotPart                  // a part of a message with a snapshot, except for the last
	frameSnapshotEnd                   // the last part of a message with a snapshot
	frameHello                         // a hello, which is the first frame of each connection
	frameBroadcast                     // a broadcast, see [Node.Broadcast]; not part of the Raft protocol
)

// Layout of a frame's header, and limits of a frame.
const (
	frameHeaderBytes  = 4
	frameLengthBits   = 28       // lower bits of the header; the upper 4 are the kind
	maxFrameBytes     = 72 << 20 // payload: a proposal of the maximum size, or all parts of a snapshot
	snapshotPartBytes = 256 << 10
	maxBroadcastBytes = 64 << 10
	frameTimeout      = 10 * time.Second // for writing a frame, or for reading its payload after the header
	frameBufferBytes  = 64 << 10         // size of the read or write buffer of a connection
	readStepBytes     = 1 << 20          // growth of the payload buffer while it is read; a larger buffer is not reused
)

// frameWriter writes frames to a connection through a buffer.
type frameWriter struct {
	conn net.Conn
	out  *bufio.Writer
}

func newFrameWriter(conn net.Conn) *frameWriter {
	return &frameWriter{conn: conn, out: bufio.NewWriterSize(conn, frameBufferBytes)}
}

// write writes a frame to the buffer. The frame may not reach the connection until flush is called.
func (w *frameWriter) write(kind frameKind, payload []byte) error {
	w.conn.SetWriteDeadline(time.Now().Add(frameTimeout))
	header := uint32(kind)<<frameLengthBits | uint32(len(payload))
	if _, err := w.out.Write(binary.BigEndian.AppendUint32(nil, header)); err != nil {
		return err
	}
	_, err := w.out.Write(payload)
	return err
}

// flush writes the buffered frames to the connection.
func (w *frameWriter) flush() error { return w.out.Flush() }

// frameHeader is the decoded header of a frame.
type frameHeader struct {
	kind   frameKind
	length int // length of the payload in bytes
}

// exceedsBounds reports whether the frame's kind is unknown or its payload is longer than its kind allows. pendingBytes
// is the total length of the snapshot parts received so far.
func (h frameHeader) exceedsBounds(pendingBytes int) bool {
	if h.length > maxFrameBytes {
		return true
	}
	switch h.kind {
	case frameMessage, frameHello:
		return false
	case frameSnapshotPart, frameSnapshotEnd:
		return h.length > snapshotPartBytes || pendingBytes+h.length > maxFrameBytes
	case frameBroadcast:
		return h.length > maxBroadcastBytes
	}
	return true
}

// frameReader reads frames from a connection.
type frameReader struct {
	conn    net.Conn      // for deadlines
	in      *bufio.Reader // the decrypted stream
	payload []byte        // payload of the last frame; its memory is reused
}

// newFrameReader returns a reader of the frames in stream. It sets its read deadlines on conn.
func newFrameReader(conn net.Conn, stream io.Reader) *frameReader {
	return &frameReader{conn: conn, in: bufio.NewReaderSize(stream, frameBufferBytes)}
}

// readHeader waits without a timeout for the next frame and returns its header.
func (r *frameReader) readHeader() (frameHeader, error) {
	var encoded [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.in, encoded[:]); err != nil {
		return frameHeader{}, err
	}
	header := binary.BigEndian.Uint32(encoded[:])
	return frameHeader{
		kind:   frameKind(header >> frameLengthBits),
		length: int(header & (1<<frameLengthBits - 1)),
	}, nil
}

// readPayload reads the payload of a frame. The result is valid until the next call.
func (r *frameReader) readPayload(length int) ([]byte, error) {
	r.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	// The buffer grows with the received bytes, not with the announced length: a header alone must not make the member
	// allocate up to maxFrameBytes.
	r.payload = r.payload[:0]
	for len(r.payload) < length {
		read := len(r.payload)
		step := min(length-read, readStepBytes)
		r.payload = slices.Grow(r.payload, step)[:read+step]
		if _, err := io.ReadFull(r.in, r.payload[read:]); err != nil {
			return nil, err
		}
	}
	r.conn.SetReadDeadline(time.Time{})
	return r.payload, nil
}

// releaseLargePayload releases the payload buffer if it is larger than readStepBytes, instead of keeping it for the
// next frame.
func (r *frameReader) releaseLargePayload() {
	if cap(r.payload) > readStepBytes {
		r.payload = nil
	}
}
