// Package configstreampb is the configuration stream on the wire: protobuf messages over the Connect protocol on
// HTTP/2, each checked against the rules in stream.proto before it is used. The certificate says which follower it is.
package configstreampb

//go:generate go run ./gen

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"mulleinmux/configstream"
)

const (
	procedure = "/mulleinmux.stream.v1.Configuration/Follow"

	// MaxMessageBytes bounds a member's message: a description of 16 MB and 100,000 licensees fit.
	MaxMessageBytes = 64 << 20

	maxFollowerMessageBytes = 1 << 20
	endMessageTimeout       = time.Second // for the reason to reach the follower
)

// MemberStream is a member's end of a stream. Send and Receive may be called at the same time, each by one goroutine.
type MemberStream struct {
	Request *http.Request // its TLS state says who the follower is

	bidi    *connect.BidiStream[FromFollower, FromMember]
	control *http.ResponseController
}

// streamKey is the context key under which NewHandler passes a MemberStream on.
type streamKey struct{}

// NewHandler returns a handler that serves each stream by a call of serve, and ends it when serve returns. The error
// made by [NewEndError] tells the follower why.
func NewHandler(serve func(context.Context, *MemberStream) error) http.Handler {
	handleBidi := func(ctx context.Context, bidi *connect.BidiStream[FromFollower, FromMember]) error {
		stream := ctx.Value(streamKey{}).(*MemberStream)
		stream.bidi = bidi
		return serve(ctx, stream)
	}
	handler := connect.NewBidiStreamHandler(procedure, handleBidi, connect.WithReadMaxBytes(maxFollowerMessageBytes))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stream := &MemberStream{Request: r, control: http.NewResponseController(w)}
		ctx := context.WithValue(r.Context(), streamKey{}, stream)
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Abort makes Receive fail at once, and Send after a moment in which the reason of the end can still be sent.
func (s *MemberStream) Abort() {
	now := time.Now()
	s.control.SetReadDeadline(now)
	s.control.SetWriteDeadline(now.Add(endMessageTimeout))
}

// Send sends a [*Push] made by [NewPush], or a [*configstream.Pong].
func (s *MemberStream) Send(message any) error {
	out := &FromMember{}
	switch m := message.(type) {
	case *Push:
		out.Body = &FromMember_Push{m}
	case *configstream.Pong:
		out.Body = &FromMember_Pong{encodePong(m)}
	default:
		return fmt.Errorf("a %T is no message of a member", message)
	}
	return s.bidi.Send(out)
}

// Receive returns a [configstream.Hello], a [configstream.Report] or, as a uint64, the sequence number of a ping.
func (s *MemberStream) Receive() (any, error) {
	in, err := s.bidi.Receive()
	if err != nil {
		return nil, err
	}
	return fromFollower(in)
}

// FollowerStream is a follower's end of a stream. Send and Receive may be called at the same time, each by one
// goroutine.
type FollowerStream struct {
	bidi   *connect.BidiStreamForClient[FromFollower, FromMember]
	cancel context.CancelFunc
}

// Dial begins a stream with the member at an address. It is established with the first message that is sent. It ends
// with ctx, which cancel must end.
func Dial(ctx context.Context, client *http.Client, addr string, cancel context.CancelFunc) *FollowerStream {
	c := connect.NewClient[FromFollower, FromMember](client, "https://"+addr+procedure,
		connect.WithReadMaxBytes(MaxMessageBytes))
	return &FollowerStream{c.CallBidiStream(ctx), cancel}
}

// Abort ends the stream at once. It may be called at any time, by any goroutine.
func (s *FollowerStream) Abort() { s.cancel() }

// Close ends the stream.
func (s *FollowerStream) Close() error {
	s.bidi.CloseRequest()
	return s.bidi.CloseResponse()
}

// Send sends a [configstream.Hello], a [configstream.Report] or, as a uint64, the sequence number of a ping.
func (s *FollowerStream) Send(message any) error {
	out := &FromFollower{}
	switch m := message.(type) {
	case configstream.Hello:
		out.Body = &FromFollower_Hello{encodeHello(&m)}
	case configstream.Report:
		out.Body = &FromFollower_Report{encodeReport(&m)}
	case uint64:
		out.Body = &FromFollower_Ping{&Ping{Seq: m}}
	default:
		return fmt.Errorf("a %T is no message of a follower", message)
	}
	return s.bidi.Send(out)
}

// Receive returns a [*configstream.Push] or a [*configstream.Pong].
func (s *FollowerStream) Receive() (any, error) {
	in, err := s.bidi.Receive()
	if err != nil {
		return nil, err
	}
	return fromMember(in)
}

// NewEndError returns the error with which a member ends a stream, for a reason that the follower is sent.
func NewEndError(reason string) error {
	return connect.NewError(connect.CodeUnavailable, errors.New(reason))
}

// EndReason returns the reason that the member sent as it ended a stream; it is empty if err carries none.
func EndReason(err error) string {
	if e, ok := errors.AsType[*connect.Error](err); ok && e.Code() == connect.CodeUnavailable {
		return e.Message()
	}
	return ""
}
