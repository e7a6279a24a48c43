package router

// Table is an immutable snapshot of where requests can go. Its counters go on
// in the table that is built after it.
type Table struct {
	Version  uint64
	Self     string
	Region   string
	Domain   string
	Services map[string]*Service

	counters counters
}

// Free returns the number of free slots of a service at this instance, which
// other instances take as credits.
func (t *Table) Free(service string, now int64) int {
	s := t.Services[service]
	if s == nil {
		return 0
	}
	free := 0
	for i := range s.Targets {
		free += s.Targets[i].Gate.Free(now)
	}
	return free
}
