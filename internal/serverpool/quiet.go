package serverpool

import "syscall"

// IsQuiet reports whether an idle connection is still open and has nothing to read. If the server has closed it or has
// sent unsolicited data, a request written to it would fail with a reset, after which not every request may be retried.
func IsQuiet(raw syscall.RawConn) bool {
	var b [1]byte
	isQuiet := false
	err := raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && isQuiet
}
