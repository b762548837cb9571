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

// newOperator returns the operator server of a daemon, and its status registry with
// the entries "daemon" and "configuration".
func newOperator(
	settings lwtsetting.Settings, syncer *stateSyncer, logger log.Logger,
) (*lwtoperator.Server, *lwtoperator.StatusRegistry) {
	status, started := lwtoperator.NewStatusRegistry(), time.Now()
	status.Register("daemon", func(now time.Time) any {
		return struct {
			Name             string `json:"name"`
			AvailabilityZone string `json:"availability-zone"`
			EntryAddress     string `json:"entry-address"`
			Up               string `json:"up"`
		}{settings.Name, settings.AvailabilityZone, settings.EntryAddress, now.Sub(started).Round(time.Second).String()}
	})
	status.Register("configuration", syncer.status)
	return lwtoperator.New(lwtoperator.Dependencies{
		KeyHashes: settings.OperatorKeyHashes, Tickets: ticketService{syncer}, Status: status, Logger: logger,
	}), status
}

// ticketService implements lwtoperator.TicketService with the tickets in memory and
// the store.
type ticketService struct{ syncer *stateSyncer }

// Submit implements lwtoperator.TicketService.
func (service ticketService) Submit(
	ctx context.Context, writeID, operator string, ticket lwtticket.Ticket,
) lwtticket.Result {
	return service.syncer.submit(ctx, writeID, operator, ticket)
}

// State implements lwtoperator.TicketService.
func (service ticketService) State() (lwtdeclaredstate.State, bool) { return service.syncer.State() }

// Ticket implements lwtoperator.TicketService. Recent tickets are returned without
// reading the store.
func (service ticketService) Ticket(revision int64) (lwtticket.Record, error) {
	recent := service.syncer.loop.Model().Records()
	if len(recent) > 0 {
		if i := revision - recent[0].Change.Revision; i >= 0 && i < int64(len(recent)) {
			return recent[i], nil
		}
	}
	return readTicket(service.syncer.platform, revision)
}

// TicketByWriteID implements lwtoperator.TicketService.
func (service ticketService) TicketByWriteID(writeID string) (lwtticket.Record, error) {
	for _, record := range service.syncer.loop.Model().Records() {
		if record.WriteID == writeID {
			return record, nil
		}
	}
	var row lwtplatform.Row
	var err error
	if row, err = service.syncer.platform.Row(lwtticket.WriteIDKey(writeID)); err != nil {
		return lwtticket.Record{}, err
	}
	var record *lwtticket.IdempotencyRecord
	if record, err = decodeIdempotencyRecord(row); err != nil {
		return lwtticket.Record{}, err
	}
	return service.Ticket(record.Revision)
}

// ListTickets implements lwtoperator.TicketService.
func (service ticketService) ListTickets(before int64, limit int) ([]lwtticket.Record, error) {
	applied, _ := service.syncer.loop.Model().Revisions()
	revision := applied
	if before > 0 {
		revision = min(before-1, applied)
	}
	records := []lwtticket.Record{}
	for ; revision > 0 && len(records) < limit; revision-- {
		var record lwtticket.Record
		var err error
		if record, err = service.Ticket(revision); err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
