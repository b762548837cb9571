package lwtdemo_test

import (
	"testing"

	"github.com/go-kit/log"

	"lacewingtide/io/lwtdemo"
)

// TestDemoKeepsGuarantees guards against guarantees that hold for each component
// alone but fail when all run together, while a ticket changes a role, one daemon
// is killed and another leaves.
func TestDemoKeepsGuarantees(t *testing.T) {
	result, err := lwtdemo.Run(t.Context(), lwtdemo.Options{
		Layout: lwtdemo.Layouts()[0], Logger: log.NewNopLogger(), Progress: func(line string) { t.Log(line) },
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if result.OrdersRunOnce == 0 || result.RoleChanges != 1 || len(result.Classes) != 4 {
		t.Errorf("the demo did too little: %+v", result)
	}
}
