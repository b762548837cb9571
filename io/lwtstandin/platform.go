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

// PlatformFault says how the platform fails.
type PlatformFault struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// Delay is added to every answer.
	Delay time.Duration `json:"delay"`
	// DownAfter is the number of transactions to answer before Down; 0 means no
	// such bound.
	DownAfter int `json:"down-after"`
	// LoseAnswers is the number of transactions to apply without an answer.
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

// SetFault changes how the platform fails from now on.
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

// Serve answers calls on a listener until it is closed.
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
	platform.countDown()
	if platform.loseAnswer() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if !result.Committed {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, result)
}

func (platform *Platform) countDown() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.fault.DownAfter == 0 {
		return
	}
	platform.fault.DownAfter--
	platform.fault.Down = platform.fault.DownAfter == 0
}

func (platform *Platform) loseAnswer() bool {
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
