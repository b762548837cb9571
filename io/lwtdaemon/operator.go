package lwtdaemon

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtoperator"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/io/lwtsetting"
)

// newOperator returns the operators' server of a daemon, and its status registry
// with the parts that the declared state fills.
func newOperator(settings lwtsetting.Settings, declared *declared, logger log.Logger) (*lwtoperator.Server, *lwtoperator.StatusRegistry) {
	status, started := lwtoperator.NewStatusRegistry(), time.Now()
	status.Register("daemon", func(now time.Time) any {
		return struct {
			Name             string `json:"name"`
			AvailabilityZone string `json:"availability-zone"`
			EntryAddress     string `json:"entry-address"`
			Up               string `json:"up"`
		}{settings.Name, settings.AvailabilityZone, settings.EntryAddress, now.Sub(started).Round(time.Second).String()}
	})
	status.Register("configuration", declared.status)
	return lwtoperator.New(lwtoperator.Dependencies{
		KeyHashes: settings.OperatorKeyHashes, Tickets: tickets{declared}, Status: status, Logger: logger,
	}), status
}

// tickets serves lwtoperator from the store and from the tickets held.
type tickets struct{ declared *declared }

// Submit implements lwtoperator.TicketService.
func (tickets tickets) Submit(ctx context.Context, writeID, operator string, ticket lwtticket.Ticket) lwtticket.Result {
	return tickets.declared.submit(ctx, writeID, operator, ticket)
}

// State implements lwtoperator.TicketService.
func (tickets tickets) State() (lwtdeclaredstate.State, bool) { return tickets.declared.State() }

// Ticket implements lwtoperator.TicketService. Recent tickets are known without the
// store.
func (tickets tickets) Ticket(number int64) (lwtticket.Record, error) {
	held := tickets.declared.loop.Model().Records()
	if len(held) > 0 {
		if i := number - held[0].Change.Revision; i >= 0 && i < int64(len(held)) {
			return held[i], nil
		}
	}
	return readRecord(tickets.declared.platform, number)
}

// TicketByWriteID implements lwtoperator.TicketService.
func (tickets tickets) TicketByWriteID(writeID string) (lwtticket.Record, error) {
	for _, record := range tickets.declared.loop.Model().Records() {
		if record.WriteID == writeID {
			return record, nil
		}
	}
	var row lwtplatform.Row
	var err error
	if row, err = tickets.declared.platform.Row(lwtticket.WriteIDKey(writeID)); err != nil {
		return lwtticket.Record{}, err
	}
	var write *lwtticket.IdempotencyRecord
	if write, err = decodeWrite(row); err != nil {
		return lwtticket.Record{}, err
	}
	return tickets.Ticket(write.Revision)
}

// ListTickets implements lwtoperator.TicketService.
func (tickets tickets) ListTickets(before int64, limit int) ([]lwtticket.Record, error) {
	held, _ := tickets.declared.loop.Model().Revisions()
	number := held
	if before > 0 {
		number = min(before-1, held)
	}
	records := []lwtticket.Record{}
	for ; number > 0 && len(records) < limit; number-- {
		var record lwtticket.Record
		var err error
		if record, err = tickets.Ticket(number); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
