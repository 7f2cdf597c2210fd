package budget

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Share is a data centre's part of the weight store.
type Share struct {
	Transfers int     `json:"Transfers"` // loads in transit at once
	Rate      float64 `json:"Rate"`      // loads per second
}

// evenRateShare is the fraction of the total rate that is divided evenly, regardless of the weights.
const evenRateShare = 0.1

// burst returns the bucket's capacity, which lets a data centre use all its transfers at the same time after a pause.
func (s Share) burst() float64 { return float64(max(1, s.Transfers)) }

// Weight is the part of the budget that a data centre should get, for instance its number of endpoints.
type Weight struct {
	DataCentre string
	Weight     float64
}

// Split divides transfers and rate by weight. The result is the same on every instance, so that no data centre has to ask
// another one. Each data centre gets at least one transfer. With more data centres than transfers, the shares therefore
// exceed the total, which slows loads down as Stretch returns; otherwise they are disjoint.
func Split(transfers int, rate float64, weights []Weight) map[string]Share {
	list := slices.Clone(weights)
	slices.SortFunc(list, func(a, b Weight) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	total := 0.0
	for _, w := range list {
		total += max(0, w.Weight)
	}
	shares := map[string]Share{}
	left := transfers - len(list)
	for _, w := range list {
		part := 1 / float64(len(list))
		if total > 0 {
			part = max(0, w.Weight) / total
		}
		more := int(math.Floor(part * float64(max(0, transfers-len(list)))))
		left -= more
		even := evenRateShare / float64(len(list))
		shares[w.DataCentre] = Share{Transfers: 1 + more, Rate: rate * (even + (1-evenRateShare)*part)}
	}
	for i := 0; i < left; i++ { // remainders, one each
		s := shares[list[i%len(list)].DataCentre]
		s.Transfers++
		shares[list[i%len(list)].DataCentre] = s
	}
	return shares
}

// Stretch returns the expected time of a load while the given number is in transit over all endpoints.
func Stretch(inTransit int) time.Duration {
	if inTransit <= StoreTransfers {
		return LoadTime
	}
	return LoadTime * time.Duration(inTransit) / StoreTransfers
}
