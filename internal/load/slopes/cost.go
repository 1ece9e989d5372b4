package slopes

import (
	"runtime"
	"syscall"
	"time"
)

const (
	// minCPU is the minimum CPU time of one measurement.
	minCPU = 20 * time.Millisecond
	// trials is the number of times that each measurement is made. The minimum
	// counts, because any disturbance adds to the CPU time.
	trials = 3
)

// cpuNS returns the CPU time of one call in nanoseconds, including garbage
// collection.
func cpuNS(call func()) float64 {
	calls := calibrate(call)
	var minTime time.Duration
	for range trials {
		cpuTime := cpuOfCalls(call, calls)
		if minTime == 0 || cpuTime < minTime {
			minTime = cpuTime
		}
	}
	return float64(minTime) / float64(calls)
}

// calibrate returns a number of calls that use minCPU or more.
func calibrate(call func()) int {
	for calls := 1; ; calls *= 2 {
		if cpuOfCalls(call, calls) >= minCPU {
			return calls
		}
	}
}

// cpuOfCalls returns the CPU time of a number of calls.
func cpuOfCalls(call func(), calls int) time.Duration {
	start := processCPU()
	for range calls {
		call()
	}
	return processCPU() - start
}

// processCPU returns the CPU time that this process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the bytes of heap that the value returned by build keeps alive.
func heapBytes(build func() any) float64 {
	before := liveBytes()
	value := build()
	after := liveBytes()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// liveBytes returns the bytes of live heap objects, after garbage collection.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
