package lwtdemo_test

import (
	"testing"

	"github.com/go-kit/log"

	"lacewingtide/io/lwtdemo"
)

// TestDemoKeepsGuarantees guards against guarantees that hold for each part and
// break when all parts run together, with a ticket, a killed daemon and one that
// leaves.
func TestDemoKeepsGuarantees(t *testing.T) {
	score, err := lwtdemo.Run(t.Context(), lwtdemo.Options{
		Layout: lwtdemo.Layouts()[0], Logger: log.NewNopLogger(), Progress: func(line string) { t.Log(line) },
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, guarantee := range score.Violations {
		t.Error(guarantee)
	}
	if score.OrdersRunOnce == 0 || score.RoleChanges != 1 || len(score.Classes) != 4 {
		t.Errorf("the demo did too little: %+v", score)
	}
}
