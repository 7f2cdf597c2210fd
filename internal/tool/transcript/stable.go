package transcript

import (
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
)

// replacements hide what differs between two runs.
var replacements = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`lv_[A-Za-z0-9]+_[A-Za-z0-9]+`), "lv_<id>_<secret>"},
	{regexp.MustCompile(`127(\.\d+){3}:\d+`), "<address>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+(Z|[+-]\d\d:\d\d)`), "<time>"},
	{regexp.MustCompile(`[Rr]evision \d+`), "revision <revision>"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "<identifier>"},
	{regexp.MustCompile(`Hash: [0-9a-f]{64}`), "Hash: <hash>"},
	{regexp.MustCompile(`"created":\d+`), `"created":<time>`},
}

// unstable are columns and facts whose values differ between two runs.
var unstable = map[string]string{
	"REVISION": "<revision>", "Revision:": "<revision>", "Leader:": "<leader>", "Version:": "<version>",
	"RESIDENT": "<count>", "RUNNING": "<count>", "QUEUED": "<count>", "REPORTED": "<time>",
}

// cellPattern finds the gaps of a table, but not an indentation.
var cellPattern = regexp.MustCompile(`(\S)  +`)

// Stable replaces what differs between two runs by placeholders and aligns the tables again.
func Stable(output string) string {
	for _, r := range replacements {
		output = r.pattern.ReplaceAllString(output, r.with)
	}
	var out strings.Builder
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	var header []string
	for line := range strings.Lines(output) {
		cells := strings.Split(cellPattern.ReplaceAllString(strings.TrimSuffix(line, "\n"), "$1\t"), "\t")
		if len(cells) > 1 && strings.ToUpper(line) == line && !slices.Contains(header, cells[0]) {
			header = cells
		} else {
			hide(header, cells)
		}
		// A line of one cell ends the columns of a tabwriter, as in the programs.
		_, _ = table.Write([]byte(strings.Join(cells, "\t") + "\n"))
	}
	_ = table.Flush()
	return out.String()
}

// shareHeader begins the table of limits: the shares of data centres move with demand.
var shareHeader = []string{"CUSTOMER", "DATA CENTRE", "RATE", "BURST"}

func hide(header, cells []string) {
	if len(header) > 4 && slices.Equal(header[:4], shareHeader) && len(cells) > 4 && cells[1] != "(all)" {
		cells[2], cells[3] = "<share>", "<share>"
	}
	if with, ok := unstable[cells[0]]; ok && len(cells) == 2 {
		cells[1] = with
		return
	}
	for n := range cells {
		if with, ok := unstable[at(header, n)]; ok && len(cells) == len(header) {
			cells[n] = with
		}
	}
}

func at(list []string, n int) string {
	if n < len(list) {
		return list[n]
	}
	return ""
}
