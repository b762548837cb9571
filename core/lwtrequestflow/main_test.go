package lwtrequestflow_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
