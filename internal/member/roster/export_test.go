package roster

// Ended returns the number of ended incarnations that are remembered.
func (r *Roster) Ended() int { return len(r.ended) }
