package lwtgateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtprefillratio"
	"lacewingtide/io/lwteventloop"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

const (
	leaseTable = "leases"
	// orderGroup is the lease under which one daemon gives orders to all engines.
	orderGroup = "engines"
	// orderMargin is how long the lease must last when an order is sent.
	orderMargin = 1500 * time.Millisecond
	leaseQueue  = 32
	// planInterval is the time between two looks at the engines' stages.
	planInterval = 250 * time.Millisecond
)

// orders gives orders to engines while this daemon holds the lease.
type orders struct {
	gateway  *Gateway
	loop     *lwteventloop.Loop[lwtlease.Model, lwtlease.Msg, lwtlease.Cmd]
	mutex    sync.Mutex
	planners map[string]*lwtprefillratio.Planner
	// ordering says that this daemon holds the lease; changing lists the
	// engines whose stage it is changing.
	ordering bool
	changing []string
}

func newOrders(gateway *Gateway) *orders {
	orders := &orders{gateway: gateway, planners: map[string]*lwtprefillratio.Planner{}}
	model := lwtlease.New(orderGroup, gateway.members.self.holder())
	orders.loop = lwteventloop.New(model, leaseQueue, orders.execute)
	return orders
}

// setMembers tells the lease which daemons are live.
func (orders *orders) setMembers(live []member) { orders.loop.Offer(holders(live)) }

// serve runs the lease and gives orders until ctx ends.
func (orders *orders) serve(ctx context.Context) error {
	go func() {
		_ = lwteventloop.Tick(ctx, lwtlease.TickInterval, func(time.Time) { orders.loop.Offer(lwtlease.Tick{}) })
	}()
	go func() {
		_ = tick(ctx, planInterval, func(now time.Time) { orders.plan(ctx, now) })
	}()
	return orders.loop.Serve(ctx)
}

// release gives up the lease, so that another daemon can go on at once.
func (orders *orders) release() { orders.loop.Offer(lwtlease.Release{}) }

func (orders *orders) execute(ctx context.Context, cmd lwtlease.Cmd) {
	switch cmd := cmd.(type) {
	case lwtlease.ReadRow:
		go orders.read(ctx, cmd)
	case lwtlease.Commit:
		go orders.commit(ctx, cmd)
	case lwtlease.LogLeaseChange:
		lwtlog.Info(orders.gateway.logger, string(cmd.Event), "group", cmd.Group, "fencing", cmd.Fencing)
	}
}

func (orders *orders) read(ctx context.Context, cmd lwtlease.ReadRow) {
	row, err := orders.gateway.store.Row(leaseTable, cmd.Group, StoreTimeout)
	answer := lwtlease.RowRead{RequestID: cmd.RequestID}
	if err == nil {
		answer.Row, err = lwtlease.DecodeRow(row.Value, row.Version)
	}
	if err != nil {
		lwtlog.Info(orders.gateway.logger, "lease-read-failed", "group", cmd.Group, "err", err)
		answer.Failed = true
	}
	orders.loop.Send(ctx, answer)
}

func (orders *orders) commit(ctx context.Context, cmd lwtlease.Commit) {
	answer := lwtlease.CommitResult{RequestID: cmd.RequestID, Row: cmd.Row}
	if err := orders.tryCommit(cmd, &answer); err != nil {
		lwtlog.Info(orders.gateway.logger, "lease-write-failed", "group", cmd.Group, "err", err)
		answer.Failed = true
	}
	orders.loop.Send(ctx, answer)
}

func (orders *orders) tryCommit(cmd lwtlease.Commit, answer *lwtlease.CommitResult) error {
	value, err := cmd.Row.Encode()
	if err != nil {
		return err
	}
	row := platform.Row{Table: leaseTable, Key: cmd.Group, Value: value, Version: cmd.Version}
	current, applied, err := orders.gateway.store.CompareAndSwap(row, StoreTimeout)
	if err != nil {
		return err
	}
	answer.Conflict = !applied
	answer.Row, err = lwtlease.DecodeRow(current.Value, current.Version)
	return err
}

// plan gives the orders that are due.
func (orders *orders) plan(ctx context.Context, now time.Time) {
	lease := orders.loop.Model().Lease()
	config, known := orders.gateway.view.configuration()
	if !known || !lease.ValidFor(now, orderMargin) {
		orders.setState(false, nil)
		return
	}
	var changing []string
	for _, name := range config.ServiceNames() {
		service, _ := config.Service(name)
		if service.Engine == nil {
			continue
		}
		planner, found := orders.planners[name]
		if !found {
			planner = lwtprefillratio.New()
			orders.planners[name] = planner
		}
		busy := orders.gateway.view.busy(now, name)
		for _, order := range planner.Plan(now, orders.gateway.view.servers(name), busy) {
			planner.RecordSent(now, order)
			orders.give(ctx, lease, order)
		}
		changing = append(changing, planner.EnginesChangingStage()...)
	}
	orders.setState(true, changing)
	orders.gateway.view.setChanging(changing)
}

func (orders *orders) setState(ordering bool, changing []string) {
	orders.mutex.Lock()
	defer orders.mutex.Unlock()
	orders.ordering, orders.changing = ordering, changing
}

// state tells whether this daemon gives orders, and which engines change.
func (orders *orders) state() (ordering bool, changing []string) {
	orders.mutex.Lock()
	defer orders.mutex.Unlock()
	return orders.ordering, orders.changing
}

// give sends one order. The engine refuses it if it has accepted another order
// since it was asked for its state.
func (orders *orders) give(ctx context.Context, lease lwtlease.Lease, order lwtprefillratio.StageChange) {
	gateway, server := orders.gateway, order.Server
	report, err := orders.report(ctx, server.Address)
	if err != nil || report.OrderInProgress || report.Stage == order.Stage {
		lwtlog.Info(gateway.logger, "order-not-sent", "server", server.ID, "stage", string(order.Stage),
			"reported", string(report.Stage), "busy", report.OrderInProgress, "err", err)
		return
	}
	body, err := gateway.wire.EncodeStageOrder(order.Stage, gateway.settings.Name, lease.Fencing, report.AcceptedOrders)
	if err != nil {
		lwtlog.Warn(gateway.logger, "order-not-encoded", "server", server.ID, "err", err)
		return
	}
	head := []byte("POST " + gateway.wire.OrderPath() + " HTTP/1.1\r\nHost: " + server.Address +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n")
	head = append(gateway.wire.AppendExpectedServer(head, server.ID), "\r\n"...)
	if !orders.loop.Model().Lease().ValidFor(time.Now(), orderMargin) {
		return
	}
	status, _, err := gateway.control(ctx, server.Address, head, body)
	gateway.metrics.Count("orders")
	lwtlog.Info(gateway.logger, "order-sent", "server", server.ID, "stage", string(order.Stage),
		"fencing", lease.Fencing, "expected-orders", report.AcceptedOrders, "status", status,
		"accepted", status == fasthttp.StatusAccepted || status == fasthttp.StatusOK, "err", err)
}

// report asks an engine for its state.
func (orders *orders) report(ctx context.Context, address string) (lwtdiscovery.EngineStatus, error) {
	head := []byte("GET " + orders.gateway.wire.ReportPath() + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
	status, content, err := orders.gateway.control(ctx, address, head, nil)
	if err != nil {
		return lwtdiscovery.EngineStatus{}, err
	}
	if status != fasthttp.StatusOK {
		return lwtdiscovery.EngineStatus{}, errStatus(status)
	}
	return orders.gateway.wire.DecodeReport(content)
}
