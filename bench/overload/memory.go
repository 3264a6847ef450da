package overload

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Memory is the memory of a process in bytes.
type Memory struct {
	Resident int // pages in memory, files included
	Sockets  int // buffers of the kernel for its TCP sockets
}

// Total returns the sum.
func (m Memory) Total() int { return m.Resident + m.Sockets }

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

var errNoResident = errors.New("overload: /proc/PID/status has no value of VmRSS")

// processMemory returns the memory of a process, by /proc and sock_diag(7).
func processMemory(pid int) (Memory, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, err
	}
	_, rest, ok := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return Memory{}, errNoResident
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		return Memory{}, err
	}
	sockets, err := socketMemory(pid)
	return Memory{Resident: kilobytes * bytesPerKB, Sockets: sockets}, err
}

// socketMemory returns the bytes of the kernel's buffers for the TCP sockets of a process.
func socketMemory(pid int) (int, error) {
	inodes, err := socketInodes(pid)
	if err != nil {
		return 0, err
	}
	sum := 0
	err = forEachTCPSocket(func(inode uint32, bytes int) {
		if inodes[inode] {
			sum += bytes
		}
	})
	return sum, err
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) (map[uint32]bool, error) {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	inodes := map[uint32]bool{}
	for _, file := range files {
		link, err := os.Readlink(directory + "/" + file.Name())
		if err != nil { // closed since
			continue
		}
		digits, isSocket := strings.CutPrefix(strings.TrimSuffix(link, "]"), "socket:[")
		if inode, err := strconv.ParseUint(digits, 10, 32); isSocket && err == nil {
			inodes[uint32(inode)] = true
		}
	}
	return inodes, nil
}

// Layout of the messages of sock_diag(7).
const (
	sockDiagByFamily     = 20 // SOCK_DIAG_BY_FAMILY
	skMemInfo            = 7  // INET_DIAG_SKMEMINFO
	allStates            = 0xFFFFFFFF
	diagRequestBytes     = 56 // struct inet_diag_req_v2
	diagMessageBytes     = 72 // struct inet_diag_msg
	diagInodeOffset      = 68
	attributeHeaderBytes = 4 // struct rtattr
	attributeAlign       = 4
	netlinkBufferBytes   = 256 << 10
)

// Indices of struct sk_meminfo that hold buffers in use, see SK_MEMINFO_RMEM_ALLOC and so on.
var usedBuffers = []int{0, 4, 5, 6, 7} // receive queue, reserved, write queue, options, backlog

// forEachTCPSocket calls f with the inode and the buffers in use of each TCP socket over IPv4.
func forEachTCPSocket(f func(inode uint32, bytes int)) error {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(fd) }() // only read from
	if err := unix.Sendto(fd, dumpRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return os.NewSyscallError("sendto", err)
	}
	buffer := make([]byte, netlinkBufferBytes)
	for {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if err != nil {
			return os.NewSyscallError("recvfrom", err)
		}
		if done, err := readDump(buffer[:n], f); done || err != nil {
			return err
		}
	}
}

// dumpRequest returns a request for all TCP sockets over IPv4 with their memory.
func dumpRequest() []byte {
	b := make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes)
	binary.NativeEndian.PutUint32(b[0:], uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	request := b[unix.NLMSG_HDRLEN:]
	request[0], request[1], request[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(skMemInfo-1)
	binary.NativeEndian.PutUint32(request[4:], allStates)
	return b
}

// readDump calls f for each socket in b. It returns true after the last one.
func readDump(b []byte, f func(inode uint32, bytes int)) (done bool, err error) {
	for len(b) >= unix.NLMSG_HDRLEN {
		size := int(binary.NativeEndian.Uint32(b))
		if size < unix.NLMSG_HDRLEN || size > len(b) {
			return true, nil
		}
		switch binary.NativeEndian.Uint16(b[4:]) {
		case unix.NLMSG_DONE:
			return true, nil
		case unix.NLMSG_ERROR:
			return true, unix.EIO
		}
		if message := b[unix.NLMSG_HDRLEN:size]; len(message) >= diagMessageBytes {
			f(binary.NativeEndian.Uint32(message[diagInodeOffset:]), memoryOf(message[diagMessageBytes:]))
		}
		b = b[min(aligned(size), len(b)):]
	}
	return false, nil
}

// memoryOf returns the buffers in use from the attributes of a socket.
func memoryOf(attributes []byte) (sum int) {
	for len(attributes) >= attributeHeaderBytes {
		size := int(binary.NativeEndian.Uint16(attributes))
		kind := binary.NativeEndian.Uint16(attributes[2:])
		if size < attributeHeaderBytes || size > len(attributes) {
			return 0
		}
		if kind == skMemInfo {
			return sumOf(attributes[attributeHeaderBytes:size])
		}
		attributes = attributes[min(aligned(size), len(attributes)):]
	}
	return 0
}

func sumOf(values []byte) (sum int) {
	const width = 4 // bytes of a value
	for _, i := range usedBuffers {
		if (i+1)*width <= len(values) {
			used := int32(binary.NativeEndian.Uint32(values[i*width:]))
			sum += int(max(used, 0)) // the reserved bytes are negative for moments
		}
	}
	return sum
}

func aligned(size int) int { return (size + attributeAlign - 1) &^ (attributeAlign - 1) }
