// Package lwtstandin implements stand-ins for the systems outside lacewingtide, for
// tests and the demo: the platform's services, model engines and shop order
// servers. They listen on TCP and inject faults on demand.
package lwtstandin

import (
	"slices"
	"strings"
	"sync"

	"lacewingtide/io/lwtplatform"
)

// Table is an in-memory table with serializable transactions.
type Table struct {
	mutex   sync.Mutex
	rows    map[string]lwtplatform.Row
	version int64
	writes  int64
	reads   int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]lwtplatform.Row{}}
}

// Commit applies a transaction atomically if all its conditions hold. Otherwise the
// result has the rows of the conditions.
func (table *Table) Commit(transaction lwtplatform.Transaction) lwtplatform.CommitResult {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.writes++
	if rows := table.rowsOnConflict(transaction.Conditions); len(rows) > 0 {
		return lwtplatform.CommitResult{Rows: rows}
	}
	table.version++
	for _, put := range transaction.Puts {
		value := slices.Clone(put.Value)
		table.rows[put.Key] = lwtplatform.Row{Key: put.Key, Version: table.version, Value: value}
	}
	for _, key := range transaction.Deletes {
		delete(table.rows, key)
	}
	return lwtplatform.CommitResult{Committed: true, Version: table.version}
}

// rowsOnConflict returns nil if all conditions hold, otherwise the rows of
// all conditions.
func (table *Table) rowsOnConflict(conditions []lwtplatform.Condition) []lwtplatform.Row {
	failed := slices.ContainsFunc(conditions, func(condition lwtplatform.Condition) bool {
		return table.rows[condition.Key].Version != condition.Version
	})
	if !failed {
		return nil
	}
	rows := make([]lwtplatform.Row, 0, len(conditions))
	for _, condition := range conditions {
		row := table.rows[condition.Key]
		row.Key = condition.Key
		rows = append(rows, row)
	}
	return rows
}

// Row returns one row.
func (table *Table) Row(key string) (lwtplatform.Row, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.reads++
	row, found := table.rows[key]
	return row, found
}

// Rows returns the rows whose keys start with a prefix, sorted by key.
func (table *Table) Rows(prefix string) []lwtplatform.Row {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.reads++
	rows := []lwtplatform.Row{}
	for key, row := range table.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b lwtplatform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// Counts returns the number of transactions and of reads so far.
func (table *Table) Counts() (writes, reads int64) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.writes, table.reads
}
