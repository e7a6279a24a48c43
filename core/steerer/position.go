package steerer

// Position is a point in the store's history. A store restored from a backup
// starts a new era, in which it issues the same revision numbers again.
type Position struct {
	Era, Revision uint64
}

// Before reports whether the position is older than another one.
func (m Position) Before(other Position) bool {
	if m.Era != other.Era {
		return m.Era < other.Era
	}
	return m.Revision < other.Revision
}

// position returns the position for an era and a revision. An era of 0 stands
// for the era known here.
func (ss *syncState) position(era, revision uint64) Position {
	if era == 0 {
		era = ss.synced.Era
	}
	return Position{era, revision}
}
