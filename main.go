// Command lacewingtide serves model requests for a fixed fleet of engines.
package main

import (
	"os"

	"lacewingtide/io/lwtcommand"
)

func main() {
	os.Exit(lwtcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
