package lwtgateway

import "testing"

// reserveAll reserves pieces of a size until there is no memory for another one, and returns how many bytes fit.
func reserveAll(memory *callerMemory, bytes int) (reserved int) {
	for memory.Reserve(bytes) {
		reserved += bytes
	}
	return reserved
}

// TestCallerMemory guards against large requests that take the memory of short ones, or both that of connections, and against memory that is lost by a rejection.
func TestCallerMemory(t *testing.T) {
	for _, megabytes := range []int{0, 404, 414, 804} {
		limits := VMLimits{MemoryMegabytes: megabytes}
		memory := newCallerMemory(limits)
		large, short, connections := reserveAll(memory, 4<<20), reserveAll(memory, 48<<10), reserveAll(memory, 16<<10)
		if bound := memoryPart(limits, 0.55); int64(large) > bound {
			t.Errorf("%d MB: large requests take %d bytes, at most %d allowed", megabytes, large, bound)
		}
		if short < 100*48<<10 || connections < 1000*16<<10 {
			t.Errorf("%d MB: short requests take %d bytes beside the large ones, connections %d", megabytes, short, connections)
		}
		if bound := memoryPart(limits, callerMemoryFraction); memory.used.Load() > bound {
			t.Errorf("%d MB: %d bytes are reserved, at most %d allowed", megabytes, memory.used.Load(), bound)
		}
		memory.Release(large + short + connections)
		if memory.used.Load() != 0 {
			t.Errorf("%d MB: %d bytes stay reserved", megabytes, memory.used.Load())
		}
	}
}

// BenchmarkCallerMemory measures what the account costs a request.
func BenchmarkCallerMemory(b *testing.B) {
	memory := newCallerMemory(VMLimits{MemoryMegabytes: 414})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if memory.Reserve(48 << 10) {
				memory.Release(48 << 10)
			}
		}
	})
}

// TestEventMemory guards against buffers for incomplete events that together exceed their memory, also while they grow.
func TestEventMemory(t *testing.T) {
	memory := newEventMemory(VMLimits{MemoryMegabytes: 400})
	shares := make([]eventShare, 250)
	pending := make([][]byte, len(shares))
	piece := make([]byte, 4<<10)
	refused := 0
	for range 300 {
		kept := int64(0)
		for i := range shares {
			shares[i].memory = memory
			var enough bool
			if pending[i], enough = shares[i].append(pending[i], piece); !enough {
				refused++
				pending[i] = nil
				shares[i].resize(0)
			}
			kept += int64(cap(pending[i]))
		}
		if bound := memory.limit + int64(len(shares))*ownEventBytes; kept > bound {
			t.Fatalf("%d bytes are kept, at most %d allowed", kept, bound)
		}
	}
	for i := range shares {
		shares[i].resize(0)
	}
	if refused == 0 || memory.used.Load() != 0 {
		t.Errorf("%d refusals, %d bytes stay reserved", refused, memory.used.Load())
	}
}
