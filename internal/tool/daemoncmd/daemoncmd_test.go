package daemoncmd_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/tool/daemoncmd"
	"lycheevale/internal/tool/exitcode"
)

func ExampleCheckConfig() {
	folder, _ := os.MkdirTemp("", "")
	defer os.RemoveAll(folder)
	_ = os.Chdir(folder)
	_ = os.WriteFile("entry-1.yaml", []byte("Name: entry-1\nDataCentre: suva-a\n"), 0o600)
	daemoncmd.CheckConfig("entry-1.yaml", os.Stdout, os.Stderr)
	// Output: entry-1.yaml: settings of entry-1 in suva-a are valid
}

// Guards against a file that passes the check although an instance would not start with it.
func TestCheckConfigReadsNamedFiles(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "entry.yaml")
	for _, test := range []struct{ text, want string }{
		{"Nam: a", `unknown field Nam`},
		{"Operators: {CredentialsFile: /nowhere/operators.yaml}", "Operators.CredentialsFile: .*no such file"},
		{"TLS: {Callers: {CertificateFile: /nowhere/c.pem, KeyFile: /nowhere/k.pem}}", "TLS.Callers: .*no such file"},
		{"TLS: {Peers: {CertificateFile: /nowhere/c, KeyFile: /nowhere/k, AuthorityFile: " + path + "}}", "TLS.Peers: .*no such file"},
		{"DataFolder: " + path, "DataFolder: .*is not a folder"},
	} {
		c.Assert(os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
		var out, errOut bytes.Buffer
		c.Check(daemoncmd.CheckConfig(path, &out, &errOut), qt.Equals, exitcode.Invalid)
		c.Check(errOut.String(), qt.Matches, "(?s).*"+test.want+".*")
	}
}

// Guards against printed defaults that the check refuses.
func TestPrintedDefaultsAreValid(t *testing.T) {
	c := qt.New(t)
	var defaults, out, errOut bytes.Buffer
	c.Assert(daemoncmd.PrintDefaults(&defaults), qt.Equals, exitcode.OK)
	path := filepath.Join(t.TempDir(), "defaults.yaml")
	c.Assert(os.WriteFile(path, defaults.Bytes(), 0o600), qt.IsNil)
	c.Assert(daemoncmd.CheckConfig(path, &out, &errOut), qt.Equals, exitcode.OK, qt.Commentf("%s", &errOut))
	c.Assert(daemoncmd.Version(&out), qt.Equals, exitcode.OK)
	c.Assert(out.String(), qt.Contains, "lycheevale")
}

// Guards against a heap that grows to twice its live part, which at the target size is above the memory of a node, and
// against overriding the operator's choice.
func TestHeapGrowth(t *testing.T) {
	const chosen = 300
	for gogc, want := range map[string]int{"": 50, fmt.Sprint(chosen): chosen} {
		t.Setenv("GOGC", gogc)
		before := debug.SetGCPercent(chosen)
		code := daemoncmd.Run(filepath.Join(t.TempDir(), "missing.yaml"), io.Discard, io.Discard)
		qt.Check(t, code, qt.Equals, exitcode.Invalid)
		qt.Check(t, debug.SetGCPercent(before), qt.Equals, want)
	}
}
