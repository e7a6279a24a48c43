package steerer

// Mark is a point in the life of the store. A store that comes back from a copy
// gives revisions out again, in a new era.
type Position struct {
	Era, Revision uint64
}

// Before tells whether the mark is older than another one.
func (m Position) Before(other Position) bool {
	if m.Era != other.Era {
		return m.Era < other.Era
	}
	return m.Revision < other.Revision
}

// mark is the point that somebody names. Who names no era means the one that is
// known here.
func (c *source) mark(era, revision uint64) Position {
	if era == 0 {
		era = c.at.Era
	}
	return Position{era, revision}
}
