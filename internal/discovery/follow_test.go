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
)

const patience = 30 * time.Second

// agent answers each watch as the script says, over a real connection; w sends what is written at once.
func agent(t *testing.T, script func(n int, from string, w io.Writer, gone <-chan struct{})) *Watcher {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := 0 // one watch at a time
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		w.(http.Flusher).Flush()
		script(n, r.URL.Query().Get("from"), flushed{w}, r.Context().Done())
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return &Watcher{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), SilenceTimeout: SilenceTimeout, IsLocalAgent: true, Logf: t.Logf}
}

type flushed struct{ http.ResponseWriter }

func (f flushed) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	f.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

// start runs the follower and gives the lists that it hands on.
func start(t *testing.T, f *Watcher) <-chan EndpointList {
	t.Helper()
	lists := make(chan EndpointList, 100)
	f.OnList = func(l EndpointList) { lists <- l }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return lists
}

func next(t *testing.T, lists <-chan EndpointList) EndpointList {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(patience):
		t.Fatal("no list comes")
		return EndpointList{}
	}
}

func text(generation int) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"a \"{[","hostPort":"127.0.0.1:9","lifecycle":"up"},{"instanceId":"b","hostPort":"127.0.0.1:8","lifecycle":"draining"}]}`, generation)
}

// An agent that is silent learns nothing, and what it has at its return counts as told at once. So a node of a large fleet is
// not blind for longer than any other: with the pauses of calls that a fleet makes, 2.5 to 7.5 s at 300 nodes, it went on
// sending to servers that had been told to drain.
func TestASilentAgentIsAskedAgainAtOnce(t *testing.T) {
	for _, nodes := range []int{1, 80, 300, 1000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			const silent = 100 * time.Millisecond
			f := agent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
				switch n {
				case 1: // opened and silent
				case 2:
					io.WriteString(w, "\n") // silent after a sign of life
				case 3, 4, 5:
					io.WriteString(w, text(8)[:40]) // silent in the middle of a list
				default:
					io.WriteString(w, text(9)+"\n")
				}
				<-gone
			})
			f.SilenceTimeout, f.Backoff = silent, NewBackoff(nodes, 3)
			begun := time.Now()
			if l := next(t, start(t, f)); l.Generation != 9 {
				t.Errorf("list %+v", l)
			}
			if took := time.Since(begun); took > 2200*time.Millisecond {
				t.Errorf("%d nodes: the list came after %v, with five silences of %v", nodes, took, silent)
			}
		})
	}
}

// An agent that says nothing on a new watch is given up well before one that has fallen silent: both
// together stay inside the 6 s after which a list counts as told.
func TestTwoSilencesInARow(t *testing.T) {
	f := agent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
		switch n {
		case 1:
			io.WriteString(w, text(8)+"\n")
		case 2:
		default:
			io.WriteString(w, text(9)+"\n")
		}
		<-gone
	})
	lists := start(t, f)
	next(t, lists)
	fell := time.Now()
	next(t, lists)
	if took := time.Since(fell); took > 5500*time.Millisecond {
		t.Errorf("the next list came %v after the watch had fallen silent", took)
	}
}

// A list may come indented, over many lines and in pieces with pauses, and counts once it is whole.
func TestListsInOtherForms(t *testing.T) {
	var wide bytes.Buffer
	if err := json.Indent(&wide, []byte(text(8)), "", "\t"); err != nil {
		t.Fatal(err)
	}
	f := agent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
		fmt.Fprintf(w, "\n%s\n\n%s\r\n", wide.String(), strings.ReplaceAll(text(9), ",", " ,\n"))
		for piece := range strings.SplitAfterSeq(text(10), ",") { // longer than a silence in all
			io.WriteString(w, piece)
			time.Sleep(60 * time.Millisecond)
		}
		io.WriteString(w, "\n")
		<-gone
	})
	f.SilenceTimeout = 200 * time.Millisecond
	lists := start(t, f)
	for want := uint64(8); want <= 10; want++ {
		if l := next(t, lists); l.Generation != want || len(l.Servers) != 2 || l.Servers[0].ID != `a "{[` {
			t.Fatalf("list %+v, want version %d", l, want)
		}
	}
}

// What was said is lost with a list that breaks off: the whole list is asked for. Nothing of the torn one counts.
func TestTornListsAreAskedForAnew(t *testing.T) {
	for name, torn := range map[string]string{
		"before a sign of life": text(8)[:60] + "\n\n",
		"in a name":             text(8)[:46] + "\n",
		"at the end":            text(8)[:60],
		"no object":             "[1]\n",
		"doubled":               text(8) + text(8) + "\n",
		"too long":              `{"x":[` + strings.Repeat("0,\n", maxList/2),
		"too long in one line":  `{"x":[` + strings.Repeat("0,", maxList/2),
	} {
		t.Run(name, func(t *testing.T) {
			froms, begun := make(chan string, 10), time.Now()
			f := agent(t, func(n int, from string, w io.Writer, gone <-chan struct{}) {
				froms <- from
				if n > 1 {
					io.WriteString(w, text(9)+"\n")
				} else if io.WriteString(w, torn); strings.HasSuffix(name, "end") {
					return
				}
				<-gone
			})
			f.LastGeneration, f.Backoff = 7, NewBackoff(300, 3)
			if l := next(t, start(t, f)); l.Generation != 9 {
				t.Errorf("a torn list counted: %+v", l)
			}
			// An agent serves this node alone: there is no line that calls of a fleet could lengthen.
			if took := time.Since(begun); took > 2200*time.Millisecond {
				t.Errorf("the next list came after %v", took)
			}
			if a, b := <-froms, <-froms; a != "7" || b != "0" {
				t.Errorf("asked from %s and %s, want 7 and 0", a, b)
			}
		})
	}
}

// One list may not take for ever, however steadily its pieces come.
func TestAListThatNeverEnds(t *testing.T) {
	for name, end := range map[string]string{"indented": "\n", "in one line": ""} {
		t.Run(name, func(t *testing.T) {
			f := agent(t, func(n int, _ string, w io.Writer, gone <-chan struct{}) {
				if n > 1 {
					io.WriteString(w, text(9)+"\n")
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
			f.SilenceTimeout = 50 * time.Millisecond
			if l := next(t, start(t, f)); l.Generation != 9 {
				t.Errorf("list %+v", l)
			}
		})
	}
}
