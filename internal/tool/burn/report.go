package burn

import (
	"time"

	"lycheevale/internal/state/registry"
)

// Windows of the burn rates; the longest one is the period of the budget.
var windows = []struct {
	name    string
	minutes int // 0 for a window of whole hours
	hours   int
}{
	{name: "5 min", minutes: 5},
	{name: "1 h", minutes: 60},
	{name: "6 h", hours: 6},
	{name: "3 d", hours: 72},
}

const (
	// slowPart of the requests may exceed the first-token time of the objective.
	slowPart = 0.05
	// fastBurn spends two days' worth of a 30-day budget in an hour: someone has to act at once.
	fastBurn = 14.4
	// slowBurn spends the budget before its period ends.
	slowBurn = 1.0
)

// Status tells what a burn rate asks for.
type Status string

// A status is urgent when both short windows burn fast, a warning when both long ones spend the budget before its
// period ends, and spent when the budget of three days is used up.
const (
	StatusOK      Status = "OK"
	StatusSpent   Status = "Spent"
	StatusWarning Status = "Warning"
	StatusUrgent  Status = "Urgent"
)

// Report is the state of all objectives at one time.
type Report struct {
	At   time.Time
	Rows []Row // by customer and service
}

// Row is one customer and service.
type Row struct {
	Customer     string
	Service      string
	Counts       Counts // of the longest window
	Availability Budget
	FirstToken   Budget
	Hours        []Hour // with requests, ascending
}

// Budget is one objective and what it allows.
type Budget struct {
	Objective float64 // part of the requests that must be good; 0 without an objective
	Reached   float64 // part that was good in the longest window
	Left      float64 // part of the budget that is left, negative when overspent
	Burn      []Rate  // by window, shortest first
	Status    Status
	Spent     []Cause // by cause in the longest window
}

// Rate is the burn rate in one window: 1 spends the budget exactly.
type Rate struct {
	Window   string
	Requests uint64
	Rate     float64
}

// Cause is a part of what was spent.
type Cause struct {
	Name     string
	Requests uint64
	Part     float64 // of the budget
}

// Hour is the burn of one hour, for plots.
type Hour struct {
	Start        time.Time
	Availability float64
	FirstToken   float64
}

// Compute compares the counts of a snapshot with the objectives of the services.
func Compute(now time.Time, s Snapshot, objective func(service string) registry.Objective) Report {
	r := Report{At: now}
	for _, one := range s.Series {
		r.Rows = append(r.Rows, row(now, one, objective(one.Service)))
	}
	return r
}

func row(now time.Time, s Series, o registry.Objective) Row {
	sums := make([]Counts, len(windows))
	for i, w := range windows {
		if w.minutes > 0 {
			sums[i] = sum(s.Minutes, minuteOf(now)-int64(w.minutes))
		} else {
			sums[i] = sum(s.Hours, hourOf(now)-int64(w.hours))
		}
	}
	total := sums[len(sums)-1]
	r := Row{Customer: s.Customer, Service: s.Service, Counts: total}
	firstToken := 0.0
	if o.FirstTokenMS > 0 {
		firstToken = 1 - slowPart
	}
	r.Availability = budget(o.Availability, sums, availability, []Cause{
		{Name: "refusals", Requests: total.Refusals()}, {Name: "faults", Requests: total.Failed},
	})
	r.FirstToken = budget(firstToken, sums, promptness, []Cause{
		{Name: "stalls", Requests: total.Stalled}, {Name: "other slow", Requests: total.Slow},
	})
	for _, b := range s.Hours {
		if b.Number > hourOf(now)-hoursKept {
			r.Hours = append(r.Hours, Hour{
				Start:        time.Unix(b.Number*3600, 0).UTC(),
				Availability: burnOf(o.Availability, availability, b.Counts),
				FirstToken:   burnOf(firstToken, promptness, b.Counts),
			})
		}
	}
	return r
}

// sum adds the buckets after the number.
func sum(list []Bucket, after int64) (total Counts) {
	for _, b := range list {
		if b.Number > after {
			total.add(b.Counts)
		}
	}
	return total
}

// measure returns the requests that spent a budget and those that the objective is about.
type measure func(c Counts) (bad, of uint64)

func availability(c Counts) (bad, of uint64) { return c.Refusals() + c.Failed, c.Eligible() }

func promptness(c Counts) (bad, of uint64) { return c.Stalled + c.Slow, c.Ran() }

func budget(objective float64, sums []Counts, m measure, causes []Cause) Budget {
	b := Budget{Objective: objective, Reached: 1, Left: 1, Status: StatusOK}
	for i, w := range windows {
		_, of := m(sums[i])
		b.Burn = append(b.Burn, Rate{Window: w.name, Requests: of, Rate: burnOf(objective, m, sums[i])})
	}
	bad, of := m(sums[len(sums)-1])
	if of > 0 {
		b.Reached = 1 - float64(bad)/float64(of)
	}
	allowed := (1 - objective) * float64(of)
	for _, c := range causes {
		if allowed > 0 && objective > 0 {
			c.Part = float64(c.Requests) / allowed
			b.Left -= c.Part
		}
		b.Spent = append(b.Spent, c)
	}
	switch {
	case b.Burn[0].Rate >= fastBurn && b.Burn[1].Rate >= fastBurn:
		b.Status = StatusUrgent
	case b.Burn[2].Rate >= slowBurn && b.Burn[3].Rate >= slowBurn:
		b.Status = StatusWarning
	case b.Left <= 0 && b.Reached < 1:
		b.Status = StatusSpent
	}
	return b
}

// burnOf returns the part of bad requests as a multiple of what the objective allows; an objective of 1 allows none
// and is treated as one in a million.
func burnOf(objective float64, m measure, c Counts) float64 {
	bad, of := m(c)
	if of == 0 || objective <= 0 {
		return 0
	}
	return float64(bad) / float64(of) / max(1-objective, 1e-6)
}
