package ctl

import (
	"io"

	"lycheevale/internal/base/yamldoc"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
)

// ReadObjects reads objects from a YAML file, one in each document; all errors carry line and column.
func ReadObjects(path string) ([]registry.Object, error) {
	docs, err := yamldoc.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return decodeObjects(docs)
}

func (s *session) readObjects(path string) ([]registry.Object, error) {
	if path != "-" {
		objects, err := ReadObjects(path)
		return objects, fileError(err)
	}
	data, err := io.ReadAll(io.LimitReader(s.streams.In, yamldoc.MaxBytes))
	if err != nil {
		return nil, err
	}
	docs, err := yamldoc.Parse("standard input", data)
	if err != nil {
		return nil, err
	}
	return decodeObjects(docs)
}

// fileError turns a file that cannot be read into an error in the arguments.
func fileError(err error) error {
	switch err.(type) {
	case nil, yamldoc.SourceError, yamldoc.SourceErrors:
		return err
	}
	return usage("%v", err)
}

func decodeObjects(docs []yamldoc.Document) ([]registry.Object, error) {
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
