package yamldoc_test

import (
	"fmt"

	"lycheevale/internal/base/yamldoc"
)

func ExampleDocument_Decode() {
	var route struct {
		Method string `yaml:"Method"`
		Path   string `yaml:"Path"`
	}
	docs, _ := yamldoc.Parse("routes.yaml", []byte("Method: GET\n---\nMethod: GET\nPth: /quotes\n"))
	for _, d := range docs {
		fmt.Println(d.Decode(&route))
	}
	// Output:
	// <nil>
	// routes.yaml:4:1: unknown field Pth (did you mean Path?)
}
