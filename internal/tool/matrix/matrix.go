// Package matrix runs every fault at every step of a request and of a configuration change against a whole
// deployment of stand-ins on an in-memory network, and checks the promises of the design in each cell. It must run
// inside a testing/synctest bubble.
package matrix

import (
	"lycheevale/internal/base/event"
	"lycheevale/internal/node/instance"
	"lycheevale/internal/serve/caller"
)

// Probe is the kind of request that a fault strikes.
type Probe string

// Probes.
const (
	Completion Probe = "completion"
	Order      Probe = "order"
	Change     Probe = "change"
)

// Column is a step of a probe.
type Column struct {
	Probe Probe
	Step  string
}

// stepLoad is the transfer of an adapter's weights, which the weight store sees.
const stepLoad = "load"

// Columns returns all steps in order.
func Columns() (columns []Column) {
	for _, step := range []caller.Step{
		caller.StepIdentify, caller.StepAdmit, caller.StepChoose, stepLoad, caller.StepDispatch, caller.StepFirstByte,
		caller.StepMidStream, caller.StepEnd, caller.StepSettle,
	} {
		columns = append(columns, Column{Completion, string(step)})
	}
	for _, step := range []caller.Step{
		caller.StepIdentify, caller.StepClaim, caller.StepChoose, caller.StepDispatch, caller.StepFirstByte, caller.StepEnd,
	} {
		columns = append(columns, Column{Order, string(step)})
	}
	for _, step := range []instance.Step{
		instance.StepPropose, instance.StepReplicate, instance.StepCommit, instance.StepDistribute, instance.StepApply,
	} {
		columns = append(columns, Column{Change, string(step)})
	}
	return columns
}

// Outcome is what the caller or operator of a probe sees in the end.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"             // whole and right
	NotRun   Outcome = "refused, not run"     // and truly so
	Unknown  Outcome = "told that it is open" // an error that makes no claim
)

// Fault is a row of the matrix.
type Fault struct {
	Name     string
	Prepare  func(h *Harness)    // before the probe; nil for nothing
	Strike   func(h *Harness)    // at the step; must not block
	Heal     func(h *Harness)    // after the probe
	Allowed  map[Probe][]Outcome // besides Answered
	Operator []event.ID          // what the operators' logs may show
	Must     bool                // and do show, in a cell of a completion that has reached the fault
}

// Cell is one fault, or a pair, at one step.
type Cell struct {
	Column Column
	Faults []Fault
}

// Result is what a cell showed.
type Result struct {
	Struck     bool // the step was reached
	Outcome    Outcome
	Detail     string
	Recovered  bool   // the same request is answered after the fault has healed
	Recovery   string // why it is not
	Violations []string
	Events     map[event.ID]int
}
