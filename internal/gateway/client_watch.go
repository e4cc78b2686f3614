package gateway

import (
	"net"
	"sync"

	"mulleinmux/internal/graceful"
)

// disconnectWatch reports that the client of a connection disconnects while something is done for it elsewhere, so that
// no goroutine of this instance reads from or writes to the connection. The connection is registered with the monitor by
// its first watch, so that one whose requests are never watched costs nothing.
type disconnectWatch struct {
	conn    net.Conn
	monitor *graceful.DisconnectMonitor

	mu             sync.Mutex // guards the fields below, and is held while onDisconnect is called
	token          uint64     // of the registration; 0: none
	isDisconnected bool
	onDisconnect   func() // nil: nothing is watched
}

// start has onDisconnect called once if the client disconnects before stop is called, or has disconnected already.
// onDisconnect must not block. If the kernel has no memory for the registration, a disconnect is not reported; no
// attempt begins after it nevertheless, by the lease of the instance that the request was relayed to.
func (w *disconnectWatch) start(onDisconnect func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.token == 0 {
		w.token, _ = w.monitor.Watch(w.conn, w.disconnected)
	}
	if w.isDisconnected {
		onDisconnect()
		return
	}
	w.onDisconnect = onDisconnect
}

// stop ends the watch. onDisconnect is not called any more after stop has returned.
func (w *disconnectWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = nil
}

// disconnected is called by the monitor.
func (w *disconnectWatch) disconnected() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDisconnected = true
	if w.onDisconnect != nil {
		w.onDisconnect()
		w.onDisconnect = nil
	}
}

// close ends the registration of a connection that has been closed.
func (w *disconnectWatch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.token != 0 {
		w.monitor.Unwatch(w.token)
	}
}
