package lwtstandin

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ShopFault is a fault of a shop order server.
type ShopFault string

// The faults of a shop.
const (
	// ShopWorks handles every request.
	ShopWorks ShopFault = "works"
	// ShopRefuses responds that the request did not run.
	ShopRefuses ShopFault = "refuses"
	// ShopCrashesBefore reads the request and closes the connection without running
	// it.
	ShopCrashesBefore ShopFault = "crashes-before"
	// ShopCrashesAfter runs the request and closes the connection without a response.
	ShopCrashesAfter ShopFault = "crashes-after"
	// ShopClosesIdle responds and then closes the connection without announcing it
	// in the response.
	ShopClosesIdle ShopFault = "closes-idle"
	// ShopHangs runs the request and never responds.
	ShopHangs ShopFault = "hangs"
)

// FaultyShop is a stand-in for a shop order server that fails on demand.
type FaultyShop struct {
	*Shop
	mutex sync.Mutex
	fault ShopFault
	// calls is the number of requests read, whether or not they ran.
	calls int
}

// NewFaultyShop returns a shop without a fault.
func NewFaultyShop(name string) *FaultyShop {
	return &FaultyShop{Shop: NewShop(name), fault: ShopWorks}
}

// SetFault sets the fault for requests from now on.
func (shop *FaultyShop) SetFault(fault ShopFault) {
	shop.mutex.Lock()
	defer shop.mutex.Unlock()
	shop.fault = fault
}

// Calls returns the number of requests that the shop has read, whether or not they
// ran.
func (shop *FaultyShop) Calls() int {
	shop.mutex.Lock()
	defer shop.mutex.Unlock()
	return shop.calls
}

// Serve handles requests on a listener until the listener is closed.
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
		closeWithoutResponse(ctx, 0)
	case ShopCrashesAfter:
		shop.handle(ctx)
		closeWithoutResponse(ctx, 0)
	case ShopHangs:
		shop.handle(ctx)
		closeWithoutResponse(ctx, time.Minute)
	case ShopClosesIdle:
		shop.handle(ctx)
		ctx.Hijack(func(conn net.Conn) { closeQuietly(conn) })
	default:
		shop.handle(ctx)
	}
}

// closeWithoutResponse closes the connection without a response when the caller
// closes it, or after a delay if the caller does not.
func closeWithoutResponse(ctx *fasthttp.RequestCtx, delay time.Duration) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		if err := conn.SetReadDeadline(time.Now().Add(delay)); err == nil {
			// The read ends when the caller closes the connection or the delay is over.
			_, _ = conn.Read(make([]byte, 1))
		}
		closeQuietly(conn)
	})
}
