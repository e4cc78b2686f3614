package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// target configures and starts a program under test, and formats requests for it.
type target interface {
	// command returns the command that starts a process, which inherits the listening socket if socket is not nil.
	command(socket *os.File) *exec.Cmd
	// requestText returns a request in HTTP/1.1 syntax.
	requestText(r *request) string
}

// descriptorLimit is the number of descriptors that a process may hold. It is low so that idle connections exhaust it.
const descriptorLimit = 256

// inheritedDescriptor is the descriptor of the inherited socket: the first one after standard error.
const inheritedDescriptor = 3

// edgeTarget is the edge proxy.
type edgeTarget struct {
	program, dir, address string
	config                string // path of the configuration file
	nodes                 int    // number of nodes in the tier
}

// edgeSettings are the policy settings. Its arguments are the deadline of classes in seconds, the number of nodes, and
// rate and burst of the tight contract.
const edgeSettings = `{"instances":%[2]d,"familyInfo":{"inboxPerS":40},"lanes":[
	{"name":"check","idempotency":"retryable","onTime":0.4,"deadline":%[1]v,"worth":1},
	{"name":"book","idempotency":"dedup","keyScope":"all","memorySpan":30,"onTime":0.4,"deadline":%[1]v,"worth":2},
	{"name":"pay","idempotency":"fragile","onTime":0.4,"deadline":%[1]v,"worth":2}],
	"tariffs":[{"name":"wide","quotaRate":1e6,"peakUnits":1e6,"worthFactor":1},
		{"name":"tight","quotaRate":%[3]d,"peakUnits":%[4]d,"worthFactor":1}],
	"policyLimits":{"cancel":true,"peers":true,"probes":true,"retryAfter":true,"mostTries":4,"maxRetryAfter":2,
	"connIdle":20,"connectTimeout":0.25},"rules":{"answerSlack":0.008},"tick":0.002}`

func newEdgeTarget(
	p *Plan, program, dir, address string, discovery netip.AddrPort, peer *gossipPeer,
) (target, error) {
	t := &edgeTarget{program: program, dir: dir, address: address, config: filepath.Join(dir, "config.json"), nodes: 1}
	gossip := ""
	if peer != nil {
		t.nodes = 2
		gossip = fmt.Sprintf(`"peer_listen":%q,"peers":[%[1]q,%q],"peers_all":%[2]q,`, peer.nodeAddr, peer.address())
	}
	settings := fmt.Sprintf(edgeSettings, p.Deadline.Seconds(), t.nodes, tightRate, tightBurst)
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%x",%s"limits":{"memory_mb":192,"sockets":%d},
		"settings":%s}`, address, discovery, p.Seed, gossip, descriptorLimit, settings)
	return t, os.WriteFile(t.config, []byte(text), 0o600)
}

func (t *edgeTarget) command(socket *os.File) *exec.Cmd {
	cmd := exec.Command(t.program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+t.config, "TMPDIR="+t.dir)
	if socket != nil {
		cmd.ExtraFiles = []*os.File{socket}
		cmd.Env = append(cmd.Env, fmt.Sprint("PROXY_ACCEPT_FD=", inheritedDescriptor))
	}
	return cmd
}

// Customers of the contracts.
const (
	wideCustomer  = 0xb4d65521
	tightCustomer = 0xb4d65522
)

func (t *edgeTarget) requestText(r *request) string {
	customer := wideCustomer
	if r.contract == contractTight {
		customer = tightCustomer
	}
	text := fmt.Sprintf("%s /%s/a?customer=%016x HTTP/1.1\r\nHost: app.svc\r\nX-Qos: %s\r\n"+
		"X-Contract: %s\r\nX-Metering: units=1,spread=%d,first=0\r\n", r.method(), r.class, customer, r.class, r.contract,
		t.nodes)
	return text + commonFields(r)
}

// commonFields returns the header fields that both programs expect, and the body.
func commonFields(r *request) string {
	text := fmt.Sprintf("%s: %s\r\nX-Expires-In: %.3f\r\n", traceHeader, r.id, r.timeout.Seconds())
	if r.class == classCheck {
		return text + "\r\n"
	}
	if r.class == classBook {
		text += "Idempotency-Key: " + r.id + "\r\n"
	}
	const body = `{}`
	return text + fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// gatewayTarget is an instance of the gateway that is no member of a cluster.
type gatewayTarget struct {
	program, dir, config string
}

const gatewayDescription = `openapi: 3.0.3
info: {title: soak, version: "1"}
paths:
  /check/{id}:
    parameters: [{name: id, in: path, required: true, schema: {type: string}}]
    get: {operationId: check, x-mulleinmux: {class: check, units: 1}, responses: {"200": {description: ok}}}
  /book:
    post:
      operationId: book
      x-mulleinmux: {class: book, units: 1, effect: keyed, key: {header: Idempotency-Key}, group: zone, window: 30s}
      parameters: [{name: Idempotency-Key, in: header, required: true, schema: {type: string}}]
      responses: {"200": {description: ok}}
  /pay:
    post:
      operationId: pay
      x-mulleinmux: {class: pay, units: 1, effect: unsafe}
      responses: {"200": {description: ok}}
`

func newGatewayTarget(p *Plan, program, dir, address string, discovery netip.AddrPort) (target, error) {
	text := fmt.Sprintf("name = \"g0\"\nlisten = %q\nzone = \"z\"\ndescription = \"soak.yaml\"\n"+
		"[limits]\nclients = %d\nservers = 256\nmax_attempts = 4\nanswer_slack = \"8ms\"\n"+
		"[[hall]]\nname = \"z\"\nregister = %q\n"+
		"[[plan]]\nname = \"wide\"\nrate = 1e6\nburst = 1e6\nprice = 1.0\n"+
		"[[licensee]]\nname = \"honest\"\nplan = \"wide\"\n", address, descriptorLimit, discovery.String())
	for _, class := range []class{classCheck, classBook, classPay} {
		text += fmt.Sprintf("[[class]]\nname = %q\nworth = 1\naim = \"400ms\"\ndeadline = %q\n", class, p.Deadline)
	}
	t := &gatewayTarget{program: program, dir: dir, config: filepath.Join(dir, "gate.toml")}
	if err := os.WriteFile(filepath.Join(dir, "soak.yaml"), []byte(gatewayDescription), 0o600); err != nil {
		return nil, err
	}
	return t, os.WriteFile(t.config, []byte(text), 0o600)
}

func (t *gatewayTarget) command(*os.File) *exec.Cmd {
	return exec.Command(t.program, "run", "--config", t.config)
}

func (t *gatewayTarget) requestText(r *request) string {
	path := "/" + string(r.class)
	if r.class == classCheck {
		path += "/a"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Licensee: honest\r\n", r.method(), path) + commonFields(r)
}

// newTarget writes the configuration of a plan's program.
func newTarget(
	p *Plan, program, dir, address string, discovery netip.AddrPort, peer *gossipPeer,
) (target, error) {
	if p.Target == TargetEdgeProxy {
		return newEdgeTarget(p, program, dir, address, discovery, peer)
	}
	return newGatewayTarget(p, program, dir, address, discovery)
}

// listenLoopback opens a listening socket on a free port of the loopback interface.
func listenLoopback() (*net.TCPListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// processTimeout limits how long a process may take for a step that no rule bounds.
const processTimeout = 10 * time.Second
