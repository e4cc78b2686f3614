package testserver

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"
)

// sysPrlimit is the number of the system call prlimit64, which package syscall has on some architectures only.
var sysPrlimit = map[string]uintptr{"amd64": 302, "arm64": 261}[runtime.GOARCH]

// resourceLimit is a limit as the system call prlimit takes it.
type resourceLimit struct{ current, maximum uint64 }

// SetDescriptorLimit sets the number of descriptors that a process may have, and returns the last one. The maximum up to
// which it may be raised again stays.
func SetDescriptorLimit(pid int, count uint64) (last uint64, err error) {
	var limit resourceLimit
	if err := callPrlimit(pid, nil, &limit); err != nil {
		return 0, err
	}
	last, limit.current = limit.current, count
	return last, callPrlimit(pid, &limit, nil)
}

// callPrlimit sets, or gets, a process's limit of descriptors.
func callPrlimit(pid int, set, get *resourceLimit) error {
	_, _, errno := syscall.RawSyscall6(sysPrlimit, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(get)), 0, 0)
	if errno != 0 {
		return os.NewSyscallError("prlimit64", errno)
	}
	return nil
}

// OpenDescriptors returns how many descriptors a process has.
func OpenDescriptors(pid int) (count int, err error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// UseUpDescriptors sets the limit of a process's descriptors so that it can open none before it closes one.
func UseUpDescriptors(pid int) error {
	for unused := 0; ; unused++ {
		_, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", pid, unused))
		if err == nil {
			continue
		}
		_, err = SetDescriptorLimit(pid, uint64(unused))
		return err
	}
}
