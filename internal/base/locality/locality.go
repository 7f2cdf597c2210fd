// Package locality classifies the distance between data centres.
package locality

// Distance is the class of distance between two data centres.
type Distance int

// Distances, nearest first.
const (
	Same Distance = iota
	Near          // another data centre of the same region: a few milliseconds
	Far           // another region, or an unknown one
)

// Regions names the region of each data centre.
type Regions map[string]string

// Distance returns the distance between two data centres.
func (r Regions) Distance(one, other string) Distance {
	region := r[one]
	switch {
	case one == other:
		return Same
	case region != "" && region == r[other]:
		return Near
	}
	return Far
}
