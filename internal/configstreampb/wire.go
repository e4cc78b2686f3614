// Package streamwire is the stream of configuration on the wire: messages in protobuf over the Connect protocol on HTTP/2,
// each checked against the rules in stream.proto before it is used. Who follows is known by the certificate.
package configstreampb

//go:generate go run ./gen

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"buf.build/go/protovalidate"
	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"mulleinmux/configstream"
)

const (
	procedure = "/mulleinmux.stream.v1.Configuration/Follow"
	// MaxMessageBytes bounds a message: a description of 16 MB and 100,000 licensees fit.
	MaxMessageBytes = 64 << 20
	maxReport       = 1 << 20 // what a follower may say at a time
)

// MemberStream is a member's end of a stream. Receive may be called beside Send, and each by one goroutine at a time.
type MemberStream struct {
	Request *http.Request // whose TLS state tells who follows
	bidi    *connect.BidiStream[FromFollower, FromMember]
	control *http.ResponseController
}

// NewHandler serves streams: f has one until it returns, which ends it.
func NewHandler(f func(context.Context, *MemberStream) error) http.Handler {
	type key struct{}
	h := connect.NewBidiStreamHandler(procedure, func(ctx context.Context, s *connect.BidiStream[FromFollower, FromMember]) error {
		out := ctx.Value(key{}).(*MemberStream)
		out.bidi = s
		return f(ctx, out)
	}, connect.WithReadMaxBytes(maxReport))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := &MemberStream{Request: r, control: http.NewResponseController(w)}
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), key{}, s)))
	})
}

// Abort has what is sent and received end: at once, or for what is sent after a moment, in which an end can still be told.
func (s *MemberStream) Abort() {
	s.control.SetReadDeadline(time.Now())
	s.control.SetWriteDeadline(time.Now().Add(time.Second))
}

// FollowerStream is a follower's end.
type FollowerStream struct {
	bidi   *connect.BidiStreamForClient[FromFollower, FromMember]
	cancel context.CancelFunc
}

// Dial begins a stream with the member at an address; ctx ends it, and cancel must be what ends ctx. It is there once the
// first message has been sent.
func Dial(ctx context.Context, h *http.Client, at string, cancel context.CancelFunc) *FollowerStream {
	c := connect.NewClient[FromFollower, FromMember](h, "https://"+at+procedure, connect.WithReadMaxBytes(MaxMessageBytes))
	return &FollowerStream{c.CallBidiStream(ctx), cancel}
}

// Abort ends the stream at once; it may be called beside everything else.
func (c *FollowerStream) Abort() { c.cancel() }

// Close ends the stream.
func (c *FollowerStream) Close() error {
	c.bidi.CloseRequest()
	return c.bidi.CloseResponse()
}

// EndReason is what the member said as it ended a stream; empty where the error says nothing of that kind.
func EndReason(err error) string {
	if e, ok := errors.AsType[*connect.Error](err); ok && e.Code() == connect.CodeUnavailable {
		return e.Message()
	}
	return ""
}

// NewEndError is the error with which a member ends a stream, for a reason that the follower is told.
func NewEndError(why string) error {
	return connect.NewError(connect.CodeUnavailable, errors.New(why))
}

// Send sends a [*Push] or a [*configstream.Pong].
func (s *MemberStream) Send(v any) error {
	out := &FromMember{}
	switch v := v.(type) {
	case *Push: // worded before: see [NewPush]
		out.Body = &FromMember_Push{v}
	case *configstream.Pong:
		out.Body = &FromMember_Pong{&Pong{Seq: v.Seq, Newest: fromRef(&v.Newest), Homes: v.Homes, Confirmed: v.Confirmed, Twin: v.Twin}}
	default:
		return fmt.Errorf("a %T is no message of a member", v)
	}
	return s.bidi.Send(out)
}

// Receive returns a [configstream.Hello], a [configstream.Report] or the number of a sign of life.
func (s *MemberStream) Receive() (any, error) {
	in, err := s.bidi.Receive()
	if err != nil {
		return nil, err
	}
	return fromFollower(in)
}

func fromFollower(in *FromFollower) (any, error) {
	if err := valid(in); err != nil {
		return nil, err
	}
	switch b := in.Body.(type) {
	case *FromFollower_Hello:
		h := configstream.Hello{Process: b.Hello.Process, Start: b.Hello.Start, Dial: b.Hello.Dial, Running: toRef(b.Hello.Running),
			Since: time.Duration(min(b.Hello.SinceMs, 1<<40)) * time.Millisecond, Format: int(b.Hello.Format)}
		for _, r := range b.Hello.Refused {
			h.Refused = append(h.Refused, configstream.Refusal{Ref: *toRef(r.Ref), Problems: toProblems(r.Problems), Unread: r.Unread})
		}
		return h, nil
	case *FromFollower_Report:
		return configstream.Report{Nonce: b.Report.Nonce, Result: configstream.Result(b.Report.Result), Ref: *toRef(b.Report.Ref), Running: toRef(b.Report.Running),
			Problems: toProblems(b.Report.Problems), Unread: b.Report.Unread}, nil
	default:
		return in.GetPing().Seq, nil
	}
}

// Send sends a [configstream.Hello], a [configstream.Report] or the number of a sign of life.
func (c *FollowerStream) Send(v any) error {
	out := &FromFollower{}
	switch v := v.(type) {
	case configstream.Hello:
		h := &Hello{Process: v.Process, Start: v.Start, Dial: v.Dial, Running: fromRef(v.Running), SinceMs: uint64(max(v.Since, 0).Milliseconds()), Format: uint32(v.Format)}
		for _, r := range v.Refused {
			h.Refused = append(h.Refused, &Refusal{Ref: fromRef(&r.Ref), Problems: fromProblems(r.Problems), Unread: r.Unread})
		}
		out.Body = &FromFollower_Hello{h}
	case configstream.Report:
		out.Body = &FromFollower_Report{&Report{Nonce: v.Nonce, Result: Report_Result(v.Result), Ref: fromRef(&v.Ref), Running: fromRef(v.Running),
			Problems: fromProblems(v.Problems), Unread: v.Unread}}
	case uint64:
		out.Body = &FromFollower_Ping{&Ping{Seq: v}}
	default:
		return fmt.Errorf("a %T is no message of a follower", v)
	}
	return c.bidi.Send(out)
}

// Receive returns a [*configstream.Push] or a [*configstream.Pong].
func (c *FollowerStream) Receive() (any, error) {
	in, err := c.bidi.Receive()
	if err != nil {
		return nil, err
	}
	return fromMember(in)
}

func fromMember(in *FromMember) (any, error) {
	if err := valid(in); err != nil {
		return nil, err
	}
	if b, ok := in.Body.(*FromMember_Pong); ok {
		return &configstream.Pong{Seq: b.Pong.Seq, Newest: *toRef(b.Pong.Newest), Homes: b.Pong.Homes, Confirmed: b.Pong.Confirmed, Twin: b.Pong.Twin}, nil
	}
	p := in.GetPush()
	b := &configstream.Body{Ref: *toRef(p.Ref), Base: toRef(p.Base), Format: int(p.Format), Hash: p.Hash, Homes: p.Homes, Places: p.Places, Removed: p.Removed}
	for _, o := range p.Put {
		b.Put = append(b.Put, configstream.Object{Key: o.Key, Value: json.RawMessage(o.Value)})
	}
	return &configstream.Push{Nonce: p.Nonce, Body: b, Confirmed: p.Confirmed}, nil
}

// NewPush words a push. Pushes of one body share what is dear.
func NewPush(p *configstream.Push, body *Push) *Push {
	return &Push{Nonce: p.Nonce, Confirmed: p.Confirmed, Ref: body.Ref, Base: body.Base, Format: body.Format, Hash: body.Hash, Homes: body.Homes,
		Places: body.Places, Put: body.Put, Removed: body.Removed}
}

// EncodeBody words what pushes of one body share.
func EncodeBody(b *configstream.Body) *Push {
	out := &Push{Ref: fromRef(&b.Ref), Base: fromRef(b.Base), Format: uint32(b.Format), Hash: b.Hash, Homes: b.Homes, Places: b.Places, Removed: b.Removed}
	for _, o := range b.Put {
		out.Put = append(out.Put, &Object{Key: o.Key, Value: o.Value})
	}
	return out
}

func valid(m proto.Message) error {
	if err := protovalidate.Validate(m); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

func fromRef(r *configstream.Ref) *Ref {
	if r == nil {
		return nil
	}
	out := &Ref{Number: r.Number}
	if r.Epoch.Number > 0 {
		out.Epoch = &Epoch{Number: r.Epoch.Number, Id: r.Epoch.ID}
	}
	for _, x := range r.Digest {
		out.Digest = binary.BigEndian.AppendUint64(out.Digest, x)
	}
	return out
}

// toRef reads one that is valid, or none.
func toRef(r *Ref) *configstream.Ref {
	if r == nil {
		return nil
	}
	out := &configstream.Ref{Epoch: configstream.Epoch{Number: r.GetEpoch().GetNumber(), ID: r.GetEpoch().GetId()}, Number: r.Number}
	for i := range out.Digest {
		out.Digest[i] = binary.BigEndian.Uint64(r.Digest[8*i:])
	}
	return out
}

// Bounds of what a follower says of a refusal.
const (
	maxProblems = 100
	maxText     = 4000
)

func fromProblems(ps []configstream.Problem) (out []*Problem) {
	cut := func(s string, most int) string { return strings.ToValidUTF8(s[:min(len(s), most)], "?") }
	for _, p := range ps[:min(len(ps), maxProblems)] {
		out = append(out, &Problem{Object: cut(p.Object, 500), Field: cut(p.Field, 500), Text: cut(p.Text, maxText)})
	}
	return out
}

func toProblems(ps []*Problem) (out []configstream.Problem) {
	for _, p := range ps {
		out = append(out, configstream.Problem{Object: p.Object, Field: p.Field, Text: p.Text})
	}
	return out
}
