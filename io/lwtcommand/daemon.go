package lwtcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"lacewingtide/io/lwtoperator"
)

// operatorOptions selects the daemons to query and the operator key.
type operatorOptions struct {
	Daemons []string `long:"daemon" required:"true" value-name:"IP:PORT" env:"LACEWINGTIDE_DAEMONS" env-delim:"," description:"operator address of a daemon; may be repeated, the next one is tried if one does not respond"`
	KeyFile string   `long:"key-file" value-name:"FILE" env:"LACEWINGTIDE_OPERATOR_KEY_FILE" description:"file that holds the operator's key; without it the key is taken from the environment variable LACEWINGTIDE_OPERATOR_KEY"`
	JSON    bool     `long:"json" description:"print the answer as JSON"`
}

// client returns a client for the daemons. A missing key is a usage error.
func (options operatorOptions) client() (*lwtoperator.Client, error) {
	key := os.Getenv("LACEWINGTIDE_OPERATOR_KEY")
	if options.KeyFile != "" {
		var content []byte
		var err error
		if content, err = os.ReadFile(options.KeyFile); err != nil {
			return nil, fmt.Errorf("read the operator's key: %w", err)
		}
		key = string(content)
	}
	if key = strings.TrimSpace(key); key == "" {
		return nil, usageError("an operator's key is required: use --key-file or set LACEWINGTIDE_OPERATOR_KEY")
	}
	return lwtoperator.NewClient(options.Daemons, key), nil
}

func usageError(message string) error { return &flags.Error{Type: flags.ErrRequired, Message: message} }

func (streams streams) printJSON(value any) error {
	encoder := json.NewEncoder(streams.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
