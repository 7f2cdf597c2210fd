package view

import (
	"slices"
	"time"

	"lycheevale/internal/member/report"
)

// Software returns the software versions that may have begun streams of a service, none if the leader does not state them, and whether the list is
// current: no endpoint with another version gets work before the list is older.
func (v *View) Software(service string, now time.Time) (versions []string, current bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.software[service], now.Sub(v.updatedAt) < report.VersionsLease
}

// Listing states how far the list of endpoints may be relied on for the software version of an endpoint.
type Listing int

const (
	// Outdated is a list that does not name the incarnation, or is so old that another one may serve.
	Outdated Listing = iota
	// Mixed is a current list of a service with several versions: the endpoint may have restarted with another one of them since.
	Mixed
	// Sole is a current list of a service with one version: no endpoint serves with another one before the list is older.
	Sole
)

// Listing returns the listed description of an incarnation of an endpoint, and how far it may be relied on.
func (v *View) Listing(now time.Time, e report.Endpoint) (listed report.Endpoint, l Listing) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	listed, known := v.endpoints[e.ID]
	versions := v.software[e.Service]
	switch {
	case len(v.software) == 0, known && len(versions) == 0:
		return e, Sole // the leader does not follow versions
	case !known || listed.Born != e.Born:
		return e, Outdated
	case now.Sub(v.updatedAt) >= report.VersionsLease:
		return listed, Outdated
	case len(versions) == 1:
		return listed, Sole
	}
	return listed, Mixed
}

// MixedServices returns the services with several software versions that may have begun streams, sorted.
func (v *View) MixedServices() (list []string) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for service, versions := range v.software {
		if len(versions) > 1 {
			list = append(list, service)
		}
	}
	slices.Sort(list)
	return list
}
