package gateway

import (
	"io"
	"testing"
	"time"
)

// A drain finishes what was taken, answers what still comes and ends.
func TestDrain(t *testing.T) {
	h := newHalls(t)
	h.server("hall-a", "s")
	g := start(t, h, 1, func(c *Config) { c.DrainTimeout = 300 * time.Millisecond })
	idle, c := dial(t, g.addr), dial(t, g.addr)
	c.send(get("GET /visits/1"))
	a := h.next()
	g.stop()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if r := dial(t, g.addr).ask(get("GET /health/ready")); r.status == 503 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("goes on being ready")
		}
	}
	late := dial(t, g.addr)
	late.send(get("GET /visits/2"))
	b := h.next()
	b.answer <- answerText(200, "", "late")
	if r := late.read(); r.status != 200 || !r.close {
		t.Errorf("while draining: %+v", r)
	}
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	a.answer <- answerText(200, "", "x")
	if r := c.read(); r.status != 200 || !r.close {
		t.Errorf("taken before: %+v", r)
	}
	select {
	case g.done <- <-g.done:
	case <-time.After(patience):
		t.Error("the instance does not end")
	}
}

// A list of one hall says nothing of the other's servers; a server that drains gets
// nothing new.
func TestHallsApart(t *testing.T) {
	h := newHalls(t)
	h.server("hall-a", "s")
	h.server("hall-a", "t")
	h.server("hall-b", "s")
	g := start(t, h, 3, nil)
	h.list("hall-a", "t", "127.0.0.1:1", "removed") // a change says nothing of the hall's others
	h.gone(g, "hall-a", 1)
	h.list("hall-a", "s", "127.0.0.1:1", "removed")
	h.gone(g, "hall-a", 0)
	c := dial(t, g.addr)
	for range 5 {
		c.send(get("GET /visits/1"))
		a := h.next()
		if a.server != "hall-b/s" {
			t.Errorf("sent to %s", a.server)
		}
		a.answer <- answerText(200, "", "")
		if r := c.read(); r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
}
