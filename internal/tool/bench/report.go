package bench

import (
	"bytes"
	"html/template"
	"os"
	"path/filepath"
	"strings"

	"github.com/wcharczuk/go-chart/v2"
)

const page = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Placement benchmark</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.3em .6em}
svg{max-width:100%}</style></head><body>
<h1>Placement benchmark</h1>
<p>Each cell and bar is the median over the seeds; the worst seed is in brackets. Baselines and measures are described
in docs/placement.md.</p>
{{range .}}<h2>{{.Site}}</h2>
<table><tr><th>policy</th>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}{{end}}</body></html>
`

type section struct {
	Site    string
	Columns []string
	Rows    [][]string
	Plots   []template.HTML
}

// write creates index.html with the plots in the directory.
func write(directory string, rows []Row) error {
	var sections []section
	for _, site := range sites(rows) {
		s := section{Site: site}
		var own []Row
		for _, r := range rows {
			if r.Site == site {
				own = append(own, r)
			}
		}
		for _, c := range columns {
			s.Columns = append(s.Columns, c.name)
			svg, err := plot(own, c, chart.SVG)
			if err != nil {
				return err
			}
			s.Plots = append(s.Plots, template.HTML(svg)) // rendered by go-chart from our own names and numbers
		}
		for _, r := range own {
			cells := []string{r.Policy}
			for _, c := range columns {
				cells = append(cells, cell(r, c))
			}
			s.Rows = append(s.Rows, cells)
		}
		sections = append(sections, s)
	}
	var b bytes.Buffer
	if err := template.Must(template.New("page").Parse(page)).Execute(&b, sections); err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "index.html"), b.Bytes(), 0o644)
}

func sites(rows []Row) (names []string) {
	for _, r := range rows {
		if len(names) == 0 || names[len(names)-1] != r.Site {
			names = append(names, r.Site)
		}
	}
	return names
}

// plot draws one measure of all policies at a site.
func plot(rows []Row, c column, as chart.RendererProvider) ([]byte, error) {
	const width, height, bar = 900, 320, 60
	highest := 0.0
	graph := chart.BarChart{
		Title: rows[0].Site + ": " + c.name, Width: width, Height: height, BarWidth: bar,
		Background: chart.Style{Padding: chart.Box{Top: 50, Bottom: 30}},
		XAxis:      chart.Style{FontSize: 8, TextWrap: chart.TextWrapWord},
	}
	for _, r := range rows {
		if cell(r, c) == "-" {
			continue
		}
		v := r.Median(c.value)
		highest = max(highest, v)
		graph.Bars = append(graph.Bars, chart.Value{Value: v, Label: strings.ReplaceAll(r.Policy, ", ", " ")})
	}
	// A fixed range starts the bars at zero; the library fails on an empty one.
	graph.YAxis.Range = &chart.ContinuousRange{Min: 0, Max: max(highest*1.1, 0.001)}
	var b bytes.Buffer
	err := graph.Render(as, &b)
	return b.Bytes(), err
}
