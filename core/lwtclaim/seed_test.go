package lwtclaim_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that the tests are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
