// Package configstreampb implements the configuration stream on the wire: protobuf messages over the Connect protocol
// on HTTP/2. Each received message is validated against the rules in stream.proto. The TLS certificate identifies the
// follower.
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

	// MaxMessageBytes is the maximum size of a member's message. A description of 16 MB and 100,000 customers fit.
	MaxMessageBytes = 64 << 20

	maxFollowerMessageBytes = 1 << 20
	endMessageTimeout       = time.Second // time to send the reason for which a stream is closed
)

// MemberStream is the member's end of a stream. Send and Receive may be called concurrently, each by one goroutine.
type MemberStream struct {
	Request *http.Request // its TLS state identifies the follower

	bidi    *connect.BidiStream[FromFollower, FromMember]
	control *http.ResponseController
}

// streamKey is the context key with which NewHandler passes a MemberStream to the handler of the stream.
type streamKey struct{}

// NewHandler returns a handler that calls serve for each stream and ends the stream when serve returns. If serve
// returns an error made by [NewEndError], the follower receives its reason.
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

// Abort makes Receive fail immediately, and Send after endMessageTimeout, in which the reason for which the stream is
// closed can still be sent.
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
		return fmt.Errorf("configstreampb: a member cannot send a message of type %T", message)
	}
	return s.bidi.Send(out)
}

// Receive receives a message: a [configstream.Hello], a [configstream.Report] or the sequence number of a ping, as a
// uint64.
func (s *MemberStream) Receive() (any, error) {
	in, err := s.bidi.Receive()
	if err != nil {
		return nil, err
	}
	return fromFollower(in)
}

// FollowerStream is the follower's end of a stream. Send and Receive may be called concurrently, each by one goroutine.
type FollowerStream struct {
	bidi   *connect.BidiStreamForClient[FromFollower, FromMember]
	cancel context.CancelFunc
}

// Dial begins a stream to the member at an address. The stream is established when the first message is sent, and ends
// when ctx is done. cancel must be the function that cancels ctx.
func Dial(ctx context.Context, client *http.Client, addr string, cancel context.CancelFunc) *FollowerStream {
	c := connect.NewClient[FromFollower, FromMember](client, "https://"+addr+procedure,
		connect.WithReadMaxBytes(MaxMessageBytes))
	bidi := c.CallBidiStream(ctx)
	// The HTTP/2 client does not notice the end of ctx while it waits for the next part of the request body, which would
	// leave Receive waiting for the member. The end of the body ends that wait.
	context.AfterFunc(ctx, func() { bidi.CloseRequest() })
	return &FollowerStream{bidi, cancel}
}

// Abort ends the stream immediately. It may be called at any time and from any goroutine.
func (s *FollowerStream) Abort() { s.cancel() }

// Close ends the stream.
func (s *FollowerStream) Close() error {
	s.bidi.CloseRequest()
	return s.bidi.CloseResponse()
}

// Send sends a message: a [configstream.Hello], a [configstream.Report] or the sequence number of a ping, as a uint64.
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
		return fmt.Errorf("configstreampb: a follower cannot send a message of type %T", message)
	}
	return s.bidi.Send(out)
}

// Receive receives a message: a [*configstream.Push] or a [*configstream.Pong].
func (s *FollowerStream) Receive() (any, error) {
	in, err := s.bidi.Receive()
	if err != nil {
		return nil, err
	}
	return fromMember(in)
}

// NewEndError returns an error with which a member ends a stream. The reason is sent to the follower.
func NewEndError(reason string) error {
	return connect.NewError(connect.CodeUnavailable, errors.New(reason))
}

// EndReason returns the reason with which the member ended a stream, or "" if err contains none.
func EndReason(err error) string {
	if e, ok := errors.AsType[*connect.Error](err); ok && e.Code() == connect.CodeUnavailable {
		return e.Message()
	}
	return ""
}
