//go:build review

package standin

import (
	"fmt"
	"sync"
	"time"

	"mulleinmux/internal/testserver"
)

// Effect is an effect that a request had at a hall.
type Effect struct {
	Hall, Server, Key, Trace string
	At                       time.Time
}

// Halls are two halls of booking servers. The servers of one hall drop a repeat of a key for 4 s.
type Halls struct {
	Names      []string
	Registers  map[string]string // discovery's address by hall
	Record     *Record
	LoseAnswer func(hall string, call Call) bool // decides whether the answer to a booking is lost after it ran; may be nil

	mu        sync.Mutex
	seen      map[string]time.Time // by hall and key: when the booking ran first
	Effects   []Effect
	discovery []*testserver.Discovery
	servers   []*AppServer
}

// Window is how long the booking servers of one hall drop a repeat.
const Window = 4 * time.Second

// NewHalls starts hall-a and hall-b with servers each.
func NewHalls(record *Record, servers int) (*Halls, error) {
	h := &Halls{Names: []string{"hall-a", "hall-b"}, Registers: map[string]string{}, Record: record,
		seen: map[string]time.Time{}}
	for _, name := range h.Names {
		discovery, err := testserver.NewDiscovery()
		if err != nil {
			return nil, err
		}
		h.discovery = append(h.discovery, discovery)
		h.Registers[name] = discovery.Addr().String()
		for n := range servers {
			server, err := NewAppServer(fmt.Sprintf("%s-s%d", name, n), func(call Call) Reply { return h.handle(name, call) })
			if err != nil {
				return nil, err
			}
			h.servers = append(h.servers, server)
			discovery.Put(testserver.Entry{InstanceID: server.ID, HostPort: server.Addr(), Zone: name,
				MachineType: "std-2core", Lifecycle: "up", Weight: 1})
		}
	}
	return h, nil
}

// Close ends all servers.
func (h *Halls) Close() {
	for _, server := range h.servers {
		server.Close()
	}
	for _, discovery := range h.discovery {
		discovery.Close()
	}
}

// handle is the work of a booking server: 50 ms for a look-up, 80 ms for a booking.
func (h *Halls) handle(hall string, call Call) Reply {
	body := fmt.Sprintf(`{"for":%q,"key":%q,"server":%q}`, call.Trace, call.Key, call.Server)
	if call.Key == "" {
		h.Record.Add("%s runs the look-up %s", call.Server, call.Trace)
		return Reply{After: 50 * time.Millisecond, Status: 200, Body: body}
	}
	now := time.Now()
	h.mu.Lock()
	first, isKnown := h.seen[hall+" "+call.Key]
	isRepeat := isKnown && now.Sub(first) < Window
	if !isRepeat {
		h.seen[hall+" "+call.Key] = now
		h.Effects = append(h.Effects, Effect{Hall: hall, Server: call.Server, Key: call.Key, Trace: call.Trace, At: now})
	}
	h.mu.Unlock()
	reply := Reply{After: 80 * time.Millisecond, Status: 201, Body: body}
	reply.NoAnswer = h.LoseAnswer != nil && h.LoseAnswer(hall, call)
	what := "books"
	if isRepeat {
		what = "drops the repeat of"
	}
	h.Record.Add("%s %s key %s trace %s (answer lost: %v)", call.Server, what, call.Key, call.Trace, reply.NoAnswer)
	return reply
}

// EffectsByKey returns the bookings by key.
func (h *Halls) EffectsByKey() map[string][]Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	byKey := map[string][]Effect{}
	for _, effect := range h.Effects {
		byKey[effect.Key] = append(byKey[effect.Key], effect)
	}
	return byKey
}
