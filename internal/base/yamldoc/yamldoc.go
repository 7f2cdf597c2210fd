// Package yamldoc decodes YAML strictly and reports every error with its file, line and column.
package yamldoc

import (
	"fmt"
	"os"
	"strings"

	"lycheevale/internal/base/chain"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes bounds the size of a file, because a parsed document uses many times that amount of memory.
const MaxBytes = 64 << 20

// SourceError is one error in a file; Line and Column count from 1 and are 0 when unknown.
type SourceError struct {
	File    string
	Line    int
	Column  int
	Message string
	Hint    string
}

// Error implements error.
func (p SourceError) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	b.WriteString(p.Message)
	if p.Hint != "" {
		b.WriteString(" (" + p.Hint + ")")
	}
	return b.String()
}

// SourceErrors are all errors found in a file.
type SourceErrors []SourceError

// Error implements error with one line for each problem.
func (ps SourceErrors) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no problems.
func (ps SourceErrors) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Document is one YAML document of a file.
type Document struct {
	file string
	body ast.Node
}

// ReadFile parses the documents of the file at path.
func ReadFile(path string) (docs []Document, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > MaxBytes {
		return nil, SourceError{File: path, Message: fmt.Sprintf("file is larger than %d bytes", MaxBytes)}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse splits data into documents and skips empty ones; file names the source in errors.
func Parse(file string, data []byte) (docs []Document, err error) {
	defer recoverPanic(file, &err)
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, SourceErrors{newSourceError(file, err, nil)}
	}
	for _, d := range parsed.Docs {
		if d.Body == nil || d.Body.Type() == ast.NullType || d.Body.Type() == ast.CommentType {
			continue
		}
		docs = append(docs, Document{file: file, body: d.Body})
	}
	return docs, nil
}

// Decode stores the document in v, a pointer, and rejects unknown fields. Fields that the document
// omits keep their values.
func (d Document) Decode(v any) (err error) {
	defer recoverPanic(d.file, &err)
	if err := d.check(v).Err(); err != nil {
		return err
	}
	if err := yaml.NodeToValue(d.body, v, yaml.Strict()); err != nil {
		return SourceErrors{newSourceError(d.file, err, d.body)}
	}
	return nil
}

// recoverPanic converts a panic of the YAML library into an error: fuzzing found input that makes the library panic.
func recoverPanic(file string, err *error) {
	if p := recover(); p != nil {
		*err = SourceErrors{{File: file, Message: fmt.Sprintf("YAML cannot be read: %v", p)}}
	}
}

// ErrorAt returns an error at a YAML path such as $.Peers[1].Address, or at the nearest part of
// the path that the document contains.
func (d Document) ErrorAt(path, message, hint string) SourceError {
	p := SourceError{File: d.file, Message: message, Hint: hint}
	if at := d.find(path).GetToken(); at != nil && at.Position != nil {
		p.Line, p.Column = at.Position.Line, at.Position.Column
	}
	return p
}

func (d Document) find(path string) ast.Node {
	for path != "" && path != "$" {
		if compiled, err := yaml.PathString(path); err == nil {
			if node, err := compiled.FilterNode(d.body); err == nil && node != nil {
				return positionNode(node)
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return positionNode(d.body)
}

// positionNode returns the node whose position is reported for n: the first key of a mapping, otherwise n itself.
func positionNode(n ast.Node) ast.Node {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key
	}
	return n
}

func newSourceError(file string, err error, fallback ast.Node) SourceError {
	p := SourceError{File: file, Message: err.Error()}
	var at *token.Token
	var syntax yaml.Error
	if chain.As(err, &syntax) {
		p.Message = syntax.GetMessage()
		at = syntax.GetToken()
	}
	if at == nil && fallback != nil {
		at = fallback.GetToken()
	}
	if at != nil && at.Position != nil {
		p.Line, p.Column = at.Position.Line, at.Position.Column
	}
	return p
}
