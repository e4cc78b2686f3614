package edgeproxy

import (
	"syscall"
	"time"
	"unsafe"
)

// clockMonotonic is the ID of the machine's monotonic clock, which all processes share.
const clockMonotonic = 1

// monotonicTime returns the time of the machine's monotonic clock.
func monotonicTime() time.Duration {
	var now syscall.Timespec
	// The call fails only for an unknown clock or an invalid address.
	_, _, _ = syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic, uintptr(unsafe.Pointer(&now)), 0)
	return time.Duration(now.Nano())
}

// wallTime returns the Unix time, which may be stepped.
func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }
