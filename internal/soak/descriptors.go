package soak

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// descriptorCounts are the numbers of descriptors that a process holds, by use.
type descriptorCounts struct {
	clients   int // connections from clients
	servers   int // connections to app servers
	discovery int // connections to the service discovery
	others    int // listening sockets, files and everything else
}

// String lists the numbers.
func (c descriptorCounts) String() string {
	return fmt.Sprintf("%d of clients, %d of servers, %d of the discovery, %d others", c.clients, c.servers, c.discovery,
		c.others)
}

// momentaryUse is how long a descriptor must be open to be counted. A file that is being read, or the connection of a
// health check, is open for less.
const momentaryUse = 20 * time.Millisecond

// countDescriptors counts the descriptors that a process holds. One that is opened or closed meanwhile is not counted:
// its address may be missing from the list of sockets, which takes long to read on a machine with many.
func (r *run) countDescriptors(p *process) (counts descriptorCounts, err error) {
	before, err := readDescriptors(p.cmd.Process.Pid)
	if err != nil {
		return counts, err
	}
	sockets, err := readTCPSockets()
	if err != nil {
		return counts, err
	}
	time.Sleep(momentaryUse)
	after, err := readDescriptors(p.cmd.Process.Pid)
	if err != nil {
		return counts, err
	}
	for descriptor, object := range after {
		if before[descriptor] == object {
			r.countDescriptor(&counts, sockets[object])
		}
	}
	return counts, nil
}

// countDescriptor counts one descriptor, whose socket is the zero value if it is of another kind.
func (r *run) countDescriptor(counts *descriptorCounts, socket tcpSocket) {
	isServer := slices.ContainsFunc(r.servers, func(s *appServer) bool {
		return s.listener.Addr().String() == socket.remote.String()
	})
	switch {
	case isServer:
		counts.servers++
	case socket.remote == r.discovery.Addr():
		counts.discovery++
	case socket.local.String() == r.address && socket.remote.Port() != 0:
		counts.clients++
	default:
		counts.others++
	}
}

// readDescriptors returns the objects that a process's descriptors refer to.
func readDescriptors(pid int) (map[string]string, error) {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil, err
	}
	objects := map[string]string{}
	for _, descriptor := range descriptors {
		object, err := os.Readlink(descriptor)
		if err == nil { // otherwise it was closed since the list was read
			objects[descriptor] = object
		}
	}
	return objects, nil
}

// tcpSocket is a TCP socket over IPv4. The remote port of a listening socket is 0.
type tcpSocket struct{ local, remote netip.AddrPort }

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// readTCPSockets returns the machine's TCP sockets over IPv4, by the object that a descriptor of each refers to.
func readTCPSockets() (map[string]tcpSocket, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	sockets := map[string]tcpSocket{}
	_, rows, _ := strings.Cut(string(text), "\n") // the first line holds the names of the columns
	for row := range strings.Lines(rows) {
		columns := strings.Fields(row)
		if len(columns) <= columnInode {
			return nil, fmt.Errorf("soak: /proc/net/tcp: line with %d columns: %q", len(columns), row)
		}
		local, err := parseKernelAddr(columns[columnLocal])
		if err != nil {
			return nil, err
		}
		remote, err := parseKernelAddr(columns[columnRemote])
		if err != nil {
			return nil, err
		}
		sockets["socket:["+columns[columnInode]+"]"] = tcpSocket{local, remote}
	}
	return sockets, nil
}

// parseKernelAddr parses an IPv4 address and port in the form of /proc/net/tcp: the address is the hexadecimal value of
// its bytes in the machine's byte order, as in 0100007F:1F90 for 127.0.0.1:8080 on a little-endian machine.
func parseKernelAddr(text string) (netip.AddrPort, error) {
	addrText, portText, _ := strings.Cut(text, ":")
	addrBytes, err := hex.DecodeString(addrText)
	if err != nil || len(addrBytes) != net4Bytes {
		return netip.AddrPort{}, fmt.Errorf("soak: /proc/net/tcp: address %q is not an IPv4 address and port", text)
	}
	port, err := strconv.ParseUint(portText, 16, 16)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("soak: /proc/net/tcp: port of address %q: %w", text, err)
	}
	var addr [net4Bytes]byte
	binary.NativeEndian.PutUint32(addr[:], binary.BigEndian.Uint32(addrBytes))
	return netip.AddrPortFrom(netip.AddrFrom4(addr), uint16(port)), nil
}

// net4Bytes is the size of an IPv4 address.
const net4Bytes = 4
