package objectfile_test

import (
	"fmt"
	"testing"

	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/objectfile"
)

func ExampleParse() {
	objects, err := objectfile.Parse("model.yaml", []byte("Kind: Model\nName: quill\nModel: {}\n"))
	fmt.Println(objects[0].Kind, objects[0].Name, err)
	_, err = objectfile.Parse("model.yaml", []byte("Kind: Model\nName: quill\nModl: {}\n"))
	fmt.Println(err)
	// Output:
	// Model quill <nil>
	// model.yaml:3:1: unknown field Modl (did you mean Model?)
}

// Guards against objects that crash the checks.
func FuzzParse(f *testing.F) {
	f.Add([]byte("Kind: Service\nName: s\nService:\n  Kind: Plain\n  Routes: [{Method: GET, Path: '/{a}'}]\n  Objective: {Availability: 0.9}\n"))
	f.Add([]byte("Kind: Version\nName: a@1\nVersion: {Adapter: a, Source: s, State: Active}\n---\nKind: Key\nName: k\nDeleted: true\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		objects, err := objectfile.Parse("f", data)
		if err != nil {
			return
		}
		empty := registry.New()
		operator.CheckReferences(operator.View{Object: empty.Get, Objects: empty.List}, objects)
	})
}
