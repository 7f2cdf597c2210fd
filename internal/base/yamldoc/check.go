package yamldoc

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// maxDistance is the edit distance up to which a name counts as a likely misspelling.
const maxDistance = 3

// Hint suggests the candidate closest to name, or lists the candidates if they are few, or returns an empty string.
func Hint(name string, candidates []string) string {
	best, distance := "", maxDistance+1
	for _, c := range candidates {
		d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(c))
		if d < distance {
			best, distance = c, d
		}
	}
	const shown = 8
	switch {
	case best != "" && distance*2 <= max(len(name), len(best)):
		return fmt.Sprintf("did you mean %s?", best)
	case len(candidates) > 0 && len(candidates) <= shown:
		return "known here: " + strings.Join(candidates, ", ")
	}
	return ""
}

// checker compares a document with the Go type that it is decoded into and collects all errors. The
// decoder itself stops at the first error and reports some without a position.
type checker struct {
	file     string
	problems SourceErrors
}

func (d Document) check(v any) SourceErrors {
	c := &checker{file: d.file}
	c.node(d.body, reflect.TypeOf(v))
	return c.problems
}

func (c *checker) add(n ast.Node, hint, format string, args ...any) {
	p := SourceError{File: c.file, Message: fmt.Sprintf(format, args...), Hint: hint}
	if at := n.GetToken(); at != nil && at.Position != nil {
		p.Line, p.Column = at.Position.Line, at.Position.Column
	}
	c.problems = append(c.problems, p)
}

func (c *checker) node(n ast.Node, t reflect.Type) {
	for t.Kind() == reflect.Pointer && !isScalar(t) {
		t = t.Elem()
	}
	switch body := n.(type) {
	case *ast.NullNode:
		return // null selects the default
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode, *ast.MergeKeyNode:
		// Aliases can expand a small file to any size, and some tags make the decoder panic.
		c.add(n, "write the value out", "anchors, aliases and tags are not supported")
	case *ast.MappingNode:
		c.mapping(body, t)
	case *ast.SequenceNode:
		c.sequence(body, t)
	default:
		c.scalar(n, t)
	}
}

func (c *checker) mapping(n *ast.MappingNode, t reflect.Type) {
	if t.Kind() == reflect.Interface {
		return
	}
	if t.Kind() == reflect.Map {
		for _, entry := range n.Values {
			c.node(entry.Value, t.Elem())
		}
		return
	}
	if t.Kind() != reflect.Struct || isScalar(t) {
		c.add(positionNode(n), "", "expected %s, found a mapping", describe(t))
		return
	}
	fields, names := fieldsOf(t)
	for _, entry := range n.Values {
		if _, plain := entry.Key.(*ast.StringNode); !plain {
			c.add(entry.Key, "", "expected the name of a field")
			continue
		}
		key := entry.Key.GetToken().Value
		field, known := fields[key]
		if !known {
			c.add(entry.Key, Hint(key, names), "unknown field %s", key)
			continue
		}
		c.node(entry.Value, field)
	}
}

func (c *checker) sequence(n *ast.SequenceNode, t reflect.Type) {
	if t.Kind() == reflect.Interface {
		return
	}
	if t.Kind() != reflect.Slice {
		c.add(n, "", "expected %s, found a list", describe(t))
		return
	}
	for _, value := range n.Values {
		c.node(value, t.Elem())
	}
}

func (c *checker) scalar(n ast.Node, t reflect.Type) {
	value := reflect.New(t)
	if err := yaml.NodeToValue(n, value.Interface(), yaml.Strict()); err != nil {
		c.add(n, "", "expected %s, found %q", describe(t), n.GetToken().Value)
	}
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func isScalar(t reflect.Type) bool {
	return t.Implements(textUnmarshaler) || reflect.PointerTo(t).Implements(textUnmarshaler)
}

func fieldsOf(t reflect.Type) (fields map[string]reflect.Type, names []string) {
	fields = map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name := tagName(f)
		if !f.IsExported() || name == "-" {
			continue
		}
		fields[name] = f.Type
		names = append(names, name)
	}
	slices.Sort(names)
	return fields, names
}

func tagName(f reflect.StructField) string {
	for _, key := range []string{"yaml", "json"} {
		if name, _, _ := strings.Cut(f.Tag.Get(key), ","); name != "" {
			return name
		}
	}
	return strings.ToLower(f.Name)
}

func describe(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "a duration such as 500ms or 10s"
	case t == reflect.TypeFor[time.Time]():
		return "a time such as 2026-01-02T15:04:05Z"
	case t.String() == "netip.AddrPort":
		return "an address with a port such as 10.0.0.1:8080"
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Uint64, reflect.Uint, reflect.Uint32, reflect.Uint16:
		return "a whole number of 0 or more"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "a whole number"
	}
	return t.String()
}
