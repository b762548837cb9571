package lwtcommand

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// shellOperator matches the shell operator that ends a command, and what
// follows it.
var shellOperator = regexp.MustCompile(`\s(\||\|\||>|&&|&)\s.*`)

// TestPagesUseTheCommandsAsTheyAre guards against operator documentation that
// shows commands or options that do not exist. It parses the commands without
// running them.
func TestPagesUseTheCommandsAsTheyAre(t *testing.T) {
	t.Setenv("LACEWINGTIDE_DAEMONS", "127.0.0.1:8002")
	pages, err := filepath.Glob("../../docs/operators/*.md")
	if err != nil || len(pages) < 4 {
		t.Fatalf("found the pages %v, want at least 4; error %v", pages, err)
	}
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(content)) {
			text := strings.TrimSpace(line)
			if !strings.HasPrefix(line, "    ") || !strings.HasPrefix(text, "lacewingtide ") {
				continue
			}
			words := strings.Fields(shellOperator.ReplaceAllString(text, ""))
			if err := parseOnly(words[1:]); err != nil {
				t.Errorf("%s: %s: %v", filepath.Base(page), text, err)
			}
		}
	}
}

// parseOnly parses a command line without running the command.
func parseOnly(args []string) error {
	var parser *flags.Parser
	var err error
	if parser, err = newParser(streams{out: io.Discard, err: io.Discard}); err != nil {
		return err
	}
	parser.CommandHandler = func(_ flags.Commander, surplus []string) error {
		if len(surplus) > 0 {
			return usageError("unexpected argument " + surplus[0])
		}
		return nil
	}
	_, err = parser.ParseArgs(args)
	return err
}
