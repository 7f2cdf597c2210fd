package revoke

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Set is a set of withdrawn keys to which identifiers are only ever added; it is safe for concurrent use.
type Set struct {
	mu    sync.RWMutex
	ids   map[string]struct{}
	sums  [leafCount]uint64 // combined hashes of the identifiers in each leaf
	group [groupCount]uint64
	leafs [leafCount]map[string]struct{}
}

// Two levels of 64 keep each step of a comparison under 2 KiB, and a leaf at 250 identifiers with a million in the set.
const (
	groupCount   = 64
	leavesInEach = 64
	leafCount    = groupCount * leavesInEach
)

// Digest is equal for equal sets and, with negligible probability of error, different for different ones.
type Digest struct {
	Count uint64 `json:"Count"`
	Sum   uint64 `json:"Sum"`
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{ids: map[string]struct{}{}}
}

// Add adds an identifier and tells whether it is new.
func (s *Set) Add(id string) bool { return len(s.Merge([]string{id})) > 0 }

// Merge adds identifiers and returns those that are new.
func (s *Set) Merge(ids []string) (added []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if _, known := s.ids[id]; known || id == "" {
			continue
		}
		s.ids[id] = struct{}{}
		hash := xxhash.Sum64String(id)
		leaf := hash % leafCount
		s.group[leaf/leavesInEach] -= mix(s.sums[leaf] + leaf)
		s.sums[leaf] ^= mix(hash)
		s.group[leaf/leavesInEach] += mix(s.sums[leaf] + leaf)
		if s.leafs[leaf] == nil {
			s.leafs[leaf] = map[string]struct{}{}
		}
		s.leafs[leaf][id] = struct{}{}
		added = append(added, id)
	}
	return added
}

// mix decouples the sum of a leaf from the bits that choose the leaf (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Has tells whether the identifier was added.
func (s *Set) Has(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.ids[id]
	return ok
}

// Len returns the number of identifiers.
func (s *Set) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.ids)
}

// Digest returns the digest of the whole set.
func (s *Set) Digest() Digest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := Digest{Count: uint64(len(s.ids))}
	for group, sum := range s.group {
		d.Sum += mix(sum + uint64(group))
	}
	return d
}

// groups returns one sum for each group of leaves.
func (s *Set) groups() []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.group[:])
}

// leaves returns the sums of all leaves of the groups.
func (s *Set) leaves(groups []int) (sums []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range groups {
		sums = append(sums, s.sums[g*leavesInEach:(g+1)*leavesInEach]...)
	}
	return sums
}

// in returns the identifiers of the leaves in order.
func (s *Set) in(leaves []int) (ids []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, leaf := range leaves {
		ids = append(ids, slices.Sorted(maps.Keys(s.leafs[leaf]))...)
	}
	return ids
}

// differing returns the positions at which the sums differ.
func differing(a, b []uint64) (at []int) {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			at = append(at, i)
		}
	}
	return at
}
