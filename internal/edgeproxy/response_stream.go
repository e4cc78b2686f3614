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
	streamPieceTimeout = 10 * time.Second // between the pieces of a response of which some is forwarded
)

// responseStream is a long response as it is received from an app server. Its owner calls finish once.
type responseStream struct {
	conn       *serverConn
	pooled     *pooledConn // with conn in it
	pool       *serverPool
	body       io.Reader
	length     int64              // bytes; -1: not known
	closesConn bool               // the connection ends with it
	result     chan policy.Result // takes the result of finish
}

// finish ends the stream: with OK it was forwarded to its end.
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

// copyTo forwards a response, first its first part, then each piece as it is received. The result is Cancelled if
// the client does not take it.
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

// streamBuffers holds the buffers of streams, as *[]byte.
var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, streamBufferSize)
	return &buffer
}}
