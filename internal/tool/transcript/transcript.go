// Package transcript runs the command lines in the pages of docs, so that a page cannot show what the programs no
// longer do.
package transcript

import (
	"regexp"
	"strings"
)

// Marks in a page: commands stand in console blocks after a prompt, and a document for standard input or a file ends
// with a line of its own.
const (
	openBlock  = "```console"
	closeBlock = "```"
	prompt     = "$ "
	documentAt = " <<'END'"
	documentTo = "END"
)

// Command is one command of a page.
type Command struct {
	Words    []string // after the expansion of variables
	Document string   // lines of the document that follows the command
	Output   string   // what the page shows at present
}

// Refresh runs every command of the page and returns the page with the new outputs. Lookup gives the values of
// variables when a command is about to run.
func Refresh(page string, lookup func(name string) string, run func(Command) string) string {
	var out strings.Builder
	lines := strings.Split(strings.TrimSuffix(page, "\n"), "\n")
	inBlock := false
	for len(lines) > 0 {
		line := lines[0]
		switch {
		case inBlock && strings.HasPrefix(line, prompt):
			source, c, rest := cut(lines, lookup)
			out.WriteString(source + run(c))
			lines = rest
			continue
		case line == openBlock:
			inBlock = true
		case line == closeBlock:
			inBlock = false
		}
		out.WriteString(line + "\n")
		lines = lines[1:]
	}
	return out.String()
}

// cut takes one command with its output off the lines.
func cut(lines []string, lookup func(string) string) (source string, c Command, rest []string) {
	n := 1
	for strings.HasSuffix(lines[n-1], `\`) && n < len(lines) {
		n++
	}
	text := strings.TrimPrefix(strings.Join(lines[:n], "\n"), prompt)
	if before, ok := strings.CutSuffix(text, documentAt); ok {
		text = before
		for n < len(lines) && lines[n] != documentTo {
			c.Document += lines[n] + "\n"
			n++
		}
		n = min(n+1, len(lines))
	}
	end := n
	for end < len(lines) && lines[end] != closeBlock && !strings.HasPrefix(lines[end], prompt) {
		end++
	}
	c.Words = Split(text, lookup)
	c.Output = joined(lines[n:end])
	return joined(lines[:n]), c, lines[end:]
}

func joined(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

var (
	wordPattern = regexp.MustCompile(`(?:'[^']*'|"[^"]*"|\\\n|[^\s'"\\])+`)
	partPattern = regexp.MustCompile(`'[^']*'|"[^"]*"|\\\n|[^'"\\]+`)
	namePattern = regexp.MustCompile(`\$[A-Z_]+`)
)

// Split splits a command line into words as a shell does, for the few forms that the pages use: single and double
// quotes, variables in capitals, and lines continued with a backslash.
func Split(line string, lookup func(name string) string) (words []string) {
	expand := func(s string) string {
		return namePattern.ReplaceAllStringFunc(s, func(name string) string { return lookup(name[1:]) })
	}
	for _, raw := range wordPattern.FindAllString(line, -1) {
		if raw == "\\\n" {
			continue
		}
		word := ""
		for _, part := range partPattern.FindAllString(raw, -1) {
			switch part[0] {
			case '\'':
				word += strings.Trim(part, "'")
			case '"':
				word += expand(strings.Trim(part, `"`))
			case '\\':
			default:
				word += expand(part)
			}
		}
		words = append(words, word)
	}
	return words
}
