package edgeproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"mulleinmux/policy"
)

const (
	streamWriteTimeout = 30 * time.Second // for a client to accept a chunk of a response
	streamBufferSize   = 16 << 10         // bytes
	streamPieceTimeout = 10 * time.Second // between two pieces of a streamed response
)

// responseStream is a long response that is still being received from an app server. Its owner must call finish once.
type responseStream struct {
	conn       *serverConn
	pooled     *pooledConn // contains conn
	pool       *serverPool
	body       io.Reader
	length     int64              // bytes; -1 if unknown
	closesConn bool               // the response ends by the close of the connection, or is followed by it
	result     chan policy.Result // receives the result that finish is called with
}

// finish ends the stream. The result OK means that the response was forwarded completely; only then may the connection
// be reused.
func (s *responseStream) finish(result policy.Result) {
	if result == policy.OK && !s.closesConn && s.conn.buffered.Buffered() == 0 {
		s.conn.reader.clearPieceDeadline()
		s.conn.SetReadDeadline(time.Time{})
		s.pool.Release(s.pooled)
	} else {
		s.pool.Discard(s.pooled)
	}
	s.result <- result
}

// copyTo forwards a response: the first part, then each piece as it is received. The result is Cancelled if writing to
// the client fails.
func (s *responseStream) copyTo(w http.ResponseWriter, first []byte) policy.Result {
	controller := http.NewResponseController(w)
	reader := s.conn.reader
	reader.ctx = context.Background()
	reader.remainingBytes = maxStreamedResponse
	reader.pieceTimeout = streamPieceTimeout
	buffer := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buffer)
	write := func(p []byte) error {
		if err := controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(p); err != nil {
			return err
		}
		return controller.Flush()
	}
	if len(first) > 0 && write(first) != nil {
		return policy.Cancelled
	}
	for {
		n, err := s.body.Read(*buffer)
		if n > 0 && write((*buffer)[:n]) != nil {
			return policy.Cancelled
		}
		switch {
		case err == io.EOF:
			return policy.OK
		case err != nil && reader.err != nil && !errors.Is(reader.err, os.ErrDeadlineExceeded):
			return policy.ConnectionReset
		case err != nil:
			return policy.ErrorResponse
		}
	}
}

// streamBuffers is a pool of copy buffers, as *[]byte.
var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, streamBufferSize)
	return &buffer
}}
