// Package golden compares test output with files under testdata or docs.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateVariable names the environment variable that makes Check rewrite the file.
const updateVariable = "UPDATE_GOLDEN"

// Check fails t if got differs from the file at path; with UPDATE_GOLDEN=1 it rewrites the file.
func Check(t testing.TB, path string, got []byte) {
	t.Helper()
	if os.Getenv(updateVariable) == "1" {
		write(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read golden file: %v", err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Fatalf("%s differs (-want +got); set %s=1 to rewrite it:\n%s", path, updateVariable, diff)
	}
}

func write(t testing.TB, path string, got []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, got, 0o644); err != nil {
		t.Fatal(err)
	}
}
