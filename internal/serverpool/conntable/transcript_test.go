package conntable

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinmux/policy"
)

// transcript applies the events of a text to a table and writes the text again, with the table's response after each
// event. A test passes if the new text equals the old one. A line that begins with "> " is an event:
//
//	list ID STATE [port N] [start N]  an entry of the endpoint list
//	up ID...                          entries of servers that are up at port 1
//	listed ID...                      the end of a complete list with these servers
//	acquire ID                        acquires a connection
//	open ID CONN...                   acquires and dials connections while none is idle
//	dialled ID CONN                   the server's oldest pending dial has succeeded
//	failed ID                         the server's oldest pending dial has failed or was cancelled
//	release CONN..., discard CONN     the end of a connection's use
//	reset CONN TIME                   a reset, with the time since the write
//	silent CONN                       a response timeout
//	prune [ID...]                     prunes the idle connections, with the IDs of the subset
//	close all                         takes all idle connections
//	timeout ID                        queries the server's idle timeout
//	wait TIME                         advances the clock
type transcript struct {
	table *Table[string]
	now   time.Time
	conns map[string]*Conn[string]
	dials map[string][]*Server[string] // pending, by server ID
	out   strings.Builder
}

func runTranscript(t *testing.T, config Config, text string) {
	t.Helper()
	text = strings.ReplaceAll(strings.TrimSpace(text), "\t", "")
	r := &transcript{
		table: New[string](config),
		now:   time.Unix(0, 0),
		conns: map[string]*Conn[string]{},
		dials: map[string][]*Server[string]{},
	}
	for line := range strings.Lines(text) {
		if event, ok := strings.CutPrefix(strings.TrimSpace(line), "> "); ok {
			fmt.Fprintf(&r.out, "> %s\n%s, open %d\n", event, r.run(t, strings.Fields(event)), r.table.openCount)
		}
	}
	if got := strings.TrimSpace(r.out.String()); got != text {
		t.Errorf("got transcript:\n%s\n\nwant:\n%s", got, text)
	}
}

// run applies an event and returns a description of the table's response.
func (r *transcript) run(t *testing.T, words []string) string {
	t.Helper()
	switch words[0] {
	case "list":
		return closed(r.table.UpdateServer(listEntry(t, words[1:])))
	case "up":
		var stale []*Conn[string]
		for _, id := range words[1:] {
			stale = append(stale, r.table.UpdateServer(listEntry(t, []string{id, "up"}))...)
		}
		return closed(stale)
	case "listed":
		return closed(r.table.RemoveUnlisted(set(words[1:])))
	case "acquire":
		return r.acquire(words[1])
	case "open":
		return r.open(t, words[1], words[2:])
	case "dialled":
		return r.dialled(words[1], words[2])
	case "failed":
		r.takeDial(words[1])
		r.table.RecordClosed()
		return "counted"
	case "release":
		return r.release(words[1:])
	case "discard":
		r.table.RecordClosed()
		return "counted"
	case "reset":
		return closed(r.table.RecordReset(r.now, r.conns[words[1]], duration(t, words[2])))
	case "silent":
		return closed(r.table.TakeIdleOf(r.conns[words[1]]))
	case "prune":
		return closed(r.table.Prune(r.now, set(words[1:])))
	case "close":
		return closed(r.table.TakeAllIdle())
	case "timeout":
		return r.table.Snapshot(r.now).Servers[words[1]].IdleTimeout.String()
	case "wait":
		r.now = r.now.Add(duration(t, words[1]))
		return "at " + r.now.Sub(time.Unix(0, 0)).String()
	}
	t.Fatalf("unknown event: %q", words)
	return ""
}

func (r *transcript) acquire(id string) string {
	step, err := r.table.Acquire(r.now, id)
	switch {
	case err != nil:
		return err.Error()
	case step.Kind == Reuse:
		return "reuse " + step.Conn.HostConn
	case step.Kind == Expire:
		return "expire " + step.Conn.HostConn
	}
	r.dials[id] = append(r.dials[id], step.Server)
	if step.Evicted != nil {
		return fmt.Sprintf("evict %s, dial port %d", step.Evicted.HostConn, step.Server.Addr.Port())
	}
	return fmt.Sprintf("dial port %d", step.Server.Addr.Port())
}

// open opens connections to a server and returns a description of their dials, which must all have the same port.
func (r *transcript) open(t *testing.T, id string, names []string) string {
	t.Helper()
	outcome := ""
	for _, name := range names {
		acquired := r.acquire(id)
		if !strings.HasPrefix(acquired, "dial port ") {
			t.Fatalf("open %s: %s", name, acquired)
		}
		if outcome != "" && outcome != acquired {
			t.Fatalf("open %s: got %s, want %s as before", name, acquired, outcome)
		}
		outcome = acquired
		if used := r.dialled(id, name); used != "in use" {
			t.Fatalf("open %s: %s", name, used)
		}
	}
	return outcome + ", in use"
}

// release releases connections and returns a description of their new states.
func (r *transcript) release(names []string) string {
	var outcomes []string
	for _, name := range names {
		outcome := "idle"
		if !r.table.Release(r.now, r.conns[name]) {
			r.table.RecordClosed()
			outcome = "close " + name
		}
		outcomes = append(outcomes, outcome)
	}
	return strings.Join(slices.Compact(outcomes), ", ")
}

func (r *transcript) dialled(id, name string) string {
	conn := r.table.CompleteDial(r.takeDial(id), name)
	if conn == nil {
		r.table.RecordClosed()
		return "close " + name
	}
	r.conns[name] = conn
	return "in use"
}

// takeDial removes the server's oldest pending dial and returns its Server.
func (r *transcript) takeDial(id string) *Server[string] {
	server := r.dials[id][0]
	r.dials[id] = r.dials[id][1:]
	return server
}

// closed returns a description of closed connections, sorted by name because the order of the servers is random.
func closed(conns []*Conn[string]) string {
	if len(conns) == 0 {
		return "close none"
	}
	var names []string
	for _, conn := range conns {
		names = append(names, conn.HostConn)
	}
	slices.Sort(names)
	return "close " + strings.Join(names, " ")
}

// set returns the set of the names, or nil if there are none.
func set(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	s := map[string]bool{}
	for _, name := range names {
		s[name] = true
	}
	return s
}

func duration(t *testing.T, word string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(word)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// listEntry parses an entry of the endpoint list.
func listEntry(t *testing.T, words []string) (policy.Server, netip.AddrPort) {
	t.Helper()
	states := map[string]policy.ServerState{"up": policy.Up, "draining": policy.Draining, "removed": policy.Removed}
	state, ok := states[words[1]]
	if !ok {
		t.Fatalf("unknown server state: %q", words)
	}
	entry, port := policy.Server{ID: words[0], State: state}, 1
	for i := 2; i+1 < len(words); i += 2 {
		number, err := strconv.Atoi(words[i+1])
		if err != nil {
			t.Fatal(err)
		}
		switch words[i] {
		case "port":
			port = number
		case "start":
			entry.StartedAt = time.Duration(number) * time.Second
		}
	}
	return entry, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port))
}
