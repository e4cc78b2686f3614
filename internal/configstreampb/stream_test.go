package configstreampb

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"mulleinmux/configstream"
)

const (
	// abortTimeout is how long an aborted stream may take to end. The member of the test never ends a stream.
	abortTimeout     = 2 * time.Second
	receiveStartTime = 100 * time.Millisecond
)

// Tests that a follower's Receive, which waits for a message, returns as soon as the stream is aborted or its context
// ends, although the member neither sends a message nor ends the stream.
func TestAbortEndsReceive(t *testing.T) {
	t.Parallel()
	for name, abort := range map[string]func(stream *FollowerStream, cancel context.CancelFunc){
		"Abort":             func(stream *FollowerStream, _ context.CancelFunc) { stream.Abort() },
		"end of the parent": func(_ *FollowerStream, cancel context.CancelFunc) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			parent, cancelParent := context.WithCancel(t.Context())
			defer cancelParent()
			stream := dialSilentMember(t, parent)
			if err := stream.Send(configstream.Hello{ProcessID: 1, StartCount: 1, StreamNumber: 1, MaxFormat: 1}); err != nil {
				t.Fatal(err)
			}
			if _, err := stream.Receive(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() {
				_, err := stream.Receive()
				ended <- err
			}()
			// Receive gets the time to begin its wait. If that were too short, the test would pass with the fault.
			time.Sleep(receiveStartTime)
			abort(stream, cancelParent)
			select {
			case err := <-ended:
				if err == nil {
					t.Error("Receive returned a message after the stream was aborted, want an error")
				}
			case <-time.After(abortTimeout):
				t.Errorf("Receive still waits %v after the stream was aborted", abortTimeout)
			}
		})
	}
}

// dialSilentMember begins a stream to a member that answers the first message and is silent then, until the test ends.
func dialSilentMember(t *testing.T, parent context.Context) *FollowerStream {
	t.Helper()
	testEnded := make(chan struct{})
	member := httptest.NewUnstartedServer(NewHandler(func(_ context.Context, stream *MemberStream) error {
		if _, err := stream.Receive(); err != nil {
			return err
		}
		if err := stream.Send(&configstream.Pong{Sequence: 1, Newest: configstream.Ref{Number: 1}}); err != nil {
			return err
		}
		<-testEnded
		return nil
	}))
	member.EnableHTTP2 = true
	member.StartTLS()
	t.Cleanup(func() {
		close(testEnded)
		member.Close()
	})
	ctx, cancel := context.WithCancel(parent)
	t.Cleanup(cancel)
	return Dial(ctx, member.Client(), member.Listener.Addr().String(), cancel)
}
