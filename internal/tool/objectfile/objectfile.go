// Package objectfile reads and writes configuration objects as YAML, one in each document.
package objectfile

import (
	"bytes"
	"encoding/json"

	"github.com/goccy/go-yaml"

	"lycheevale/internal/base/yamldoc"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
)

// Read reads the file at path and checks the form of the objects; all errors carry line and column.
func Read(path string) ([]registry.Object, error) {
	docs, err := yamldoc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return decode(docs)
}

// Parse is Read for data in memory; file names the source in errors.
func Parse(file string, data []byte) ([]registry.Object, error) {
	docs, err := yamldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	return decode(docs)
}

// Encode returns the objects as YAML without their revisions.
func Encode(objects []registry.Object) ([]byte, error) {
	var b bytes.Buffer
	for i, o := range objects {
		o.Revision = 0
		data, err := json.Marshal(o)
		if err != nil {
			return nil, err
		}
		if data, err = yaml.JSONToYAML(data); err != nil {
			return nil, err
		}
		if i > 0 {
			b.WriteString("---\n")
		}
		b.Write(data)
	}
	return b.Bytes(), nil
}

func decode(docs []yamldoc.Document) ([]registry.Object, error) {
	objects := make([]registry.Object, len(docs))
	var problems yamldoc.SourceErrors
	for i, d := range docs {
		if err := d.Decode(&objects[i]); err != nil {
			list, ok := err.(yamldoc.SourceErrors)
			if !ok {
				return nil, err
			}
			problems = append(problems, list...)
		}
	}
	if err := problems.Err(); err != nil || len(docs) == 0 {
		return nil, err
	}
	for _, f := range operator.CheckForm(objects) {
		hint := ""
		if f.Path == "$.Kind" {
			hint = kindHint(objects[f.Index])
		}
		problems = append(problems, docs[f.Index].ErrorAt(f.Path, f.String(), hint))
	}
	return objects, problems.Err()
}

func kindHint(o registry.Object) string {
	kinds := make([]string, 0, len(operator.Collections))
	for _, c := range operator.Collections {
		if c.Kind == o.Kind {
			return ""
		}
		kinds = append(kinds, string(c.Kind))
	}
	return yamldoc.Hint(string(o.Kind), kinds)
}
