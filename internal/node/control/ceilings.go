package control

import (
	"time"

	"lycheevale/internal/limit/ceiling"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
)

// EndpointTolerance returns the permitted overage of the rates that endpoints name.
func EndpointTolerance() quota.Tolerance { return quota.Tolerance{Request: ceiling.Unit} }

// fillCeilings records the rates that endpoints have named to an entry, and fills in those that others know, with the entry's shares of them.
func (ls *leaderState) fillCeilings(u *report.Update, now time.Time, r report.Entry) {
	ls.ceilings.Merge(now, r.Ceilings)
	// The revision is never 0, which entries send that know no list of this leader.
	if u.CeilingRevision = ls.ceilings.Revision() + 1; r.Term != ls.term || r.CeilingRevision != u.CeilingRevision {
		u.Ceilings = ls.ceilings.List(now)
	}
	grants := ls.endpointPool.Report(now, quota.Report{Entry: r.Name, DataCentre: r.DataCentre, Uses: r.EndpointUses}, ls.ceilings.Limits())
	for endpoint, g := range grants {
		if g.Share > 0 || r.EndpointUses[endpoint].Held > 0 {
			if u.EndpointGrants == nil {
				u.EndpointGrants = map[string]quota.Grant{}
			}
			u.EndpointGrants[endpoint] = g
		}
	}
}

// lender returns the pool that admits the requests of a loan, and the limit of their customer or endpoint; one without a limit has a zero rate.
func (ls *leaderState) lender(l report.LoanRequest) (*quota.Pool, quota.Limit) {
	if l.Endpoint != "" {
		limit, _ := ls.ceilings.Limit(l.Endpoint)
		return ls.endpointPool, limit
	}
	return ls.pool, ls.limits[l.Customer]
}
