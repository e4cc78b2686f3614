package streamwire

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

func benchPush(n int) *FromMember {
	p := &Push{Nonce: 1, Ref: &Ref{Number: 3, Digest: make([]byte, 32)}, Format: 1, Hash: fmt.Sprintf("%064d", 1)}
	for i := range n {
		p.Put = append(p.Put, &Object{Key: fmt.Sprint("licensee/", i), Value: []byte(`{"plan":"kubwa"}`)})
	}
	return &FromMember{Body: &FromMember_Push{p}}
}

func BenchmarkValid(b *testing.B) {
	for _, n := range []int{1, 2000} {
		m := benchPush(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if err := valid(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkRead(b *testing.B) {
	text, _ := proto.Marshal(benchPush(2000))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if err := proto.Unmarshal(text, &FromMember{}); err != nil {
			b.Fatal(err)
		}
	}
}
