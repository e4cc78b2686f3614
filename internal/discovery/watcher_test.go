package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/internal/testserver"
)

const testTimeout = 30 * time.Second

// startAgent starts an agent that serves watches over real connections and returns a watcher for it. Watch number n,
// counted from 1, is served by script(n, ...); writes to w are sent at once, and gone is closed when the watcher
// disconnects.
func startAgent(t *testing.T, script func(n int, from string, w io.Writer, gone <-chan struct{})) *Watcher {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := 0 // one watch at a time
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		w.(http.Flusher).Flush()
		script(n, r.URL.Query().Get("from"), flushWriter{w}, r.Context().Done())
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	return &Watcher{Addr: addr, SilenceTimeout: SilenceTimeout, IsLocalAgent: true, Logger: logging.New(t.Output())}
}

type flushWriter struct{ http.ResponseWriter }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	f.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

// startWatcher runs the watcher until the end of the test and returns a channel of the lists that it receives.
func startWatcher(t *testing.T, watcher *Watcher) <-chan EndpointList {
	t.Helper()
	lists := make(chan EndpointList, 100)
	watcher.OnList = func(l EndpointList) { lists <- l }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watcher.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return lists
}

func nextList(t *testing.T, lists <-chan EndpointList) EndpointList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(testTimeout):
		t.Fatal("no endpoint list received in time")
		return EndpointList{}
	}
}

func listText(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[`+
		`{"instanceId":"a \"{[","hostPort":"127.0.0.1:9","lifecycle":"up"},`+
		`{"instanceId":"b","hostPort":"127.0.0.1:8","lifecycle":"draining"}]}`, generation)
}

// A node is expected to act on what an agent publishes as soon as the agent responds again. A silent agent is therefore
// watched again soon, whatever the size of the tier.
func TestSilentAgentIsPolledAgainAtOnce(t *testing.T) {
	for _, nodes := range []int{1, 80, 300, 1000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			const silent = 100 * time.Millisecond
			watcher := startAgent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
				switch n {
				case 1: // opened and silent
				case 2:
					io.WriteString(w, "\n") // silent after a heartbeat
				case 3, 4, 5:
					io.WriteString(w, listText(8)[:40]) // silent in the middle of a list
				default:
					io.WriteString(w, listText(9)+"\n")
				}
				<-gone
			})
			watcher.SilenceTimeout, watcher.Backoff = silent, NewBackoff(nodes, 3)
			startedAt := time.Now()
			if l := nextList(t, startWatcher(t, watcher)); l.Generation != 9 {
				t.Errorf("got list %+v, want generation 9", l)
			}
			if took := time.Since(startedAt); took > 2200*time.Millisecond {
				t.Errorf("%d nodes: list received after %v, with five silence timeouts of %v", nodes, took, silent)
			}
		})
	}
}

// An agent that sends nothing on a new watch is given up well before one that falls silent later. Both timeouts
// together stay below the 6 s within which a node must act on a published list.
func TestTwoSilencesInARow(t *testing.T) {
	t.Parallel()
	watcher := startAgent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
		switch n {
		case 1:
			io.WriteString(w, listText(8)+"\n")
		case 2:
		default:
			io.WriteString(w, listText(9)+"\n")
		}
		<-gone
	})
	lists := startWatcher(t, watcher)
	nextList(t, lists)
	silentSince := time.Now()
	nextList(t, lists)
	if took := time.Since(silentSince); took > 5500*time.Millisecond {
		t.Errorf("next list received %v after the watch fell silent, want at most 5.5s", took)
	}
}

// A list may be indented over many lines or arrive in pieces with pauses; it is applied once it is complete.
func TestListsInOtherForms(t *testing.T) {
	t.Parallel()
	var wide bytes.Buffer
	if err := json.Indent(&wide, []byte(listText(8)), "", "\t"); err != nil {
		t.Fatal(err)
	}
	watcher := startAgent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
		fmt.Fprintf(w, "\n%s\n\n%s\r\n", wide.String(), strings.ReplaceAll(listText(9), ",", " ,\n"))
		for piece := range strings.SplitAfterSeq(listText(10), ",") { // takes longer than the silence timeout in total
			io.WriteString(w, piece)
			time.Sleep(60 * time.Millisecond)
		}
		io.WriteString(w, "\n")
		<-gone
	})
	watcher.SilenceTimeout = 200 * time.Millisecond
	lists := startWatcher(t, watcher)
	for want := uint64(8); want <= 10; want++ {
		if l := nextList(t, lists); l.Generation != want || len(l.Servers) != 2 || l.Servers[0].ID != `a "{[` {
			t.Fatalf("got list %+v, want generation %d with two servers", l, want)
		}
	}
}

// The changes in a malformed list are lost: the watcher applies no part of it and requests the complete list.
func TestTruncatedListsAreRequestedAgain(t *testing.T) {
	for name, truncated := range map[string]string{
		"before a sign of life": listText(8)[:60] + "\n\n",
		"in a name":             listText(8)[:46] + "\n",
		"at the end":            listText(8)[:60],
		"no object":             "[1]\n",
		"doubled":               listText(8) + listText(8) + "\n",
		"too long":              `{"x":[` + strings.Repeat("0,\n", maxListBytes/2),
		"too long in one line":  `{"x":[` + strings.Repeat("0,", maxListBytes/2),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			froms, startedAt := make(chan string, 10), time.Now()
			watcher := startAgent(t, func(n int, from string, w io.Writer, gone <-chan struct{}) {
				froms <- from
				if n > 1 {
					io.WriteString(w, listText(9)+"\n")
				} else if io.WriteString(w, truncated); strings.HasSuffix(name, "end") {
					return
				}
				<-gone
			})
			watcher.LastGeneration, watcher.Backoff = 7, NewBackoff(300, 3)
			if l := nextList(t, startWatcher(t, watcher)); l.Generation != 9 {
				t.Errorf("malformed list was applied: got %+v, want generation 9", l)
			}
			// An agent serves only this node, so there is no queue of a tier's calls that a retry could lengthen.
			if took := time.Since(startedAt); took > 2200*time.Millisecond {
				t.Errorf("next list received after %v, want at most 2.2s", took)
			}
			if a, b := <-froms, <-froms; a != "7" || b != "0" {
				t.Errorf("watches requested from generations %s and %s, want 7 and 0", a, b)
			}
		})
	}
}

// The watch of a list that never ends is given up, however steadily its pieces arrive.
func TestEndlessList(t *testing.T) {
	for name, end := range map[string]string{"indented": "\n", "in one line": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			watcher := startAgent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
				if n > 1 {
					io.WriteString(w, listText(9)+"\n")
					<-gone
					return
				}
				io.WriteString(w, `{"generation":8,"instances":[`+end)
				for {
					select {
					case <-gone:
						return
					case <-time.After(5 * time.Millisecond):
						io.WriteString(w, "{},"+end)
					}
				}
			})
			watcher.SilenceTimeout = 50 * time.Millisecond
			if l := nextList(t, startWatcher(t, watcher)); l.Generation != 9 {
				t.Errorf("got list %+v, want generation 9", l)
			}
		})
	}
}

// The watcher logs one line for an outage, one for its end, and one for all entries of a list that it skips.
func TestWatcherLogsChangesOfState(t *testing.T) {
	t.Parallel()
	const bad = `{"generation":9,"reset":true,"instances":[{"instanceId":"a","hostPort":"nowhere","lifecycle":"up"},` +
		`{"instanceId":"b","hostPort":"127.0.0.1:8","lifecycle":"asleep"}]}`
	w := startAgent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
		switch n {
		case 1, 2: // the watch ends at once
			return
		case 3:
			io.WriteString(w, bad+"\n")
		}
		<-gone
	})
	var logs testserver.Log
	w.Logger = logs.Logger()
	nextList(t, startWatcher(t, w))
	for _, line := range []struct{ message, detail string }{
		{"discovery watch ended", "error=EOF"},
		{"discovery watch resumed", ""},
		{"endpoints skipped", `count=2 error="instances[0].`},
	} {
		if !logs.HasLine(line.message, line.detail) {
			t.Errorf("no log line with message %q and %q", line.message, line.detail)
		}
	}
	if n := strings.Count(logs.String(), "\n"); n != 3 {
		t.Errorf("got %d log lines, want 3:\n%s", n, &logs)
	}
}
