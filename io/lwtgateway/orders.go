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
	// endedEraTable has a row for each era of the store that a commit of a lease has marked as
	// ended.
	endedEraTable = "ended-eras"
	// orderGroup is the group whose lease allows one daemon to send orders to all engines.
	orderGroup = "engines"
	// minLeaseRemaining is the minimum remaining time of the lease for an order to be sent.
	minLeaseRemaining = 1500 * time.Millisecond
	leaseQueueLength  = 32
	// planInterval is the time between two plans of the engines' stages.
	planInterval = 250 * time.Millisecond
)

// orderSender sends stage changes to engines while this daemon holds the lease.
type orderSender struct {
	gateway  *Gateway
	loop     *lwteventloop.Loop[lwtlease.Model, lwtlease.Msg, lwtlease.Cmd]
	mutex    sync.Mutex
	planners map[string]*lwtprefillratio.Planner
	// holdsLease says that this daemon holds the lease. enginesChangingStage lists the
	// engines whose stage it is changing.
	holdsLease           bool
	enginesChangingStage []string
}

func newOrderSender(gateway *Gateway) *orderSender {
	orderSender := &orderSender{gateway: gateway, planners: map[string]*lwtprefillratio.Planner{}}
	model := lwtlease.New(orderGroup, gateway.members.self.leaseHolder())
	model, _ = model.Update(time.Now(), lwtlease.SetHandover{Minimum: gateway.settings.Bounds.minOrderPause()})
	orderSender.loop = lwteventloop.New(model, leaseQueueLength, orderSender.execute)
	return orderSender
}

// setMembers passes the live daemons to the lease model.
func (orderSender *orderSender) setMembers(live []member) {
	orderSender.loop.TrySend(leaseMembers(live))
}

// setMinPause sets the minimum time between the orders of two daemons.
func (orderSender *orderSender) setMinPause(ctx context.Context, minPause time.Duration) {
	orderSender.loop.Send(ctx, lwtlease.SetHandover{Minimum: minPause})
}

// serve renews the lease and sends orders until ctx is canceled.
func (orderSender *orderSender) serve(ctx context.Context) error {
	go func() {
		_ = lwteventloop.Tick(ctx, lwtlease.TickInterval, func(time.Time) { orderSender.loop.TrySend(lwtlease.Tick{}) })
	}()
	go func() {
		_ = runEvery(ctx, planInterval, func(now time.Time) { orderSender.sendDueOrders(ctx, now) })
	}()
	return orderSender.loop.Serve(ctx)
}

// releaseLease releases the lease, so that another daemon can acquire it before it expires.
func (orderSender *orderSender) releaseLease() { orderSender.loop.TrySend(lwtlease.Release{}) }

func (orderSender *orderSender) execute(ctx context.Context, cmd lwtlease.Cmd) {
	switch cmd := cmd.(type) {
	case lwtlease.ReadRow:
		go orderSender.readLease(ctx, cmd)
	case lwtlease.Commit:
		go orderSender.writeLease(ctx, cmd)
	case lwtlease.LogLeaseChange:
		lwtlog.Info(orderSender.gateway.logger, string(cmd.Event), "group", cmd.Group, "fencing", cmd.Fencing)
	}
}

func (orderSender *orderSender) readLease(ctx context.Context, cmd lwtlease.ReadRow) {
	row, err := orderSender.gateway.store.Row(leaseTable, cmd.Group, StoreTimeout)
	result := lwtlease.RowRead{RequestID: cmd.RequestID}
	if err == nil {
		result.Row, err = decodeLeaseRow(row)
	}
	if err != nil {
		lwtlog.Info(orderSender.gateway.logger, "lease-read-failed", "group", cmd.Group, "err", err)
		result.Failed = true
	}
	orderSender.loop.Send(ctx, result)
}

func (orderSender *orderSender) writeLease(ctx context.Context, cmd lwtlease.Commit) {
	result := lwtlease.CommitResult{RequestID: cmd.RequestID, Row: cmd.Row}
	if err := orderSender.compareAndSwapLease(cmd, &result); err != nil {
		lwtlog.Info(orderSender.gateway.logger, "lease-write-failed", "group", cmd.Group, "err", err)
		result.Failed = true
	}
	orderSender.loop.Send(ctx, result)
}

func (orderSender *orderSender) compareAndSwapLease(cmd lwtlease.Commit, result *lwtlease.CommitResult) error {
	value, err := cmd.Row.Encode()
	if err != nil {
		return err
	}
	row := platform.Row{Table: leaseTable, Key: cmd.Group, Value: value, Version: cmd.Version}
	transaction := platform.Transaction{
		Expected: []platform.Row{row, endedEraRow(cmd.Row.Era)}, Put: []platform.Row{row},
	}
	for _, era := range cmd.EndedEras() {
		transaction.Put = append(transaction.Put, endedEraRow(era))
	}
	committed, err := orderSender.gateway.store.Commit(transaction, StoreTimeout)
	if err != nil {
		return err
	}
	result.Conflict = !committed.Applied
	if result.Conflict {
		row = committed.Row(leaseTable, cmd.Group)
	} else {
		row.Version, row.Era = committed.Position.Version, committed.Position.Era
	}
	result.Row, err = decodeLeaseRow(row)
	return err
}

// endedEraRow returns the row that marks an era of the store as ended.
func endedEraRow(era int64) platform.Row {
	key := strconv.FormatInt(era, 10)
	return platform.Row{Table: endedEraTable, Key: key, Value: []byte(key)}
}

func decodeLeaseRow(row platform.Row) (lwtlease.Row, error) {
	decoded, err := lwtlease.DecodeRow(row.Value, row.Version)
	decoded.StoreEra = row.Era
	return decoded, err
}

// sendDueOrders plans the stages of all engines and sends the orders that are due.
func (orderSender *orderSender) sendDueOrders(ctx context.Context, now time.Time) {
	lease := orderSender.loop.Model().Lease()
	config, configKnown := orderSender.gateway.view.configuration()
	if !configKnown || !lease.ValidFor(now, minLeaseRemaining) {
		orderSender.setState(false, nil)
		return
	}
	var enginesChangingStage []string
	for _, name := range config.ServiceNames() {
		service, _ := config.Service(name)
		if service.Engine == nil {
			continue
		}
		planner, found := orderSender.planners[name]
		if !found {
			planner = lwtprefillratio.New()
			orderSender.planners[name] = planner
		}
		busy := orderSender.gateway.view.enginesBusy(now, name)
		servers := orderSender.gateway.view.servers(name)
		planner.SetStreams(now, orderSender.gateway.view.streamCounts(now, name))
		planner.SetUnreachable(orderSender.gateway.reachability.unreachable(now, servers))
		for _, order := range planner.Plan(now, servers, busy) {
			planner.RecordSent(now, order)
			orderSender.sendOrder(ctx, lease, order)
		}
		enginesChangingStage = append(enginesChangingStage, planner.EnginesChangingStage()...)
	}
	orderSender.setState(true, enginesChangingStage)
	orderSender.gateway.view.setEnginesChangingStage(now, enginesChangingStage)
}

func (orderSender *orderSender) setState(holdsLease bool, enginesChangingStage []string) {
	orderSender.mutex.Lock()
	defer orderSender.mutex.Unlock()
	orderSender.holdsLease, orderSender.enginesChangingStage = holdsLease, enginesChangingStage
}

// state returns whether this daemon holds the lease, and the engines whose stage it is
// changing.
func (orderSender *orderSender) state() (holdsLease bool, enginesChangingStage []string) {
	orderSender.mutex.Lock()
	defer orderSender.mutex.Unlock()
	return orderSender.holdsLease, orderSender.enginesChangingStage
}

// sendOrder fetches the status of an engine and sends it one order. The engine rejects the
// order if it has accepted another one since it reported its status.
func (orderSender *orderSender) sendOrder(
	ctx context.Context, lease lwtlease.Lease, order lwtprefillratio.StageChange,
) {
	gateway, server := orderSender.gateway, order.Server
	status, err := orderSender.fetchEngineStatus(ctx, server.Address)
	if err != nil || status.OrderInProgress || status.Stage == order.Stage {
		lwtlog.Info(gateway.logger, "order-not-sent", "server", server.ID, "stage", string(order.Stage),
			"reported", string(status.Stage), "busy", status.OrderInProgress, "err", err)
		return
	}
	body, err := gateway.protocol.EncodeStageOrder(order.Stage, gateway.settings.Name, lease.Fencing,
		status.AcceptedOrders)
	if err != nil {
		lwtlog.Warn(gateway.logger, "order-not-encoded", "server", server.ID, "err", err)
		return
	}
	head := []byte("POST " + gateway.protocol.OrderPath() + " HTTP/1.1\r\nHost: " + server.Address +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n")
	head = append(gateway.protocol.AppendExpectedServer(head, server.ID), "\r\n"...)
	if !orderSender.loop.Model().Lease().ValidFor(time.Now(), minLeaseRemaining) {
		return
	}
	statusCode, _, err := gateway.callServer(ctx, server.Address, head, body)
	gateway.metrics.Count("orders")
	lwtlog.Info(gateway.logger, "order-sent", "server", server.ID, "stage", string(order.Stage),
		"fencing", lease.Fencing, "expected-orders", status.AcceptedOrders, "status", statusCode,
		"accepted", err == nil && (statusCode == fasthttp.StatusAccepted || statusCode == fasthttp.StatusOK), "err", err)
}

// fetchEngineStatus fetches the current status of an engine.
func (orderSender *orderSender) fetchEngineStatus(
	ctx context.Context, address string,
) (lwtdiscovery.EngineStatus, error) {
	head := []byte("GET " + orderSender.gateway.protocol.ReportPath() + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n")
	status, content, err := orderSender.gateway.callServer(ctx, address, head, nil)
	if err != nil {
		return lwtdiscovery.EngineStatus{}, err
	}
	if status != fasthttp.StatusOK {
		return lwtdiscovery.EngineStatus{}, newStatusError(status)
	}
	return orderSender.gateway.protocol.DecodeReport(content)
}
