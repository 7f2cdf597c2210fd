package settings_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lycheevale/internal/base/settings"
	"lycheevale/internal/base/yamldoc"
)

func ExampleParse() {
	s, err := settings.Parse("node.yaml", []byte("Name: entry-1\nTimeouts:\n  Request: 30s\n"))
	fmt.Println(s.Name, s.Timeouts.Request, err)
	_, err = settings.Parse("node.yaml", []byte("Name: entry-1\nTimeout:\n  Request: 30s\n"))
	fmt.Println(err)
	// Output:
	// entry-1 30s <nil>
	// settings: node.yaml:2:1: unknown field Timeout (did you mean Timeouts?)
}

// Checks that the printed defaults contain every setting with the program's default value.
func TestDefaultsYAMLEqualsDefaults(t *testing.T) {
	c := qt.New(t)
	docs, err := yamldoc.Parse("defaults.yaml", settings.DefaultsYAML())
	c.Assert(err, qt.IsNil)
	var decoded settings.Settings
	c.Assert(docs[0].Decode(&decoded), qt.IsNil)
	c.Assert(cmp.Diff(settings.Defaults(), decoded, cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})), qt.Equals, "")
	path := filepath.Join(t.TempDir(), "node.yaml")
	c.Assert(os.WriteFile(path, settings.DefaultsYAML(), 0o600), qt.IsNil)
	_, err = settings.Load(path)
	c.Assert(err, qt.IsNil)
}

// Checks that invalid settings are rejected with their line and column.
func TestFaultsHaveLineAndColumn(t *testing.T) {
	for _, test := range []struct{ name, yaml, want string }{
		{"unknown field in a list", "Keepers:\n  - {Nam: a}", `n:2:6: unknown field Nam .did you mean Name\?.`},
		{"bad address", "Listen:\n  Callers: 10.0.0.1", `n:2:12: expected an address with a port.*"10.0.0.1"`},
		{"bad duration", "Timeouts: {Idle: 5}", `n:1:18: expected a duration.*"5"`},
		{"type", "Limits:\n  BodyBytes: many", `n:2:14: expected a whole number, found "many"`},
		{"list for text", "Name: [a]", `n:1:7: expected a text, found a list`},
		{"syntax", "Name: [a", `n:1:7: .*`},
		{"two documents", "Name: a\n---\nName: b", `n: expected exactly one YAML document.*`},
		{"repeated key", "Name: a\nName: b", `n:2:1: .*already defined.*`},
		{"name", "Name: A b", `n:1:7: Name is "A b".*`},
		{"even voters", "Voters:\n  - {Name: a, Address: '127.0.0.1:1', DataCentre: x}\n  - {Name: b, Address: '127.0.0.1:2', DataCentre: x}",
			`n:2:3: Voters has 2 members.*`},
		{"voter without disk", "Name: a\nDataCentre: x\nVoters:\n  - {Name: a, Address: '127.0.0.1:8082', DataCentre: x}",
			`n:1:1: DataFolder is empty.*`},
		{"keeper elsewhere", "Keepers:\n  - {Name: a, Address: '127.0.0.1:1', DataCentre: x}", `n:2:51: Keepers\[0\].DataCentre is "x".*`},
		{"contradiction", "Peers:\n  - {Name: instance-1, Address: '127.0.0.1:1', DataCentre: x}",
			`n:2:6: Peers\[0\] gives "instance-1" another address.*`},
		{"streams on loopback", "Listen:\n  Peers: 10.0.0.1:8082\nTLS: {AllowPlaintext: true}",
			`n:2:3: Listen.Streams and Listen.Peers must both be on loopback.*`},
		{"streams unspecified", "Listen:\n  Streams: 0.0.0.0:8083\nTLS: {AllowPlaintext: true}",
			`n:2:12: Listen.Streams must be the address of one interface(?s:.*)`},
		{"plaintext", "Listen:\n  Callers: 10.0.0.1:80", `n:1:1: TLS.Callers is empty.*`},
		{"half TLS", "TLS:\n  Callers:\n    KeyFile: k", `n:3:5: TLS.Callers needs both.*`},
		{"half peer TLS", "TLS:\n  Peers:\n    KeyFile: k", `n:3:5: TLS.Peers needs.*`},
		{"choice", "Log:\n  Level: Inf", `n:2:10: Log.Level is "Inf".*did you mean Info.*`},
		{"bound", "Shutdown:\n  Bound: 1s", `n:2:10: Shutdown.Bound is 1s.*`},
		{"negative", "Timeouts:\n  Idle: -1s", `n:2:9: Timeouts.Idle is -1s.*`},
		{"too small", "Limits:\n  BodyBytes: 1", `n:2:14: Limits.BodyBytes is 1 bytes.*`},
		{"same port", "Listen:\n  Callers: 127.0.0.1:8081", `n:2:3: Listen.Operators is the same.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("n", []byte(test.yaml))
			qt.Assert(t, err, qt.ErrorMatches, "settings: "+test.want)
		})
	}
}

// Checks that every setting has an entry in the operators' guide.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	var walk func(path string, v reflect.Type)
	walk = func(path string, v reflect.Type) {
		for i := range v.NumField() {
			field, full := v.Field(i).Type, path+v.Field(i).Name
			if field.Kind() == reflect.Struct && field != reflect.TypeFor[netip.AddrPort]() {
				walk(full+".", field)
				continue
			}
			qt.Check(t, strings.Contains(string(page), "| `"+full+"` |"), qt.IsTrue, qt.Commentf(full))
		}
	}
	walk("", reflect.TypeFor[settings.Settings]())
}

// Checks that lines below the configured level are not written.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	logger := settings.Log{Level: "Warn", Format: "Text"}.New(&out)
	logger.Info("low")
	logger.Warn("high")
	qt.Assert(t, out.String(), qt.Matches, `time=\S+ level=WARN msg=high\n`)
}

// Checks that Parse does not panic on arbitrary input.
func FuzzParse(f *testing.F) {
	f.Add(settings.DefaultsYAML())
	f.Add([]byte("Keepers: [{Name: a}, &x [*x]]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse("n", data)
	})
}
