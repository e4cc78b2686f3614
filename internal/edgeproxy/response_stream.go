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

// responseStream is a long answer as it comes from an app server. Who has it calls finish once.
type responseStream struct {
	conn       *serverConn
	pool       *serverPool
	body       io.Reader
	length     int64 // of all; -1: not told
	closesConn bool  // the connection ends with it
	result     chan policy.Result
}

// finish ends the relay: with OK it was passed on to its end.
func (s *responseStream) finish(result policy.Result) {
	if result == policy.OK && !s.closesConn && s.conn.buffered.Buffered() == 0 {
		s.conn.reader.clearPieceDeadline()
		s.conn.SetReadDeadline(time.Time{})
		s.pool.release(s.conn)
	} else {
		s.pool.discard(s.conn)
	}
	s.result <- result
}

// copyTo passes a long answer on, each piece as it comes.
func (s *responseStream) copyTo(w http.ResponseWriter, first []byte) policy.Result {
	rc := http.NewResponseController(w)
	in := s.conn.reader
	in.ctx, in.remainingBytes, in.pieceTimeout = context.Background(), maxStreamedResponse, streamPieceTimeout
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	write := func(p []byte) error {
		if err := rc.SetWriteDeadline(time.Now().Add(streamWriteTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(p); err != nil {
			return err
		}
		return rc.Flush()
	}
	if len(first) > 0 {
		if write(first) != nil {
			return policy.Cancelled
		}
	}
	for {
		n, err := s.body.Read(*buf)
		if n > 0 && write((*buf)[:n]) != nil {
			return policy.Cancelled
		}
		switch {
		case err == io.EOF:
			return policy.OK
		case err != nil && in.err != nil && !errors.Is(in.err, os.ErrDeadlineExceeded):
			return policy.ConnectionReset
		case err != nil:
			return policy.ErrorResponse
		}
	}
}

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferSize); return &b }}
