package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// setDescriptors sets the number of descriptors that a process may have, and returns the last one.
func setDescriptors(t *testing.T, pid int, count uint64) (last uint64) {
	t.Helper()
	last, err := testserver.SetDescriptorLimit(pid, count)
	if err != nil {
		t.Fatal(err)
	}
	return last
}

// openDescriptors returns how many descriptors a process has.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	count, err := testserver.OpenDescriptors(pid)
	if err != nil {
		t.Fatal(err)
	}
	return count
}

// startNewConnections keeps clients connecting anew for each sound request until the returned function is called. It
// returns how many requests got no answer.
func startNewConnections(t *testing.T, n *abusedNode, clients int) (stop func() (unanswered []string)) {
	done := make(chan struct{})
	results := make(chan []string, clients)
	for i := range clients {
		go func() {
			var unanswered []string
			for number := 0; ; number++ {
				select {
				case <-done:
					results <- unanswered
					return
				case <-time.After(5 * time.Millisecond):
				}
				id := fmt.Sprintf("new-%d-%d", i, number)
				if err := sendOnNewConnection(n.addr, id); err != nil {
					unanswered = append(unanswered, fmt.Sprint(id, ": ", err))
				}
			}
		}()
	}
	return func() (unanswered []string) {
		close(done)
		for range clients {
			unanswered = append(unanswered, <-results...)
		}
		return unanswered
	}
}

// sendOnNewConnection sends a request and waits for its answer.
func sendOnNewConnection(addr, id string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write([]byte(abuseRequest("check", id, "", "Connection: close\r\n"))); err != nil {
		return err
	}
	answer := make([]byte, 1000)
	n, err := c.Read(answer)
	if !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 ") {
		return fmt.Errorf("answer %q, error %w", answer[:n], err)
	}
	return nil
}

// Accept, socket and dup fail with EMFILE for some moments: the process goes on and answers every request in time.
func TestAnswersWhileDescriptorsAreUsedUp(t *testing.T) {
	server := startAbuseServer(t, respondAfter(5*time.Millisecond, len(ordinaryAnswer)))
	n := startAbusedNode(t, nodeLimits{memoryMB: 32, sockets: 1024}, server)
	ordinary := startOrdinaryClients(t, n, 10, 20*time.Millisecond, time.Second)
	stop := startNewConnections(t, n, 10)
	random := rand.New(rand.NewPCG(abuseSeed, 0))
	for range 4 {
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
		open := openDescriptors(t, n.cmd.Process.Pid)
		last := setDescriptors(t, n.cmd.Process.Pid, uint64(open-random.IntN(8)))
		time.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
		setDescriptors(t, n.cmd.Process.Pid, last)
	}
	time.Sleep(100 * time.Millisecond)
	if unanswered := stop(); len(unanswered) > 0 {
		t.Errorf("%d requests on new connections got no answer, the first: %s", len(unanswered), unanswered[0])
	}
	ordinary.finish()
	select {
	case <-n.exited:
		t.Error("the process ended by itself")
	default:
	}
}
