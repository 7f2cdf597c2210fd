// Package locality tells how far apart data centres are.
package locality

// Distance between two data centres.
type Distance int

// Distances, nearest first.
const (
	Same Distance = iota
	Near          // another data centre of the same region: a few milliseconds
	Far           // another region, or one that is not known
)

// Regions names the region of each data centre.
type Regions map[string]string

// Distance returns how far apart two data centres are.
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
