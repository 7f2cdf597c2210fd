package registry

// allowance is the rate and burst that a data centre may currently be using of a customer's limit.
type allowance struct {
	Rate  float64 `json:"Rate"`
	Burst float64 `json:"Burst"`
}

// shareTolerance absorbs rounding in the sum of shares, relative to the customer's limit.
const shareTolerance = 1e-9

// check validates all changes of a command against the state that would result from them.
func (r *Registry) check(changes []Object) *ChangeError {
	if len(changes) == 0 || len(changes) > maxChanges {
		return reject(CodeInvalid, ID{}, "%d changes, want 1 to %d", len(changes), maxChanges)
	}
	next := make(map[ID]Object, len(changes))
	for _, o := range changes {
		id := ID{o.Kind, o.Name}
		if _, twice := next[id]; twice {
			return reject(CodeInvalid, id, "the object is changed twice")
		}
		if r.tables[o.Kind] == nil {
			return reject(CodeInvalid, id, "unknown kind")
		}
		if err := checkFields(o); err != nil {
			return err
		}
		if err := r.checkTransition(o); err != nil {
			return err
		}
		next[id] = o
	}
	view := view{registry: r, next: next, changes: changes}
	for _, check := range []func([]Object) *ChangeError{
		view.checkReferences, view.checkNames, view.checkRoutes, view.checkShares,
	} {
		if err := check(changes); err != nil {
			return err
		}
	}
	return nil
}

// view is the state of the registry that would result from the changes.
type view struct {
	registry *Registry
	next     map[ID]Object
	changes  []Object // in command order: floating-point sums must not depend on map iteration order
}

func (v view) object(id ID) (Object, bool) {
	if o, changed := v.next[id]; changed {
		return o, !o.Deleted
	}
	return v.registry.object(id)
}

func (v view) checkReferences(changes []Object) *ChangeError {
	delta := map[ID]int{}
	for _, o := range changes {
		id := ID{o.Kind, o.Name}
		if old, existed := v.registry.object(id); existed {
			for _, needed := range references(old) {
				delta[needed]--
			}
		}
		for _, needed := range references(o) {
			delta[needed]++
			if _, exists := v.object(needed); !exists {
				return reject(CodeMissing, id, "%s %q does not exist", needed.Kind, needed.Name)
			}
		}
	}
	for _, o := range changes {
		id := ID{o.Kind, o.Name}
		if n := v.registry.referrers[id] + delta[id]; o.Deleted && n > 0 {
			return reject(CodeReferenced, id, "%d other objects refer to it", n)
		}
	}
	return nil
}

// checkNames rejects an adapter and a model of the same name, because callers name both in the same field.
func (v view) checkNames(changes []Object) *ChangeError {
	other := map[Kind]Kind{KindModel: KindAdapter, KindAdapter: KindModel}
	for _, o := range changes {
		kind, shared := other[o.Kind]
		if !shared || o.Deleted {
			continue
		}
		if _, taken := v.object(ID{kind, o.Name}); taken {
			return reject(CodeInvalid, ID{o.Kind, o.Name}, "the name is taken by an object of kind %s", kind)
		}
	}
	return nil
}

// checkRoutes rejects a route that another plain service already has.
func (v view) checkRoutes(changes []Object) *ChangeError {
	taken := map[string]string{}
	for _, o := range changes {
		if o.Service == nil {
			continue
		}
		for _, route := range o.Service.Routes {
			key := route.Method + " " + route.Path
			owner, claimed := taken[key]
			if !claimed {
				owner, claimed = v.registry.routes[key]
				_, changes := v.next[ID{KindService, owner}]
				claimed = claimed && !changes
			}
			if claimed {
				return reject(CodeInvalid, ID{o.Kind, o.Name}, "route %s is taken by service %q", key, owner)
			}
			taken[key] = o.Name
		}
	}
	return nil
}

// checkShares keeps the sum of all allowances within each customer's limit. The limit itself may be lowered, removed or
// deleted at any time; while the sum exceeds it, shares may only shrink.
func (v view) checkShares(changes []Object) *ChangeError {
	customers := map[string]bool{}
	for _, o := range changes {
		switch {
		case o.Share != nil:
			customers[o.Share.Customer] = true
			_, known := v.object(ID{KindCustomer, o.Share.Customer})
			if _, existed := v.registry.object(ID{KindShare, o.Name}); !known && !existed {
				return reject(CodeMissing, ID{o.Kind, o.Name}, "%s %q does not exist", KindCustomer, o.Share.Customer)
			}
		case o.Kind == KindShare && v.registry.allowances[o.Name] != allowance{}:
			return reject(CodeOverShare, ID{o.Kind, o.Name}, "reduce the share to zero and confirm it first")
		}
	}
	for _, o := range changes {
		if o.Share == nil || !customers[o.Share.Customer] {
			continue
		}
		delete(customers, o.Share.Customer)
		if err := v.checkCustomerShares(o.Share.Customer, ID{o.Kind, o.Name}); err != nil {
			return err
		}
	}
	return nil
}

func (v view) checkCustomerShares(name string, cause ID) *ChangeError {
	var sum allowance
	var moreRate, moreBurst bool
	for _, o := range v.changes {
		if o.Share != nil && o.Share.Customer == name {
			h, old := v.registry.allowanceAfter(o), v.registry.allowances[o.Name]
			sum.Rate, sum.Burst = sum.Rate+h.Rate, sum.Burst+h.Burst
			moreRate, moreBurst = moreRate || h.Rate > old.Rate, moreBurst || h.Burst > old.Burst
		}
	}
	v.registry.tables[KindShare].scan(name+"/", "", func(o Object) bool {
		if _, changed := v.next[ID{KindShare, o.Name}]; !changed {
			h := v.registry.allowances[o.Name]
			sum.Rate, sum.Burst = sum.Rate+h.Rate, sum.Burst+h.Burst
		}
		return true
	})
	limit := Customer{} // a customer that is deleted or has no limit gets no shares
	if customer, ok := v.object(ID{KindCustomer, name}); ok {
		limit = *customer.Customer
	}
	overRate, overBurst := sum.Rate > limit.Rate*(1+shareTolerance), sum.Burst > limit.Burst*(1+shareTolerance)
	if overRate && moreRate || overBurst && moreBurst {
		return reject(CodeOverShare, cause, "shares in use of rate %g and burst %g exceed rate %g and burst %g",
			sum.Rate, sum.Burst, limit.Rate, limit.Burst)
	}
	return nil
}

// allowanceAfter returns what the data centre may be using once the share is written: a decrease counts only when confirmed.
func (r *Registry) allowanceAfter(o Object) allowance {
	next := allowance{o.Share.Rate, o.Share.Burst}
	if o.Share.Confirmed || !r.options.Rules.HoldDecreases {
		return next
	}
	old := r.allowances[o.Name]
	return allowance{max(old.Rate, next.Rate), max(old.Burst, next.Burst)}
}

func (r *Registry) updateAllowance(o Object) {
	if o.Deleted {
		delete(r.allowances, o.Name)
		return
	}
	r.allowances[o.Name] = r.allowanceAfter(o)
}
