package main

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/fixture"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
)

// relayIDField is the header field with the id of a relayed request.
const relayIDField = "X-Mulleinmux-Crossing"

// relayPlaceholders are the replacements of [maskRelayed].
var relayPlaceholders = []placeholder{
	{regexp.MustCompile(`(?m)^(X-Expires-In|Retry-After|X-Mulleinmux-Uptime): \d+\.\d{3}$`), "$1: SECONDS.MILLISECONDS"},
	{regexp.MustCompile(`(?m)^Date: [A-Z][a-z]{2}, \d\d [A-Z][a-z]{2} \d{4} \d\d:\d\d:\d\d GMT$`), "Date: TIME"},
	{regexp.MustCompile(`\bserved-\d+\b`), "served-NUMBER"},
	{regexp.MustCompile(`(?m)^X-Mulleinmux-Lease: renewable \d+$`), "X-Mulleinmux-Lease: renewable MICROSECONDS"},
}

// maskRelayed replaces the parts of relay messages that differ from run to run by placeholders.
func maskRelayed(text string) string {
	for _, p := range relayPlaceholders {
		text = p.pattern.ReplaceAllString(text, p.replacement)
	}
	return text
}

// The placeholders of relay messages replace only values in the format that was recorded.
func TestMaskRelayed(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"seconds with milliseconds", "X-Expires-In: 1.995\nX-Trace-Id: a",
			"X-Expires-In: SECONDS.MILLISECONDS\nX-Trace-Id: a"},
		{"whole seconds", "X-Expires-In: 2", "X-Expires-In: 2"},
		{"date of HTTP", "Date: Wed, 02 Dec 2026 06:00:00 GMT", "Date: TIME"},
		{"another date", "Date: 2026-12-02", "Date: 2026-12-02"},
		{"lease", "X-Mulleinmux-Lease: renewable 342344223664877\nX-Trace-Id: a",
			"X-Mulleinmux-Lease: renewable MICROSECONDS\nX-Trace-Id: a"},
		{"lease without a time", "X-Mulleinmux-Lease: renewable", "X-Mulleinmux-Lease: renewable"},
		{"numbered trace", "X-Trace-Id: served-12.1", "X-Trace-Id: served-NUMBER.1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := maskRelayed(test.text); got != test.want {
				t.Errorf("masked text: got %q, want %q", got, test.want)
			}
		})
	}
}

// readMessage reads a message: its unparsed head, with \n at the ends of lines, and the body of Content-Length bytes.
func readMessage(r *bufio.Reader) (head string, body []byte, err error) {
	lines := textproto.NewReader(r)
	length := 0
	for {
		line, err := lines.ReadLine()
		if err != nil {
			return "", nil, err
		}
		if line == "" {
			break
		}
		head += line + "\n"
		if name, value, _ := strings.Cut(line, ": "); strings.EqualFold(name, "Content-Length") {
			if length, err = strconv.Atoi(value); err != nil {
				return "", nil, err
			}
		}
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return head, body, err
}

// headerValue returns the value of a header field, or an empty string if the head lacks the field.
func headerValue(head, name string) string {
	for line := range strings.Lines(head) {
		if key, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), ": "); ok && key == name {
			return value
		}
	}
	return ""
}

// relayNumber is the form of the numbers that an instance issues for its relayed attempts.
var relayNumber = regexp.MustCompile(`^[A-Z2-7]{26}\.\d+$`)

// remoteSite is a fake instance of another site. It records the first message of each relayed request and of each
// status query, and sends scripted responses. In recorded messages and in keys it replaces the number of an attempt,
// which differs from run to run, by the request's trace ID and the count of attempts with it.
type remoteSite struct {
	responses map[string]string // by [remoteSite.key]; the connection is closed if there is none

	mu       sync.Mutex
	messages map[string]string // by [remoteSite.key]
	names    map[string]string // replacements of attempts' numbers
	attempts map[string]int    // attempts by trace ID
}

// serve accepts connections on a listener until it is closed.
func (s *remoteSite) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(conn) // ends with the connection, at the latest with the instance
	}
}

func (s *remoteSite) serveConnection(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		head, body, err := readMessage(r)
		if err != nil {
			return
		}
		answer, ok := s.responses[s.record(head, body)]
		if !ok {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// record records a message unless one with the same key was recorded before, and returns its key.
func (s *remoteSite) record(head string, body []byte) (key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key = s.key(head)
	if _, ok := s.messages[key]; !ok {
		number := headerValue(head, relayIDField)
		s.messages[key] = strings.Replace(head, number, s.names[number], 1) + "\n" + string(body)
	}
	return key
}

// key returns the key of a message: "ask" for a status query, else "request", and the name of its attempt. The caller
// holds the mutex.
func (s *remoteSite) key(head string) string {
	number := headerValue(head, relayIDField)
	if strings.HasPrefix(head, "GET /link/") {
		return "ask " + s.names[number]
	}
	if _, isKnown := s.names[number]; !isKnown && relayNumber.MatchString(number) {
		trace := headerValue(head, "X-Trace-Id")
		s.attempts[trace]++
		s.names[number] = trace + "." + strconv.Itoa(s.attempts[trace])
	}
	return "request " + s.names[number]
}

// Relayed requests, their responses and status queries between two sites have the same form, in both directions, as
// those recorded from the program before its first renaming, built from commit 49080d0 (./cmd/mulleingate), but for the
// numbers of attempts, which that program made from the clients' trace IDs. The test acts as the other site.
//
// Recorded with: MULLEINMUX_RECORD=1 MULLEINMUX_PROGRAM=/path/to/mulleingate go test ./cmd/gateway -run FixtureRelay
func TestFixtureRelay(t *testing.T) {
	dir := t.TempDir()
	r := &relayRecorder{operatorTest: &operatorTest{t: t, dir: dir, certs: filepath.Join(dir, "certs")}}
	r.mustRun(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--dir", r.certs)
	site := r.startRemoteSite()
	members := r.writeMemberFiles()
	linkAddr := freeAddr(t)
	link := fmt.Sprintf("\n[cluster.link]\nlisten = %q\n"+
		"[[cluster.link.far]]\nhall = \"hall-b\"\nmember = 2\naddress = %q\n", linkAddr, r.remoteAddr)
	replaceInFile(t, members[0], "\n[[cluster.member]]", link+"\n[[cluster.member]]")
	defer r.startMembers(members)()
	r.awaitAnswer()
	r.applySites()
	r.awaitReady()
	r.recordRelayed(site)
	r.recordAnswers(linkAddr)
	fixture.Compare(t, "relay.txt", []byte(maskRelayed(r.transcript.String())))
}

// relayRecorder records the messages between the first member and the test, which acts as the other site.
type relayRecorder struct {
	*operatorTest
	remoteAddr string
	discovery  *testserver.Discovery // of the member's own site
	transcript bytes.Buffer
}

// memberTLS returns a TLS configuration with the certificate of the second member.
func (r *relayRecorder) memberTLS() *tls.Config {
	r.t.Helper()
	credentials, err := raftnode.LoadMemberCredentials(r.certs, 2)
	if err != nil {
		r.t.Fatal(err)
	}
	return credentials.TLSConfig()
}

// startRemoteSite starts the fake instance of the other site.
func (r *relayRecorder) startRemoteSite() *remoteSite {
	r.t.Helper()
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Served-By: s1\r\nContent-Length: 3\r\n\r\nok\n"
	site := &remoteSite{messages: map[string]string{}, names: map[string]string{}, attempts: map[string]int{},
		responses: map[string]string{
			"request plain.1":  ok,
			"request change.1": ok,
			"ask broken.1":     strings.Replace(ok, "X-Served-By: s1", "X-Mulleinmux-Fate: ran", 1),
		}}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", r.memberTLS())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	r.remoteAddr = ln.Addr().String()
	go site.serve(ln) // ends with the listener
	return site
}

// applySites applies a configuration with two sites whose discovery services list no servers.
func (r *relayRecorder) applySites() {
	r.t.Helper()
	text, discoveries := startDiscoveries(r.t, deploy.Fleet)
	r.discovery = discoveries[0]
	writeFile(r.t, r.dir, "booking.yaml", string(deploy.Booking))
	r.mustConfig(0, "apply", writeFile(r.t, r.dir, "fleet.toml", text), "--wait", "applied-everywhere")
}

// exchange sends a message and returns the response formatted under a title.
func (r *relayRecorder) exchange(conn net.Conn, title, request string) (answer string) {
	r.t.Helper()
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, strings.ReplaceAll(request, "\n", "\r\n")); err != nil {
		r.t.Fatalf("%s: %v", title, err)
	}
	head, body, err := readMessage(bufio.NewReader(conn))
	if err != nil {
		r.t.Fatalf("%s: %v", title, err)
	}
	return fmt.Sprintf("# %s\n%s\n%s\n", title, head, body)
}

// recordRelayed sends requests to the instance, which relays them, and records the responses and the relayed messages.
func (r *relayRecorder) recordRelayed(site *remoteSite) {
	r.t.Helper()
	for _, request := range []string{
		"GET /v1/visits/new?a=b HTTP/1.1\nHost: example.test\nX-Licensee: bahari-net\nX-Trace-Id: plain\n" +
			"Accept: */*\nX-Custom: one\nX-Custom: two\nConnection: close\nTE: trailers\n\n",
		"GET /v1/visits/new HTTP/1.1\nHost: example.test\nX-Licensee: bahari-net\nX-Trace-Id: broken\n" +
			"X-Mulleinmux-Explain: 1\nConnection: close\n\n",
		"PATCH /v1/visits/7 HTTP/1.1\nHost: example.test\nX-Licensee: bahari-net\nX-Trace-Id: change\n" +
			"Content-Type: application/json\nContent-Length: 16\nConnection: close\n\n{\"installers\":2}",
	} {
		conn, err := net.Dial("tcp", r.listenAddrs[0])
		if err != nil {
			r.t.Fatal(err)
		}
		r.transcript.WriteString(r.exchange(conn, "answer to a client", request))
		conn.Close()
	}
	for _, key := range []string{"request plain.1", "request broken.1", "ask broken.1", "request change.1"} {
		site.mu.Lock()
		fmt.Fprintf(&r.transcript, "# %s\n%s\n", key, site.messages[key])
		site.mu.Unlock()
	}
}

// relayedRequest returns a request in the form in which another site relays it.
func relayedRequest(id string) string {
	return "GET /v1/visits/new HTTP/1.1\nHost: example.test\nX-Licensee: bahari-net\nX-Trace-Id: " + id +
		"\nX-Expires-In: 1.500\n" + relayIDField + ": " + id + ".1\nX-Mulleinmux-Version: 1\n\n"
}

// statusRequest returns a query for the status of a relayed request.
func statusRequest(id string) string {
	return "GET /link/fate HTTP/1.1\nHost: link\n" + relayIDField + ": " + id + ".1\n\n"
}

// recordAnswers relays requests to the instance and records its responses.
func (r *relayRecorder) recordAnswers(linkAddr string) {
	r.t.Helper()
	exchange := func(title, request string) string {
		r.t.Helper()
		conn, err := tls.Dial("tcp", linkAddr, r.memberTLS())
		if err != nil {
			r.t.Fatal(err)
		}
		defer conn.Close()
		return r.exchange(conn, title, request)
	}
	record := func(title, request string) { r.transcript.WriteString(exchange(title, request)) }
	record("no server", relayedRequest("far"))
	record("ask for that", statusRequest("far"))
	record("ask for one that never came", statusRequest("void"))
	record("one that was asked for before", relayedRequest("void"))
	record("no id", strings.Replace(relayedRequest("none"), relayIDField, "X-Other", 1))
	record("ask without an id", strings.Replace(statusRequest("none"), relayIDField, "X-Other", 1))
	r.startServer()
	id, answer := "", ""
	for end, i := time.Now().Add(testTimeout), 0; !strings.Contains(answer, "HTTP/1.1 200"); i++ {
		if time.Now().After(end) {
			r.t.Fatalf("the instance sends no request to the server: last response %s", answer)
		}
		id = fmt.Sprint("served-", i)
		answer = exchange("served", relayedRequest(id))
		time.Sleep(5 * time.Millisecond)
	}
	r.transcript.WriteString(answer)
	record("ask for that", statusRequest(id))
	record("the same again", relayedRequest(id))
}

// startServer starts a server and lists it with the discovery service of the instance's own site.
func (r *relayRecorder) startServer() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("X-Served-By", "s1")
		io.WriteString(w, "ok\n")
	}))
	r.t.Cleanup(server.Close)
	r.discovery.Put(testserver.Entry{InstanceID: "s1", HostPort: server.Listener.Addr().String(), Zone: "hall-a",
		MachineType: "m", Lifecycle: "up", Weight: 1})
}
