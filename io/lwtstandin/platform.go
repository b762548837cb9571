package lwtstandin

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtplatform"
)

// PlatformFault describes how the platform fails.
type PlatformFault struct {
	// Down makes every request fail with status 503.
	Down bool `json:"down"`
	// Delay is added to every response, in nanoseconds in JSON.
	Delay time.Duration `json:"delay"`
	// DownAfter is the number of transactions to handle before Down is set; 0 disables
	// this.
	DownAfter int `json:"down-after"`
	// LoseAnswers is the number of transactions that are applied and then get a
	// response with status 503, as if the real response were lost.
	LoseAnswers int `json:"lose-answers"`
}

// Platform serves the table, the object store and the VM list over HTTP.
type Platform struct {
	table   *Table
	mutex   sync.Mutex
	objects map[string][]byte
	vms     []lwtplatform.VM
	fault   PlatformFault
}

// NewPlatform returns a platform with an empty store and VM list.
func NewPlatform() *Platform {
	return &Platform{table: NewTable(), objects: map[string][]byte{}}
}

// Table returns the platform's table.
func (platform *Platform) Table() *Table { return platform.table }

// SetFault sets the fault for requests from now on.
func (platform *Platform) SetFault(fault PlatformFault) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.fault = fault
}

// SetVMs replaces the VM list.
func (platform *Platform) SetVMs(vms []lwtplatform.VM) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vms = vms
}

// Serve handles requests on a listener until the listener is closed.
func (platform *Platform) Serve(listener net.Listener) error {
	return newServer(platform.handle).Serve(listener)
}

func (platform *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/control/fault" {
		platform.handleFault(ctx)
		return
	}
	platform.mutex.Lock()
	fault := platform.fault
	platform.mutex.Unlock()
	time.Sleep(fault.Delay)
	if fault.Down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == "/v1/transactions":
		platform.handleTransaction(ctx)
	case path == "/v1/rows":
		platform.handleRows(ctx)
	case path == "/v1/vms":
		platform.handleVMs(ctx)
	case strings.HasPrefix(path, "/v1/objects/"):
		platform.handleObject(ctx, strings.TrimPrefix(path, "/v1/objects/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (platform *Platform) handleFault(ctx *fasthttp.RequestCtx) {
	var fault PlatformFault
	if err := json.Unmarshal(ctx.PostBody(), &fault); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	platform.SetFault(fault)
}

func (platform *Platform) handleTransaction(ctx *fasthttp.RequestCtx) {
	var transaction lwtplatform.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &transaction); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	result := platform.table.Commit(transaction)
	platform.countTransaction()
	if platform.loseResponse() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if !result.Committed {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, result)
}

// countTransaction counts a transaction towards DownAfter.
func (platform *Platform) countTransaction() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.fault.DownAfter == 0 {
		return
	}
	platform.fault.DownAfter--
	platform.fault.Down = platform.fault.DownAfter == 0
}

// loseResponse reports whether the response to a transaction is lost, and counts it
// towards LoseAnswers.
func (platform *Platform) loseResponse() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.fault.LoseAnswers == 0 {
		return false
	}
	platform.fault.LoseAnswers--
	return true
}

func (platform *Platform) handleRows(ctx *fasthttp.RequestCtx) {
	if key := string(ctx.QueryArgs().Peek("key")); key != "" {
		row, found := platform.table.Row(key)
		if !found {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		writeJSON(ctx, row)
		return
	}
	writeJSON(ctx, struct {
		Rows []lwtplatform.Row `json:"rows"`
	}{platform.table.Rows(string(ctx.QueryArgs().Peek("prefix")))})
}

func (platform *Platform) handleVMs(ctx *fasthttp.RequestCtx) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	writeJSON(ctx, struct {
		VMs []lwtplatform.VM `json:"vms"`
	}{platform.vms})
}

func (platform *Platform) handleObject(ctx *fasthttp.RequestCtx, hash string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if ctx.IsPut() {
		platform.objects[hash] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	content, found := platform.objects[hash]
	if !found {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(content)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(value); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
