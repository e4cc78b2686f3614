//go:build review

// Command case9slowanswer runs one gateway before two halls whose app servers write their answers in small pieces. It
// checks that the gateway does not cut off an answer that an app server still gives, in the client's time.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/review/rig2"
)

const (
	serversPerHall = 3
	licensees      = 4
	clients        = 8
	clientInterval = 250 * time.Millisecond
	sendFor        = 15 * time.Second
	deadline       = 2 * time.Second
	work           = 80 * time.Millisecond
	answerBytes    = 24 << 10              // below the 64 KiB above which the first bytes are timed
	pieces         = 24                    // of 1 KiB
	pause          = 25 * time.Millisecond // between pieces: the answer is whole 0.66 s after the request
)

func main() { rig2.Main(60*time.Second, run) }

func run(record *rig2.Record, tmp string) (int, error) {
	var whole, cutOff atomic.Int64
	counter := rig2.NewCounter()
	text := strings.Repeat("h", answerBytes)
	var halls []rig2.Hall
	for _, name := range []string{"hall-a", "hall-b"} {
		discovery, err := testserver.NewDiscovery()
		if err != nil {
			return 0, err
		}
		defer discovery.Close()
		halls = append(halls, rig2.Hall{Name: name, Register: discovery.Addr().String()})
		for i := range serversPerHall {
			server, err := rig2.NewAppServer(fmt.Sprintf("%s-%d", name, i), counter, func(a rig2.Attempt) rig2.Answer {
				record.Add("app server %s got %s", a.Server, a.Trace)
				answer := rig2.Answer{After: work, Status: 200, Body: text, OnWritten: func(isWhole bool) {
					record.Add("app server %s has written the answer to %s: whole %v", a.Server, a.Trace, isWhole)
					if isWhole {
						whole.Add(1)
					} else {
						cutOff.Add(1)
					}
				}}
				if rig2.HasTrouble() {
					answer.Pieces, answer.Pause = pieces, pause
				}
				return answer
			})
			if err != nil {
				return 0, err
			}
			defer server.Close()
			discovery.Put(server.Entry(name, server.Addr))
		}
	}
	gateway, listen, err := startGateway(tmp, halls)
	if err != nil {
		return 0, err
	}
	var sent, served, failed atomic.Int64
	var workers sync.WaitGroup
	end := time.Now().Add(sendFor)
	for i := range clients {
		workers.Go(func() {
			time.Sleep(rand.N(clientInterval))
			for next := time.Now(); time.Now().Before(end); next = next.Add(clientInterval) {
				time.Sleep(time.Until(next))
				sent.Add(1)
				status := ask(record, listen, rig2.Request{Method: "POST", Target: "/v1/holds", Trace: rig2.NewID(), Body: "{}",
					Licensee: fmt.Sprintf("licensee-%d", i%licensees), ExpiresIn: deadline})
				switch status {
				case 200:
					served.Add(1)
				case 502:
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	if gateway.HasEnded() {
		return 0, fmt.Errorf("the gateway has ended")
	}
	gateway.Signal(syscall.SIGTERM)
	record.Say("sent %d, served %d, answered 502 %d; answers written whole by app servers %d, cut off by the gateway %d",
		sent.Load(), served.Load(), failed.Load(), whole.Load(), cutOff.Load())
	switch {
	case cutOff.Load() > 0:
		return rig2.ExitBroken, nil
	case served.Load() < sent.Load()/2:
		return 0, fmt.Errorf("fewer than half of the requests were served")
	}
	return rig2.ExitHeld, nil
}

// ask sends a request on a new connection, waits for as long as it says, and returns the status of the answer, or 0.
func ask(record *rig2.Record, listen string, request rig2.Request) int {
	conn, err := rig2.Dial(listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	record.Add("client sends %s %s", request.Trace, request.Target)
	if conn.Send(request) != nil {
		return 0
	}
	response, err := conn.Receive(time.Now().Add(deadline + time.Second))
	if err != nil {
		record.Add("client: no answer to %s: %v", request.Trace, err)
		return 0
	}
	record.Add("client got %d with %d bytes for %s", response.Status, len(response.Body), request.Trace)
	return response.Status
}

// startGateway starts a gateway with the settings of deploy/gateway.toml.
func startGateway(tmp string, halls []rig2.Hall) (*rig2.Process, string, error) {
	listen, err := rig2.FreeTCP(1)
	if err != nil {
		return nil, "", err
	}
	if err := rig2.CopyDescription(tmp); err != nil {
		return nil, "", err
	}
	var names []string
	for i := range licensees {
		names = append(names, fmt.Sprintf("licensee-%d", i))
	}
	text := fmt.Sprintf("name = \"gate-0\"\nlisten = %q\nzone = \"hall-a\"\ndescription = \"booking.yaml\"\ninstance = 0\npeers = []\n%s\n%s",
		listen[0], rig2.Servers, rig2.Agreed(halls, names))
	config := filepath.Join(tmp, "gateway.toml")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	gateway, err := rig2.Start("gateway", filepath.Join(tmp, "gateway.log"), "run", "--config", config)
	if err != nil {
		return nil, "", err
	}
	return gateway, listen[0], rig2.AwaitReady(listen[0], 10*time.Second)
}
