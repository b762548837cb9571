package lwtstandin

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ShopFault names how a shop order server fails.
type ShopFault string

// The faults of a shop.
const (
	// ShopWorks answers every call.
	ShopWorks ShopFault = "works"
	// ShopRefuses answers that the call did not run.
	ShopRefuses ShopFault = "refuses"
	// ShopCrashesBefore reads the call and closes the connection.
	ShopCrashesBefore ShopFault = "crashes-before"
	// ShopCrashesAfter runs the call and closes the connection without an answer.
	ShopCrashesAfter ShopFault = "crashes-after"
	// ShopClosesIdle answers and then closes the connection without saying so.
	ShopClosesIdle ShopFault = "closes-idle"
	// ShopHangs runs the call and never answers.
	ShopHangs ShopFault = "hangs"
)

// FaultyShop is a shop order server that fails on demand.
type FaultyShop struct {
	*Shop
	mutex sync.Mutex
	fault ShopFault
	// calls counts the calls read, whether or not they ran.
	calls int
}

// NewFaultyShop returns a shop that works.
func NewFaultyShop(name string) *FaultyShop {
	return &FaultyShop{Shop: NewShop(name), fault: ShopWorks}
}

// SetFault changes how calls from now on fail.
func (shop *FaultyShop) SetFault(fault ShopFault) {
	shop.mutex.Lock()
	defer shop.mutex.Unlock()
	shop.fault = fault
}

// Calls returns the number of calls that the shop has read.
func (shop *FaultyShop) Calls() int {
	shop.mutex.Lock()
	defer shop.mutex.Unlock()
	return shop.calls
}

// Serve answers calls on a listener until it is closed.
func (shop *FaultyShop) Serve(listener net.Listener) error {
	return newServer(shop.handleFault).Serve(listener)
}

func (shop *FaultyShop) handleFault(ctx *fasthttp.RequestCtx) {
	shop.mutex.Lock()
	fault := shop.fault
	shop.calls++
	shop.mutex.Unlock()
	switch fault {
	case ShopRefuses:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Backend-Outcome", "not-run")
	case ShopCrashesBefore:
		hangUp(ctx, 0)
	case ShopCrashesAfter:
		shop.handle(ctx)
		hangUp(ctx, 0)
	case ShopHangs:
		shop.handle(ctx)
		hangUp(ctx, time.Minute)
	case ShopClosesIdle:
		shop.handle(ctx)
		ctx.Hijack(func(conn net.Conn) { closeQuietly(conn) })
	default:
		shop.handle(ctx)
	}
}

// hangUp closes the connection without an answer, after a time in which the
// caller does not close it.
func hangUp(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		if err := conn.SetReadDeadline(time.Now().Add(after)); err == nil {
			// The read ends when the caller closes or the time is over.
			_, _ = conn.Read(make([]byte, 1))
		}
		closeQuietly(conn)
	})
}
