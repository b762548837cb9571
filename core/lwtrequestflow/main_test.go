package lwtrequestflow_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that each run gives the same
// verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
