package burn

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"customer": customerName, "percent": percent, "causes": causes, "plot": plot, "spent": spent,
	"time":    func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"budgets": budgets,
}).Parse(page))

const (
	plotWidth  = 640 // pixels
	plotHeight = 220
)

type namedBudget struct {
	Name string
	Budget
}

// budgets returns the objectives that a row has.
func budgets(r Row) (list []namedBudget) {
	for _, b := range []namedBudget{{"availability", r.Availability}, {"first token", r.FirstToken}} {
		if b.Objective > 0 {
			list = append(list, b)
		}
	}
	return list
}

// WriteHTML writes the report as one page without scripts or external files.
func (r Report) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, struct {
		Report
		Windows any
	}{r, windowNames()})
}

func windowNames() (names []string) {
	for _, w := range windows {
		names = append(names, w.name)
	}
	return names
}

// plot draws the burn rates of the hours; it is empty when there are fewer than two.
func plot(r Row) (template.HTML, error) {
	if len(r.Hours) < 2 {
		return "", nil
	}
	var at []time.Time
	var availability, firstToken []float64
	highest := 2 * slowBurn
	for _, h := range r.Hours {
		at = append(at, h.Start)
		availability = append(availability, h.Availability)
		firstToken = append(firstToken, h.FirstToken)
		highest = max(highest, h.Availability, h.FirstToken)
	}
	c := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{ValueFormatter: func(v any) string {
			return time.Unix(0, int64(v.(float64))).UTC().Format("01-02 15:04")
		}},
		YAxis: chart.YAxis{Name: "burn rate", Range: &chart.ContinuousRange{Min: 0, Max: highest}},
		// Without any series it has no range, and its labels would have no position.
		YAxisSecondary: chart.YAxis{Style: chart.Hidden()},
		Series: []chart.Series{
			chart.TimeSeries{Name: "availability", XValues: at, YValues: availability},
			chart.TimeSeries{Name: "first token", XValues: at, YValues: firstToken},
		},
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return render(c)
}

// spent draws what spent the budgets, as parts of them; it is empty when nothing did.
func spent(r Row) (template.HTML, error) {
	highest := 0.0
	var bars []chart.Value
	for _, b := range budgets(r) {
		for _, c := range b.Spent {
			bars = append(bars, chart.Value{Label: c.Name, Value: 100 * c.Part})
			highest = max(highest, 100*c.Part)
		}
	}
	if highest <= 0 {
		return "", nil
	}
	return render(chart.BarChart{
		Width: plotWidth, Height: plotHeight, BarWidth: 80, Bars: bars,
		YAxis: chart.YAxis{Name: "% of budget", Range: &chart.ContinuousRange{Min: 0, Max: highest}},
	})
}

type renderer interface {
	Render(rp chart.RendererProvider, w io.Writer) error
}

func render(r renderer) (template.HTML, error) {
	var b bytes.Buffer
	if err := r.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil // drawn from numbers and constant labels
}
