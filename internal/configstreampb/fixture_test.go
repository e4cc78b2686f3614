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

// Versions and problems in the recorded messages.
var (
	fixtureRef = configstream.Ref{
		Epoch:  configstream.Epoch{Number: 2, ID: "one"},
		Number: 7,
		Digest: configstream.Digest{1, 2, 3, 1 << 63},
	}
	fixtureOlder    = configstream.Ref{Number: 6, Digest: configstream.Digest{5}}
	fixtureProblems = []configstream.Problem{
		{Object: "plan/kati", Field: "rate", Text: "out of range"}, {Text: "no place"},
	}
)

// followerMessages returns the recorded messages of a follower, in the order in which they are sent.
func followerMessages() []any {
	return []any{
		configstream.Hello{
			ProcessID:    1,
			StartCount:   2,
			StreamNumber: 3,
			Running:      &fixtureOlder,
			RunningFor:   1500 * time.Millisecond,
			MaxFormat:    3,
			Rejections: []configstream.Rejection{
				{Ref: fixtureRef, Problems: fixtureProblems, IsUnsupportedFormat: true},
				{Ref: fixtureOlder, Problems: fixtureProblems[1:]},
			},
		},
		configstream.Hello{ProcessID: 1, StartCount: 1, StreamNumber: 1, MaxFormat: 1},
		configstream.Report{Nonce: 4, Result: configstream.ResultApplied, Ref: fixtureRef, Running: &fixtureRef},
		configstream.Report{
			Nonce:               5,
			Result:              configstream.ResultRejected,
			Ref:                 fixtureRef,
			Running:             &fixtureOlder,
			Problems:            fixtureProblems,
			IsUnsupportedFormat: true,
		},
		configstream.Report{Result: configstream.ResultStatusOnly, Ref: fixtureRef, Running: &fixtureRef},
		configstream.Report{Nonce: 6, Result: configstream.ResultNeedsFull, Ref: fixtureRef},
		configstream.Report{Nonce: 7, Result: configstream.ResultNotNewer, Ref: fixtureRef},
		configstream.Report{Nonce: 8, Result: configstream.ResultUnconfirmed, Ref: fixtureRef},
		configstream.Report{Nonce: 9, Result: configstream.ResultDiverged, Ref: fixtureRef}, uint64(12),
	}
}

// memberMessages returns the recorded messages of a member, in the order in which they are sent.
func memberMessages() []any {
	object := configstream.Object{Key: "plan/kati", Value: []byte(`{"rate":0,"burst":0,"price":1}`)}
	hash := strings.Repeat("0123456789abcdef", 4)
	return []any{
		&configstream.Push{
			Nonce: 1,
			Body: &configstream.Body{
				Ref:              fixtureRef,
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
				Ref:              fixtureRef,
				Base:             &fixtureOlder,
				Format:           1,
				Hash:             hash,
				PlacementVersion: 3,
				Put:              []configstream.Object{object},
				Removed:          []string{"plan/kubwa"},
			},
		},
		&configstream.Pong{
			Sequence:         12,
			Newest:           fixtureRef,
			PlacementVersion: 3,
			IsConfirmed:      true,
			NameConflict:     "another process",
		},
		&configstream.Pong{Sequence: 13, Newest: fixtureOlder},
	}
}

// testTimeout is the maximum duration of a test, far above the expected one.
const testTimeout = 30 * time.Second

// serveHTTP2 serves a handler over HTTP/2 and TLS until the test ends.
func serveHTTP2(t *testing.T, h http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(h)
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

// checkReceived checks that a received message equals the one that was sent.
func checkReceived(t *testing.T, got, want any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("received message: got %+v, want %+v, error %v", got, want, err)
	}
}

// A follower sends messages as the recorded bytes (Connect protocol frames that contain protobuf messages), and decodes
// the recorded messages of a member to the original values. The test server reads all of the follower's messages and
// responds with the recorded messages of a member.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/configstreampb -run Fixture
func TestFixtureFollowerStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	body := make(chan []byte, 1)
	srv := serveHTTP2(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		body <- fmt.Appendf(
			nil, "%s %s\n%s",
			r.Method, r.URL.Path, append([]byte(r.Header.Get("Content-Type")+"\n"), text...),
		)
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		w.Write(fixture.Read(t, "member.bin"))
	}))
	c := Dial(ctx, srv.Client(), strings.TrimPrefix(srv.URL, "https://"), cancel)
	for _, m := range followerMessages() {
		if err := c.Send(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.bidi.CloseRequest(); err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "follower.bin", <-body)
	for _, m := range memberMessages() {
		got, err := c.Receive()
		checkReceived(t, got, m, err)
	}
	if _, err := c.Receive(); EndReason(err) != "enough" {
		t.Errorf("end of the stream: got error %v, want the reason \"enough\"", err)
	}
}

// A member sends messages as the recorded bytes, and decodes the recorded messages of a follower to the original
// values. A plain HTTP client sends the recorded messages.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/configstreampb -run Fixture
func TestFixtureMemberStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	srv := serveHTTP2(t, NewHandler(func(_ context.Context, s *MemberStream) error {
		for _, m := range followerMessages() {
			got, err := s.Receive()
			checkReceived(t, got, m, err)
		}
		for _, m := range memberMessages() {
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
}
