package lwtstandin

import (
	"fmt"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Shop is a stand-in for a shop order server. It counts how often each order
// ran, by the order's Idempotency-Key or, without one, by its body.
type Shop struct {
	name   string
	mutex  sync.Mutex
	orders map[string]int
}

// NewShop returns a shop order server without orders.
func NewShop(name string) *Shop {
	return &Shop{name: name, orders: map[string]int{}}
}

// OrderCounts returns how often each order ran, by its Idempotency-Key or, without
// one, by its body.
func (shop *Shop) OrderCounts() map[string]int {
	shop.mutex.Lock()
	defer shop.mutex.Unlock()
	orders := make(map[string]int, len(shop.orders))
	for id, count := range shop.orders {
		orders[id] = count
	}
	return orders
}

// Serve handles requests on a listener until the listener is closed.
func (shop *Shop) Serve(listener net.Listener) error {
	return newServer(shop.handle).Serve(listener)
}

func (shop *Shop) handle(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsPost() && string(ctx.Path()) == "/orders":
		shop.handleOrder(ctx)
	case ctx.IsGet() && string(ctx.Path()) == "/stock":
		writeJSON(ctx, struct {
			Item  string `json:"item"`
			Stock int    `json:"stock"`
		}{string(ctx.QueryArgs().Peek("item")), len(ctx.QueryArgs().Peek("item"))})
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (shop *Shop) handleOrder(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if id == "" {
		id = string(ctx.PostBody())
	}
	shop.mutex.Lock()
	shop.orders[id]++
	count := shop.orders[id]
	shop.mutex.Unlock()
	ctx.SetStatusCode(fasthttp.StatusCreated)
	writeJSON(ctx, struct {
		Order string `json:"order"`
		Shop  string `json:"shop"`
		Ran   string `json:"ran"`
	}{id, shop.name, fmt.Sprint(count)})
}
