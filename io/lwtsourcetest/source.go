// Package lwtsourcetest reads the source files of this module for tests of rules about the source itself.
package lwtsourcetest

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Visit calls visit for each Go file below root, the folder of the module. Name is the file's path from there,
// with slashes. Files in hidden folders are left out.
func Visit(t testing.TB, root string, visit func(name string, content []byte)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		visit(filepath.ToSlash(name), content)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
