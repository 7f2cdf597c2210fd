package revoke

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Set is a grow-only set of the identifiers of withdrawn keys, with a two-level hash tree. It is safe for concurrent use.
type Set struct {
	mu        sync.RWMutex
	ids       map[string]struct{}
	leafSums  [leafCount]uint64 // XOR of the hashes of the identifiers in each leaf
	groupSums [groupCount]uint64
	leafIDs   [leafCount]map[string]struct{}
}

// Two levels of 64 keep each step of a comparison below 2 KiB; with a million identifiers in the set, a leaf holds 250.
const (
	groupCount     = 64
	leavesPerGroup = 64
	leafCount      = groupCount * leavesPerGroup
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

// Add adds an identifier and reports whether it is new.
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
		s.groupSums[leaf/leavesPerGroup] -= mix(s.leafSums[leaf] + leaf)
		s.leafSums[leaf] ^= mix(hash)
		s.groupSums[leaf/leavesPerGroup] += mix(s.leafSums[leaf] + leaf)
		if s.leafIDs[leaf] == nil {
			s.leafIDs[leaf] = map[string]struct{}{}
		}
		s.leafIDs[leaf][id] = struct{}{}
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

// Has reports whether the set contains the identifier.
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
	for group, sum := range s.groupSums {
		d.Sum += mix(sum + uint64(group))
	}
	return d
}

// sumsOfGroups returns the sum of each group of leaves.
func (s *Set) sumsOfGroups() []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.groupSums[:])
}

// sumsOfLeaves returns the sums of all leaves in the given groups.
func (s *Set) sumsOfLeaves(groups []int) (sums []uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range groups {
		sums = append(sums, s.leafSums[g*leavesPerGroup:(g+1)*leavesPerGroup]...)
	}
	return sums
}

// idsInLeaves returns the identifiers in the given leaves, sorted within each leaf.
func (s *Set) idsInLeaves(leaves []int) (ids []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, leaf := range leaves {
		ids = append(ids, slices.Sorted(maps.Keys(s.leafIDs[leaf]))...)
	}
	return ids
}

// differingIndexes returns the indexes at which the sums differ.
func differingIndexes(a, b []uint64) (at []int) {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			at = append(at, i)
		}
	}
	return at
}
