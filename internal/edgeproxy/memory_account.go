package edgeproxy

import (
	"errors"
	"log/slog"
	"sync"
	"time"

	"mulleinmux/internal/memaccount"
)

// defaultMemoryMB is the node's memory in MiB if the configuration sets no limit.
const defaultMemoryMB = 64

// Fractions of the node's memory. What they leave is for the program, its engine, and garbage.
const (
	accountMemoryFraction    = 0.2 // for what the account counts
	connectionMemoryFraction = 0.2 // for the fixed cost of connections
)

// Costs in bytes.
const (
	connectionBytes = 24 << 10 // of an open client connection and one to an app server: buffers and goroutines
	requestBytes    = 20 << 10 // of a request that is processed, besides its head, body and response
)

// minClientConns is the least number of client connections, whatever the memory.
const minClientConns = 16

// Bytes that these costs include.
const (
	includedInputBytes  = 4 << 10 // of what was received ahead of net/http
	includedBodyBytes   = 4 << 10 // of a buffered body
	includedAnswerBytes = 4 << 10 // of a buffered response or a copy buffer
)

// reservationRetryInterval is the time between two tries of a reservation that has to wait.
const reservationRetryInterval = 10 * time.Millisecond

var (
	errNoMemory      = errors.New("memory for requests is used up")
	errMemoryEvicted = errors.New("request was given up because its memory is needed for others")
)

// memoryMiB returns the node's memory in MiB.
func (c *Config) memoryMiB() int {
	if c.MemoryMB == 0 {
		return defaultMemoryMB
	}
	return c.MemoryMB
}

// memoryConnLimit returns how many connections of each side the fixed cost allows.
func memoryConnLimit(memoryMB int) int {
	return max(int(connectionMemoryFraction*float64(memoryMB)*(1<<20))/connectionBytes, minClientConns)
}

// customersPerMB is how many customers' quotas are kept for each MiB of the node's memory.
const customersPerMB = 320

// maxCustomers returns how many customers' quotas a node keeps.
func maxCustomers(memoryMB int) int {
	return memoryMB * customersPerMB
}

// memoryAccount is the account of all memory that clients and servers make the process hold beyond the fixed cost of
// connections. Package memaccount decides; the account carries the decisions out. A nil account has no limit.
type memoryAccount struct {
	logger *slog.Logger

	mu      sync.Mutex
	account *memaccount.Account[*connMemory]
	isShort bool // logged as short
	changed time.Time
}

// newMemoryAccount returns the account of a node with memoryMB MiB of memory.
func newMemoryAccount(memoryMB int, logger *slog.Logger) *memoryAccount {
	limit := int64(accountMemoryFraction * float64(memoryMB) * (1 << 20))
	return &memoryAccount{logger: logger, account: memaccount.New[*connMemory](limit)}
}

// usage returns the reserved bytes, their limit and the decisions so far.
func (a *memoryAccount) usage() (used, limit int64, counts memaccount.Counts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Used(), a.account.Limit(), a.account.Counts()
}

// connMemory is what one client connection makes the process hold. A nil connMemory is not counted.
type connMemory struct {
	account *memoryAccount
	holder  memaccount.Holder[*connMemory]
	evict   func() // ends the request that is being received

	beforeWait func() // called before a reservation waits; nil: nothing is

	input reservation // data that net/http has not read
	head  reservation // the current request, with its parsed head
}

// newConn returns the memory of a new connection.
func (a *memoryAccount) newConn() *connMemory {
	m := &connMemory{account: a}
	m.holder.Owner = m
	m.input.memory, m.head.memory = m, m
	return m
}

// setEvict sets the function that ends the request of the connection when its memory is needed.
func (m *connMemory) setEvict(evict func()) { m.evict = evict }

// received records that part of a request was received.
func (m *connMemory) received(now time.Time) {
	m.do(func(account *memaccount.Account[*connMemory]) { account.BeginReceiving(now, &m.holder) })
}

// requestComplete records that the request is complete: from here on it has to be answered.
func (m *connMemory) requestComplete() {
	m.do(func(account *memaccount.Account[*connMemory]) { account.EndReceiving(&m.holder) })
}

// requestEnded releases what the request's head held. What was received ahead of the next request remains reserved
// until that ends.
func (m *connMemory) requestEnded() {
	m.requestComplete()
	m.head.release()
	m.input.release()
}

// do calls f with the account under its mutex, and logs if memory has become short, or is available again.
func (m *connMemory) do(f func(account *memaccount.Account[*connMemory])) {
	a := m.account
	if a == nil {
		return
	}
	a.mu.Lock()
	f(a.account)
	wasShort, used := a.isShort, a.account.Used()
	hasChanged := a.account.IsShort(wasShort) != wasShort && time.Since(a.changed) >= minLogInterval
	if hasChanged {
		a.isShort, a.changed = !wasShort, time.Now()
	}
	a.mu.Unlock()
	if hasChanged {
		a.logChange(!wasShort, used)
	}
}

// minLogInterval is the time between two log lines on memory: clients could cause any number of them.
const minLogInterval = time.Second

// logChange logs that memory has become short, or is available again.
func (a *memoryAccount) logChange(isShort bool, used int64) {
	if isShort {
		a.logger.Warn("memory short", slog.Int64("reserved", used), slog.Int64("limit", a.account.Limit()))
	} else {
		a.logger.Info("memory available", slog.Int64("reserved", used))
	}
}

// evictAll ends the requests of evicted holders.
func evictAll(evicted []*memaccount.Holder[*connMemory]) {
	for _, holder := range evicted {
		holder.Owner.evict()
	}
}

// evictMemory ends the request that is being received on the connection. The reading goroutine answers it and releases
// its memory. A request that was received completely goes on, though it may still wait for its turn.
func (c *clientConn) evictMemory() {
	c.limiter.mu.Lock()
	isReceiving := c.state == stateReading && !c.input.isRequestComplete()
	c.isMemoryEvicted = c.isMemoryEvicted || isReceiving
	c.limiter.mu.Unlock()
	if isReceiving {
		c.Conn.SetReadDeadline(expiredDeadline)
	}
}

// isEvictedForMemory reports whether evictMemory has ended the request.
func (c *clientConn) isEvictedForMemory() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.isMemoryEvicted
}
