package lwtstandin

import (
	"encoding/json"
	"fmt"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtplatform"
)

// Declare stores changes as accepted tickets from number 1 on, unchecked. It
// is meant for tests of parts that need a declared state.
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
		number := int64(i) + 1
		if err := put(lwtticket.TicketKey(number), lwtticket.Record{Change: change.WithRevision(number)}); err != nil {
			return err
		}
	}
	if err := put(lwtticket.HeadKey, lwtticket.Head{Revision: int64(len(changes))}); err != nil {
		return err
	}
	platform.table.Commit(transaction)
	return nil
}
