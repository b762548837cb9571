package lwtsetting_test

import (
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"

	"lacewingtide/io/lwtsetting"
)

// TestAllProblemsAreReported guards against a check that reports only some problems, so
// that an operator has to start the daemon again for each one.
func TestAllProblemsAreReported(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/problems.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(archive.Files); i += 2 {
		t.Run(strings.TrimSuffix(archive.Files[i].Name, ".toml"), func(t *testing.T) {
			_, err := lwtsetting.Parse(archive.Files[i].Data)
			got := ""
			if err != nil {
				got = err.Error() + "\n"
			}
			if want := string(archive.Files[i+1].Data); got != want {
				t.Errorf("got:\n%swant:\n%s", got, want)
			}
		})
	}
}

// FuzzCheck guards against settings that crash the check, pass it without an entry
// address or platform timeout, or yield problems without a message or a valid line.
func FuzzCheck(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/problems.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, problems := lwtsetting.Check(content)
		if len(problems) == 0 && (settings.EntryAddress == "" || settings.Platform.Timeout <= 0) {
			t.Errorf("accepted settings without an entry address or platform timeout: %+v", settings)
		}
		lines := strings.Count(string(content), "\n") + 1
		for _, problem := range problems {
			if problem.Line < 0 || problem.Line > lines || problem.Message == "" {
				t.Errorf("problem %+v has no message or no line of the %d lines", problem, lines)
			}
		}
	})
}
