package questionnaire

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
)

// commentWidth is the width at which comments are wrapped.
const commentWidth = 100

// node is a YAML field with the reason for its value.
type node struct {
	key      string
	why      string
	value    any   // a scalar, or nil for a mapping or list
	list     []any // written one item on each line
	children []*node
}

// document is a YAML document in the order in which its fields are set.
type document struct {
	title string
	root  node
}

// set stores the value at a path such as Limits.BodyBytes; why explains the choice.
func (d *document) set(path string, value any, why string, args ...any) {
	n := d.at(path)
	n.value, n.why = value, fmt.Sprintf(why, args...)
}

// setList stores a list at a path.
func (d *document) setList(path string, items []any, why string, args ...any) {
	n := d.at(path)
	n.list, n.why = items, fmt.Sprintf(why, args...)
}

func (d *document) at(path string) *node {
	n := &d.root
	for _, key := range strings.Split(path, ".") {
		n = n.child(key)
	}
	return n
}

func (n *node) child(key string) *node {
	for _, c := range n.children {
		if c.key == key {
			return c
		}
	}
	c := &node{key: key}
	n.children = append(n.children, c)
	return c
}

func (d *document) bytes() ([]byte, error) {
	var b bytes.Buffer
	comment(&b, "", d.title)
	for _, c := range d.root.children {
		if err := c.write(&b, ""); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

func (n *node) write(b *bytes.Buffer, indent string) error {
	comment(b, indent, n.why)
	switch {
	case n.value != nil:
		text, err := flow(n.value)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "%s%s: %s\n", indent, n.key, text)
		return nil
	case n.list != nil:
		fmt.Fprintf(b, "%s%s:\n", indent, n.key)
		for _, item := range n.list {
			text, err := flow(item)
			if err != nil {
				return err
			}
			fmt.Fprintf(b, "%s  - %s\n", indent, text)
		}
		return nil
	}
	fmt.Fprintf(b, "%s%s:\n", indent, n.key)
	for _, c := range n.children {
		if err := c.write(b, indent+"  "); err != nil {
			return err
		}
	}
	return nil
}

// flow encodes a value in one line.
func flow(value any) (string, error) {
	data, err := yaml.MarshalWithOptions(value, yaml.Flow(true))
	return strings.TrimSpace(string(data)), err
}

// comment writes the text as comment lines of a bounded width.
func comment(b *bytes.Buffer, indent, text string) {
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(indent)+len(line)+len(word)+3 > commentWidth {
			fmt.Fprintf(b, "%s# %s\n", indent, line)
			line = ""
		}
		line = strings.TrimSpace(line + " " + word)
	}
	if line != "" {
		fmt.Fprintf(b, "%s# %s\n", indent, line)
	}
}
