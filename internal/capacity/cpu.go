package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// threadTime returns the CPU time of the calling thread. The caller must have
// locked its goroutine to the thread. Concurrent garbage collection runs on
// other threads and is not part of it.
func threadTime() time.Duration {
	return clockTime(unix.CLOCK_THREAD_CPUTIME_ID)
}

// processTime returns the CPU time of all threads, garbage collection
// included.
func processTime() time.Duration {
	return clockTime(unix.CLOCK_PROCESS_CPUTIME_ID)
}

func clockTime(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}

// heap returns the bytes of live objects and of stacks after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
