package lwthttp

// reservation is the memory that one request has reserved. It is not safe for concurrent use.
type reservation struct {
	memory Memory
	bytes  int
}

// grow reserves more memory, and reports whether there was enough.
func (reservation *reservation) grow(bytes int) bool {
	if !reservation.memory.Reserve(bytes) {
		return false
	}
	reservation.bytes += bytes
	return true
}

// release returns all memory of the reservation.
func (reservation *reservation) release() {
	reservation.memory.Release(reservation.bytes)
	reservation.bytes = 0
}
