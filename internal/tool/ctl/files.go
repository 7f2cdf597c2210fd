package ctl

import (
	"io"

	"lycheevale/internal/base/yamldoc"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/objectfile"
)

func (s *session) readObjects(path string) ([]registry.Object, error) {
	if path != "-" {
		objects, err := objectfile.Read(path)
		return objects, fileError(err)
	}
	data, err := io.ReadAll(io.LimitReader(s.streams.In, yamldoc.MaxBytes))
	if err != nil {
		return nil, err
	}
	return objectfile.Parse("standard input", data)
}

// fileError turns a file that cannot be read into an error in the arguments.
func fileError(err error) error {
	switch err.(type) {
	case nil, yamldoc.SourceError, yamldoc.SourceErrors:
		return err
	}
	return usage("%v", err)
}
