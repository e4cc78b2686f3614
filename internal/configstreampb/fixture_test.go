package configstreampb

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/fixture"
)

// Each message of the stream, in both directions, is on the wire (frames of the Connect protocol with protobuf in them)
// as it was recorded, and recorded ones are read as what was sent.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/configstreampb -run Fixture
func TestFixtureStream(t *testing.T) {
	ref := configstream.Ref{
		Epoch:  configstream.Epoch{Number: 2, ID: "one"},
		Number: 7,
		Digest: configstream.Digest{1, 2, 3, 1 << 63},
	}
	older := configstream.Ref{Number: 6, Digest: configstream.Digest{5}}
	problems := []configstream.Problem{{Object: "plan/kati", Field: "rate", Text: "out of range"}, {Text: "no place"}}
	fromFollower := []any{
		configstream.Hello{
			ProcessID:    1,
			StartCount:   2,
			StreamNumber: 3,
			Running:      &older,
			RunningFor:   1500 * time.Millisecond,
			MaxFormat:    3,
			Rejections: []configstream.Rejection{
				{Ref: ref, Problems: problems, IsUnsupportedFormat: true}, {Ref: older, Problems: problems[1:]},
			},
		},
		configstream.Hello{ProcessID: 1, StartCount: 1, StreamNumber: 1, MaxFormat: 1},
		configstream.Report{Nonce: 4, Result: configstream.ResultApplied, Ref: ref, Running: &ref},
		configstream.Report{
			Nonce:               5,
			Result:              configstream.ResultRejected,
			Ref:                 ref,
			Running:             &older,
			Problems:            problems,
			IsUnsupportedFormat: true,
		},
		configstream.Report{Result: configstream.ResultStatusOnly, Ref: ref, Running: &ref},
		configstream.Report{Nonce: 6, Result: configstream.ResultNeedsFull, Ref: ref},
		configstream.Report{Nonce: 7, Result: configstream.ResultNotNewer, Ref: ref},
		configstream.Report{Nonce: 8, Result: configstream.ResultUnconfirmed, Ref: ref},
		configstream.Report{Nonce: 9, Result: configstream.ResultDiverged, Ref: ref}, uint64(12),
	}
	object := configstream.Object{Key: "plan/kati", Value: []byte(`{"rate":0,"burst":0,"price":1}`)}
	hash := strings.Repeat("0123456789abcdef", 4)
	fromMember := []any{
		&configstream.Push{
			Nonce: 1,
			Body: &configstream.Body{
				Ref:              ref,
				Format:           clusterconfig.Format,
				Hash:             hash,
				PlacementVersion: 3,
				PlanOrder:        []string{"kati", "kubwa"},
				Put:              []configstream.Object{object},
			},
			IsConfirmed: true,
		},
		&configstream.Push{
			Nonce: 2,
			Body: &configstream.Body{
				Ref:              ref,
				Base:             &older,
				Format:           1,
				Hash:             hash,
				PlacementVersion: 3,
				Put:              []configstream.Object{object},
				Removed:          []string{"plan/kubwa"},
			},
		},
		&configstream.Pong{
			Sequence:         12,
			Newest:           ref,
			PlacementVersion: 3,
			IsConfirmed:      true,
			NameConflict:     "another process",
		},
		&configstream.Pong{Sequence: 13, Newest: older},
	}

	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	serve := func(h http.Handler) *httptest.Server {
		srv := httptest.NewUnstartedServer(h)
		srv.EnableHTTP2 = true
		srv.StartTLS()
		t.Cleanup(srv.Close)
		return srv
	}
	check := func(got, want any, err error) {
		t.Helper()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v is read where %+v is sent: %v", got, want, err)
		}
	}

	// A follower's messages, as a server that takes all of them sees them; it answers with the recorded ones of a
	// member.
	t.Run("follower", func(t *testing.T) {
		body := make(chan []byte, 1)
		srv := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			body <- fmt.Appendf(
				nil, "%s %s\n%s",
				r.Method, r.URL.Path, append([]byte(r.Header.Get("Content-Type")+"\n"), text...),
			)
			w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
			w.Write(fixture.Read(t, "member.bin"))
		}))
		c := Dial(ctx, srv.Client(), strings.TrimPrefix(srv.URL, "https://"), cancel)
		for _, m := range fromFollower {
			if err := c.Send(m); err != nil {
				t.Fatal(err)
			}
		}
		if err := c.bidi.CloseRequest(); err != nil {
			t.Fatal(err)
		}
		fixture.Compare(t, "follower.bin", <-body)
		for _, m := range fromMember {
			got, err := c.Receive()
			check(got, m, err)
		}
		if _, err := c.Receive(); EndReason(err) != "enough" {
			t.Errorf("%v", err)
		}
	})

	// A member's messages, as a bare client sees them, which sends the recorded ones of a follower.
	t.Run("member", func(t *testing.T) {
		srv := serve(NewHandler(func(_ context.Context, s *MemberStream) error {
			for _, m := range fromFollower {
				got, err := s.Receive()
				check(got, m, err)
			}
			for _, m := range fromMember {
				if p, ok := m.(*configstream.Push); ok {
					m = NewPush(p, EncodeBody(p.Body))
				}
				if err := s.Send(m); err != nil {
					return err
				}
			}
			return NewEndError("enough")
		}))
		parts := bytes.SplitN(fixture.Read(t, "follower.bin"), []byte("\n"), 3)
		method, path, _ := strings.Cut(string(parts[0]), " ")
		q, err := http.NewRequestWithContext(ctx, method, srv.URL+path, bytes.NewReader(parts[2]))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Content-Type", string(parts[1]))
		q.Header.Set("Connect-Protocol-Version", "1")
		resp, err := srv.Client().Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		fixture.Compare(t, "member.bin", text)
	})
}
