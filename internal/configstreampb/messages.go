package configstreampb

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"buf.build/go/protovalidate"
	"google.golang.org/protobuf/proto"

	"mulleinmux/configstream"
)

const (
	maxSinceMs = 1 << 40 // bound on since_ms, so that it does not overflow a time.Duration

	// Bounds on the problems that a follower reports for a rejected version. Problems and bytes beyond them are not sent.
	maxProblems         = 100
	maxProblemNameBytes = 500
	maxProblemTextBytes = 4000

	digestWordBytes = 8
)

// validate checks a message against the rules in stream.proto.
func validate(m proto.Message) error {
	if err := protovalidate.Validate(m); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// fromFollower validates and decodes a follower's message.
func fromFollower(in *FromFollower) (any, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	switch body := in.Body.(type) {
	case *FromFollower_Hello:
		return decodeHello(body.Hello), nil
	case *FromFollower_Report:
		return decodeReport(body.Report), nil
	default:
		return in.GetPing().Seq, nil
	}
}

// fromMember validates and decodes a member's message.
func fromMember(in *FromMember) (any, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	if body, ok := in.Body.(*FromMember_Pong); ok {
		return decodePong(body.Pong), nil
	}
	return decodePush(in.GetPush()), nil
}

func encodeHello(h *configstream.Hello) *Hello {
	out := &Hello{
		Process: h.ProcessID,
		Start:   h.StartCount,
		Dial:    h.StreamNumber,
		Running: encodeRef(h.Running),
		SinceMs: uint64(max(h.RunningFor, 0).Milliseconds()),
		Format:  uint32(h.MaxFormat),
	}
	for _, r := range h.Rejections {
		out.Refused = append(out.Refused, &Refusal{
			Ref: encodeRef(&r.Ref), Problems: encodeProblems(r.Problems), Unread: r.IsUnsupportedFormat,
		})
	}
	return out
}

func decodeHello(in *Hello) configstream.Hello {
	h := configstream.Hello{
		ProcessID:    in.Process,
		StartCount:   in.Start,
		StreamNumber: in.Dial,
		Running:      decodeRef(in.Running),
		RunningFor:   time.Duration(min(in.SinceMs, maxSinceMs)) * time.Millisecond,
		MaxFormat:    int(in.Format),
	}
	for _, r := range in.Refused {
		h.Rejections = append(h.Rejections, configstream.Rejection{
			Ref: *decodeRef(r.Ref), Problems: decodeProblems(r.Problems), IsUnsupportedFormat: r.Unread,
		})
	}
	return h
}

func encodeReport(r *configstream.Report) *Report {
	return &Report{
		Nonce:    r.Nonce,
		Result:   Report_Result(r.Result),
		Ref:      encodeRef(&r.Ref),
		Running:  encodeRef(r.Running),
		Problems: encodeProblems(r.Problems),
		Unread:   r.IsUnsupportedFormat,
	}
}

func decodeReport(in *Report) configstream.Report {
	return configstream.Report{
		Nonce:               in.Nonce,
		Result:              configstream.PushResult(in.Result),
		Ref:                 *decodeRef(in.Ref),
		Running:             decodeRef(in.Running),
		Problems:            decodeProblems(in.Problems),
		IsUnsupportedFormat: in.Unread,
	}
}

func encodePong(p *configstream.Pong) *Pong {
	return &Pong{
		Seq:       p.Sequence,
		Newest:    encodeRef(&p.Newest),
		Homes:     p.PlacementVersion,
		Confirmed: p.IsConfirmed,
		Twin:      p.NameConflict,
	}
}

func decodePong(in *Pong) *configstream.Pong {
	return &configstream.Pong{
		Sequence:         in.Seq,
		Newest:           *decodeRef(in.Newest),
		PlacementVersion: in.Homes,
		IsConfirmed:      in.Confirmed,
		NameConflict:     in.Twin,
	}
}

// NewPush returns an encoded push of a body from [EncodeBody]. Pushes of the same body share its encoding.
func NewPush(p *configstream.Push, body *Push) *Push {
	return &Push{
		Nonce:     p.Nonce,
		Confirmed: p.IsConfirmed,
		Ref:       body.Ref,
		Base:      body.Base,
		Format:    body.Format,
		Hash:      body.Hash,
		Homes:     body.Homes,
		Places:    body.Places,
		Put:       body.Put,
		Removed:   body.Removed,
	}
}

// EncodeBody encodes the part that pushes of the same body share, which is all but the nonce and the confirmation.
func EncodeBody(b *configstream.Body) *Push {
	out := &Push{
		Ref:     encodeRef(&b.Ref),
		Base:    encodeRef(b.Base),
		Format:  uint32(b.Format),
		Hash:    b.Hash,
		Homes:   b.PlacementVersion,
		Places:  b.PlanOrder,
		Removed: b.Removed,
	}
	for _, o := range b.Put {
		out.Put = append(out.Put, &Object{Key: o.Key, Value: o.Value})
	}
	return out
}

func decodePush(in *Push) *configstream.Push {
	body := &configstream.Body{
		Ref:              *decodeRef(in.Ref),
		Base:             decodeRef(in.Base),
		Format:           int(in.Format),
		Hash:             in.Hash,
		PlacementVersion: in.Homes,
		PlanOrder:        in.Places,
		Removed:          in.Removed,
	}
	for _, o := range in.Put {
		body.Put = append(body.Put, configstream.Object{Key: o.Key, Value: json.RawMessage(o.Value)})
	}
	return &configstream.Push{Nonce: in.Nonce, Body: body, IsConfirmed: in.Confirmed}
}

// encodeRef encodes a reference to a version; it returns nil for nil.
func encodeRef(r *configstream.Ref) *Ref {
	if r == nil {
		return nil
	}
	out := &Ref{Number: r.Number}
	if r.Epoch.Number > 0 {
		out.Epoch = &Epoch{Number: r.Epoch.Number, Id: r.Epoch.ID}
	}
	for _, word := range r.Digest {
		out.Digest = binary.BigEndian.AppendUint64(out.Digest, word)
	}
	return out
}

// decodeRef decodes a reference that was validated before; it returns nil for nil.
func decodeRef(in *Ref) *configstream.Ref {
	if in == nil {
		return nil
	}
	epoch := in.GetEpoch()
	out := &configstream.Ref{
		Epoch:  configstream.Epoch{Number: epoch.GetNumber(), ID: epoch.GetId()},
		Number: in.Number,
	}
	for i := range out.Digest {
		out.Digest[i] = binary.BigEndian.Uint64(in.Digest[digestWordBytes*i:])
	}
	return out
}

func encodeProblems(problems []configstream.Problem) (out []*Problem) {
	for _, p := range problems[:min(len(problems), maxProblems)] {
		out = append(out, &Problem{
			Object: truncate(p.Object, maxProblemNameBytes),
			Field:  truncate(p.Field, maxProblemNameBytes),
			Text:   truncate(p.Text, maxProblemTextBytes),
		})
	}
	return out
}

// truncate returns the first maxBytes bytes of a text at most, as valid UTF-8.
func truncate(s string, maxBytes int) string {
	return strings.ToValidUTF8(s[:min(len(s), maxBytes)], "?")
}

func decodeProblems(in []*Problem) (out []configstream.Problem) {
	for _, p := range in {
		out = append(out, configstream.Problem{Object: p.Object, Field: p.Field, Text: p.Text})
	}
	return out
}
