package kctfake

import (
	"runtime"
	"time"
)

// heapSampling is the time between two samples of the heap.
const heapSampling = 5 * time.Millisecond

// HeapPeak returns the largest heap in use in bytes, sampled until stop is closed.
func HeapPeak(stop <-chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-stop:
			return peak
		case <-time.After(heapSampling):
		}
	}
}
