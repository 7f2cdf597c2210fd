package objectfile_test

import (
	"fmt"

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
