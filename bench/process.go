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
	bytesPerMiB = 1 << 20
	kBPerMB     = 1024
	// clockTicksPerSecond is the number of clock ticks per second. Clock ticks are the unit of the times in
	// /proc/PID/stat, see proc(5) and sysconf(_SC_CLK_TCK).
	clockTicksPerSecond = 100
	// statUserTimeField and statSystemTimeField are indices of fields in /proc/PID/stat. The first field after the
	// process name has index 0.
	statUserTimeField   = 11
	statSystemTimeField = 12
)

var (
	errNoPeakMemory  = errors.New("bench: /proc/PID/status has no value of VmHWM")
	errNoProcessTime = errors.New("bench: /proc/PID/stat has no processor time: too few fields")
)

// heapBytes runs a garbage collection and returns the size of this process's live heap.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processTime returns the processor time that this process has used, or 0 if getrusage fails.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// openDescriptors returns the number of open file descriptors of a process, or 0 if the process has ended.
func openDescriptors(pid int) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// peakMemory returns the peak resident set size of a process, in MB.
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
	return kB / kBPerMB, err
}

// cpuSeconds returns the processor time that a process has used, in seconds.
func cpuSeconds(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // skips the process name, which may contain spaces
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTimeField {
		return 0, errNoProcessTime
	}
	user, err := strconv.ParseFloat(fields[statUserTimeField], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[statSystemTimeField], 64)
	return (user + system) / clockTicksPerSecond, err
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func microseconds(d time.Duration) float64 { return float64(d.Microseconds()) }
