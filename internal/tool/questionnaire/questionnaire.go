// Package questionnaire turns a new team's answers into settings and configuration objects.
package questionnaire

import (
	"fmt"
	"os"
	"path/filepath"

	"lycheevale/internal/base/settings"
	"lycheevale/internal/base/yamldoc"
	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/objectfile"
)

// ObjectsFile is the name of the generated file for lycheectl apply.
const ObjectsFile = "objects.yaml"

// File is a generated file.
type File struct {
	Name string
	Data []byte
}

// Generate returns one settings file for each instance and a file with the objects. It fails if the
// answers are not usable or the result would not be accepted.
func Generate(a Answers) (files []File, err error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	p := newPlan(a)
	for _, in := range p.instances {
		data, err := p.settingsOf(in)
		if err != nil {
			return nil, err
		}
		name := in.Name + ".yaml"
		if _, err := settings.Parse(name, data); err != nil {
			return nil, err
		}
		files = append(files, File{Name: name, Data: data})
	}
	data, err := p.objects()
	if err != nil {
		return nil, err
	}
	if err := checkObjects(data); err != nil {
		return nil, err
	}
	return append(files, File{Name: ObjectsFile, Data: data}), nil
}

// checkObjects makes sure that an empty deployment accepts the objects.
func checkObjects(data []byte) error {
	objects, err := objectfile.Parse(ObjectsFile, data)
	if err != nil {
		return err
	}
	empty := registry.New()
	var refused yamldoc.SourceErrors
	for _, f := range operator.CheckReferences(operator.View{Object: empty.Get, Objects: empty.List}, objects) {
		refused = append(refused, yamldoc.SourceError{File: ObjectsFile, Message: f.String()})
	}
	return refused.Err()
}

// Write stores the files in a folder; without overwrite it fails, before it writes any, if one exists.
func Write(folder string, files []File, overwrite bool) error {
	const readable, searchable = 0o644, 0o755
	for _, f := range files {
		path := filepath.Join(folder, f.Name)
		if _, err := os.Stat(path); err == nil && !overwrite {
			return fmt.Errorf("%s exists already", path)
		}
	}
	if err := os.MkdirAll(folder, searchable); err != nil {
		return err
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.Name), f.Data, readable); err != nil {
			return err
		}
	}
	return nil
}
