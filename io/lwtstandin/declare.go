package lwtstandin

import (
	"encoding/json"
	"fmt"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtplatform"
)

// Declare stores changes as accepted tickets, numbered from 1, without checking
// them. Tests use it to set up a declared state.
func (platform *Platform) Declare(changes ...lwtdeclaredstate.Change) error {
	var transaction lwtplatform.Transaction
	put := func(key string, value any) error {
		var encoded []byte
		var err error
		if encoded, err = json.Marshal(value); err != nil {
			return fmt.Errorf("encode row %s: %w", key, err)
		}
		transaction.Puts = append(transaction.Puts, lwtplatform.Put{Key: key, Value: encoded})
		return nil
	}
	for i, change := range changes {
		revision := int64(i) + 1
		if err := put(lwtticket.TicketKey(revision), lwtticket.Record{Change: change.WithRevision(revision)}); err != nil {
			return err
		}
	}
	if err := put(lwtticket.HeadKey, lwtticket.Head{Revision: int64(len(changes))}); err != nil {
		return err
	}
	platform.table.Commit(transaction)
	return nil
}
