package lwtscorerouter_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that the property tests are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
