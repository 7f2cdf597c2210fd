package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a table for terminals.
func (r Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "Service level burn at %s\n\n", r.At.UTC().Format(time.RFC3339)); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "CUSTOMER\tSERVICE\tOBJECTIVE\tTARGET\tREACHED\tBUDGET LEFT")
	for _, win := range windows {
		fmt.Fprintf(t, "\t%s", strings.ToUpper(win.name))
	}
	fmt.Fprint(t, "\tSTATUS\tSPENT BY\n")
	for _, row := range r.Rows {
		writeBudget(t, row, "availability", row.Availability)
		writeBudget(t, row, "first token", row.FirstToken)
	}
	return t.Flush()
}

func writeBudget(w io.Writer, row Row, name string, b Budget) {
	if b.Objective <= 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s", customerName(row.Customer), row.Service, name,
		percent(b.Objective), percent(b.Reached), percent(b.Left))
	for _, rate := range b.Burn {
		fmt.Fprintf(w, "\t%.2f", rate.Rate)
	}
	fmt.Fprintf(w, "\t%s\t%s\n", b.Status, causes(b.Spent))
}

func customerName(name string) string {
	if name == "" {
		return "(open routes)"
	}
	return name
}

func percent(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) }

// causes lists what spent the budget, or a dash.
func causes(list []Cause) string {
	var parts []string
	for _, c := range list {
		if c.Requests > 0 {
			parts = append(parts, fmt.Sprintf("%s %d (%s)", c.Name, c.Requests, percent(c.Part)))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
