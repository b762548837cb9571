package lwtlease

import (
	"encoding/json"
	"fmt"
)

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
