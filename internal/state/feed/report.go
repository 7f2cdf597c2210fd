package feed

import (
	"cmp"
	"slices"
)

// Lag names an instance that has not applied the revision of its data centre.
type Lag struct {
	Instance string `json:"Instance"`
	Revision uint64 `json:"Revision"`
	Lost     bool   `json:"Lost,omitempty"` // its subscription expired without contact
}

// Reach is the progress of a data centre: all its instances except those in Behind have applied Revision.
type Reach struct {
	Instances int    `json:"Instances"`
	Revision  uint64 `json:"Revision"`
	Behind    []Lag  `json:"Behind,omitempty"`
}

// Report maps the name of each data centre to its reach. It lists only lagging instances, so that its size does not
// grow with the number of instances.
type Report map[string]Reach

// add combines the reach of another part of a data centre with the one already present.
func (r Report) add(dataCentre string, other Reach) {
	own, known := r[dataCentre]
	if !known {
		r[dataCentre] = other
		return
	}
	joined := Reach{Instances: own.Instances + other.Instances, Revision: min(own.Revision, other.Revision)}
	for _, lag := range slices.Concat(own.Behind, other.Behind) {
		if lag.Lost || lag.Revision < joined.Revision {
			joined.Behind = append(joined.Behind, lag)
		}
	}
	r[dataCentre] = joined
}

// merge keeps the more complete reach of each data centre; both reports may contain one, because relays change their
// source.
func (r Report) merge(other Report) {
	for name, reach := range other {
		own, known := r[name]
		if !known || reach.Instances > own.Instances ||
			(reach.Instances == own.Instances && reach.Revision > own.Revision) {
			r[name] = reach
		}
	}
}

// Force lists where a revision is in effect; it is part of the reply to a change.
type Force struct {
	Revision   uint64   `json:"Revision"`
	InForce    []string `json:"InForce"`              // data centres in which all instances except NotReached have applied it
	Pending    []string `json:"Pending,omitempty"`    // data centres that have not confirmed it
	NotReached []string `json:"NotReached,omitempty"` // instances that have not confirmed it
}

// Force returns where the revision is in effect; unreached lists further instances that have not confirmed it.
func (r Report) Force(revision uint64, unreached ...string) Force {
	f := Force{Revision: revision, NotReached: unreached}
	for name, reach := range r {
		if reach.Revision >= revision {
			f.InForce = append(f.InForce, name)
		} else {
			f.Pending = append(f.Pending, name)
		}
		for _, lag := range reach.Behind {
			if lag.Revision < revision {
				f.NotReached = append(f.NotReached, lag.Instance)
			}
		}
	}
	slices.Sort(f.InForce)
	slices.Sort(f.Pending)
	slices.Sort(f.NotReached)
	f.NotReached = slices.Compact(f.NotReached)
	return f
}

// Complete reports whether all data centres and instances have confirmed the revision.
func (f Force) Complete() bool { return len(f.Pending) == 0 && len(f.NotReached) == 0 }

func sortLags(lags []Lag) {
	slices.SortFunc(lags, func(a, b Lag) int { return cmp.Compare(a.Instance, b.Instance) })
}
