package bench

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	bytesOfMiB = 1 << 20
	kBOfMB     = 1024
	// clockTicks is the unit of /proc/PID/stat in ticks a second, see proc(5) and sysconf(_SC_CLK_TCK).
	clockTicks = 100
	// statUserTime and statSystemTime are positions in /proc/PID/stat, counted behind the process's name.
	statUserTime   = 11
	statSystemTime = 12
)

var (
	errNoPeakMemory  = errors.New("bench: /proc has no peak of memory")
	errNoProcessTime = errors.New("bench: /proc has no processor time")
)

// heapBytes returns the size of this process's live heap.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processTime returns the processor time that this process has used; 0 if the system does not tell.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// openDescriptors returns how many files a process has open; 0 if it has ended.
func openDescriptors(pid int) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// peakMemory returns the most that a process had resident, in MB.
func peakMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0, errNoPeakMemory
	}
	kB, err := strconv.ParseFloat(fields[0], 64)
	return kB / kBOfMB, err
}

// cpuSeconds returns the processor time that a process has used, in seconds.
func cpuSeconds(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name before may have spaces
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0, errNoProcessTime
	}
	user, err := strconv.ParseFloat(fields[statUserTime], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[statSystemTime], 64)
	return (user + system) / clockTicks, err
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func microseconds(d time.Duration) float64 { return float64(d.Microseconds()) }
