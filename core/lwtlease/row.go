package lwtlease

import (
	"encoding/json"
	"fmt"
)

// firstEra is the era of a store that has never come back from an older copy.
const firstEra = 1

// restored reports whether the row may have come back with an older copy of the store: it was
// written in an earlier era, or is missing from a store that has come back.
func (row Row) restored() bool {
	if row.Version == 0 {
		return row.StoreEra > firstEra
	}
	return row.StoreEra > row.Era
}

// Encode returns the value of the table row.
func (row Row) Encode() ([]byte, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return nil, fmt.Errorf("encode lease row: %w", err)
	}
	return value, nil
}

// DecodeRow decodes the value of a table row with the given version. Version 0
// means that there is no row.
func DecodeRow(value []byte, version int64) (Row, error) {
	var row Row
	if version > 0 {
		if err := json.Unmarshal(value, &row); err != nil {
			return row, fmt.Errorf("decode lease row: %w", err)
		}
	}
	row.Version = version
	return row, nil
}
