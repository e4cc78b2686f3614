package configstreampb

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
)

// newVersion returns a version with one plan.
func newVersion(t testing.TB) *configstream.Version {
	t.Helper()
	s := clusterconfig.New(nil)
	plan := clusterconfig.NewPutChange("plan", "kubwa", clusterconfig.Plan{Rate: 1, Burst: 1})
	entry, err := clusterconfig.EncodeProposal(&clusterconfig.Proposal{ID: "a", Changes: []clusterconfig.Change{plan}})
	if err == nil {
		_, _, err = s.Apply(entry)
	}
	if err != nil {
		t.Fatal(err)
	}
	return configstream.NewVersion(s.Freeze(), nil)
}

// A push is decoded to the original value even if it contains unknown fields of a newer program. A push that violates a
// rule of the schema is rejected.
func TestPush(t *testing.T) {
	v := newVersion(t)
	push := NewPush(&configstream.Push{Nonce: 7, Body: v.Body(nil), IsConfirmed: true}, EncodeBody(v.Body(nil)))
	text, err := proto.Marshal(&FromMember{Body: &FromMember_Push{push}})
	if err != nil {
		t.Fatal(err)
	}
	text = protowire.AppendTag(text, 900, protowire.VarintType) // unknown field number
	text = protowire.AppendVarint(text, 1)
	var in FromMember
	if err := proto.Unmarshal(text, &in); err != nil {
		t.Fatal(err)
	}
	got, err := fromMember(&in)
	p, ok := got.(*configstream.Push)
	if err != nil || !ok || p.Nonce != 7 || !p.IsConfirmed {
		t.Fatalf("decoded push: got %+v, error %v", got, err)
	}
	if built, err := p.Body.Build(nil); err != nil || built.Ref != v.Ref {
		t.Errorf("version built from the push: got %v, want %v, error %v", built, v.Ref, err)
	}
	for name, corrupt := range map[string]func(p *Push){
		"no version":      func(p *Push) { p.Ref = nil },
		"a short digest":  func(p *Push) { p.Ref.Digest = p.Ref.Digest[1:] },
		"no format":       func(p *Push) { p.Format = 0 },
		"an empty object": func(p *Push) { p.Put[0].Value = nil },
		"no nonce":        func(p *Push) { p.Nonce = 0 },
	} {
		bad := proto.CloneOf(push)
		corrupt(bad)
		if got, err := fromMember(&FromMember{Body: &FromMember_Push{bad}}); err == nil {
			t.Errorf("push with %s: got %+v, want an error", name, got)
		}
	}
	if _, err := fromFollower(&FromFollower{}); err == nil {
		t.Error("message without a body: got no error")
	}
}

// Any message from a member is rejected, or its body builds the version with the digest in its reference.
func FuzzPush(f *testing.F) {
	v := newVersion(f)
	push := NewPush(&configstream.Push{Nonce: 7, Body: v.Body(nil)}, EncodeBody(v.Body(nil)))
	text, err := proto.Marshal(&FromMember{Body: &FromMember_Push{push}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var in FromMember
		if proto.Unmarshal(text, &in) != nil {
			return
		}
		got, err := fromMember(&in)
		if p, ok := got.(*configstream.Push); err == nil && ok {
			for _, base := range []*configstream.Version{nil, v} {
				if built, err := p.Body.Build(base); err == nil && built.Ref != p.Body.Ref {
					t.Fatalf("version built from a push: got %v, want %v", built.Ref, p.Body.Ref)
				}
			}
		}
	})
}

func benchPush(n int) *FromMember {
	p := &Push{Nonce: 1, Ref: &Ref{Number: 3, Digest: make([]byte, 32)}, Format: 1, Hash: fmt.Sprintf("%064d", 1)}
	for i := range n {
		p.Put = append(p.Put, &Object{Key: fmt.Sprint("licensee/", i), Value: []byte(`{"plan":"kubwa"}`)})
	}
	return &FromMember{Body: &FromMember_Push{p}}
}

func BenchmarkValidate(b *testing.B) {
	for _, n := range []int{1, 2000} {
		m := benchPush(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if err := validate(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkUnmarshal(b *testing.B) {
	text, _ := proto.Marshal(benchPush(2000))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if err := proto.Unmarshal(text, &FromMember{}); err != nil {
			b.Fatal(err)
		}
	}
}
