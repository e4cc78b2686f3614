package graceful

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	acceptRetryInterval = 2 * time.Millisecond // before another try after a transient error
	openRetryTimeout    = time.Second          // for which OpenSocket tries to open a socket
)

// transientAcceptErrors are the errors of accept(2) that say nothing about the listener: the connection has failed
// already, or no descriptor or memory is left.
var transientAcceptErrors = []syscall.Errno{
	syscall.EINTR, syscall.ECONNABORTED, syscall.EPERM, syscall.ETIMEDOUT,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSR,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// resourceErrors are the errors of system calls that open a socket, if no descriptor or memory is left for a moment.
var resourceErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// OpenSocket calls open until it succeeds. It tries again for a second while no descriptor or memory is left; any other
// error is returned at once.
func OpenSocket[S any](open func() (S, error)) (S, error) {
	for end := time.Now().Add(openRetryTimeout); ; time.Sleep(acceptRetryInterval) {
		socket, err := open()
		if err == nil || !isOneOf(err, resourceErrors) || time.Now().After(end) {
			return socket, err
		}
	}
}

// IsTransientAcceptError reports whether Accept may succeed if it is called again after an error. A listener on a
// descriptor that is no listening socket never gets here: it is checked when it is opened.
func IsTransientAcceptError(err error) bool { return isOneOf(err, transientAcceptErrors) }

// isOneOf reports whether an error is that of a system call with one of several numbers.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}
