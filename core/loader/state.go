package loader

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Keys returns the keys of all objects, sorted.
func (s State) Keys() (keys []string) {
	for kind, t := range objectKinds {
		t.forEach(&s, func(name string, _ object) { keys = append(keys, kind+"/"+name) })
	}
	slices.Sort(keys)
	return keys
}

// Object returns the object at key, such as a Region or an Upstream, and
// whether it exists.
func (s State) Object(key string) (any, bool) {
	kind, name, ok := SplitKey(key)
	if !ok {
		return nil, false
	}
	return objectKinds[kind].get(&s, name)
}

// ChangedSince returns the keys of the objects that were changed after version
// since, sorted.
func (s State) ChangedSince(since uint64) (keys []string) {
	for key, version := range s.ModifiedVersions {
		if version > since {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// RegionOf returns the region of a failure domain, or "" if the domain is
// unknown.
func (s State) RegionOf(domain string) string { return s.Domains[domain].Region }

// DomainsInRegion returns the names of the region's failure domains, sorted.
func (s State) DomainsInRegion(region string) (names []string) {
	for name, d := range s.Domains {
		if d.Region == region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// UpstreamsInDomain returns the names of the failure domain's upstreams, sorted.
func (s State) UpstreamsInDomain(domain string) (names []string) {
	for name, u := range s.Upstreams {
		if u.Domain == domain {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Drained reports whether a drain of the upstream, of its domain or of its
// region is active at now.
func (s State) Drained(upstream string, now time.Time) bool {
	u := s.Upstreams[upstream]
	return s.drained(KindUpstream, upstream, now) || s.DomainDrained(u.Domain, now)
}

// DomainDrained reports whether a drain of the failure domain or of its region
// is active at now.
func (s State) DomainDrained(domain string, now time.Time) bool {
	return s.drained(KindDomain, domain, now) || s.drained(KindRegion, s.RegionOf(domain), now)
}

func (s State) drained(kind, name string, now time.Time) bool {
	d, ok := s.Drains[kind+"/"+name]
	return ok && d.ActiveAt(now)
}

// ActiveAt reports whether the drain has not expired at now.
func (d Drain) ActiveAt(now time.Time) bool { return d.Until.IsZero() || now.Before(d.Until) }

// Policy returns the deployment's policy, which is zero when none is set.
func (s State) Policy() Policy { return s.Policies[PolicyMain] }

// EncodeState returns the state as JSON, for snapshots.
func EncodeState(s State) ([]byte, error) { return json.Marshal(s) }

// DecodeState reads the result of EncodeState.
func DecodeState(data []byte) (s State, err error) {
	defer func() {
		if err != nil {
			s, err = State{}, fmt.Errorf("snapshot: %w", err)
		}
	}()
	if err := decodeStrict(data, &s); err != nil {
		return s, err
	}
	return s, s.Check().err()
}

// RestoreObjects sets the objects at keys to their values in ticket t, for a
// state that was stored without them. It replaces maps, which may be shared,
// instead of changing them.
func (s *State) RestoreObjects(t Ticket, keys []string) error {
	for _, key := range keys {
		kind, name, ok := SplitKey(key)
		raw, found := t.Objects[key]
		if !ok || !found {
			return fmt.Errorf("ticket %d has no %s", t.Number, key)
		}
		if isNull(raw) {
			continue
		}
		objectKinds[kind].clone(s)
		if err := objectKinds[kind].put(s, name, raw); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

// EncodeTicket returns the ticket as JSON.
func EncodeTicket(t Ticket) ([]byte, error) { return json.Marshal(t) }

// DecodeTicket decodes the stored value of ticket number. For an invalid value
// it returns a ticket without objects, which Apply rejects, so that every
// instance skips it in the same way.
func DecodeTicket(number uint64, data []byte) Ticket {
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil || t.Number != number {
		return Ticket{Number: number, Base: number - 1, Reason: "the stored value can't be read"}
	}
	return t
}

// TicketKey returns the platform key of ticket number, such as ticket/00000017.
func TicketKey(number uint64) string { return fmt.Sprintf("%s%08d", TicketPrefix, number) }

// TicketNumber returns the number in a platform key.
func TicketNumber(key string) (number uint64, ok bool) {
	digits, ok := strings.CutPrefix(key, TicketPrefix)
	if !ok {
		return 0, false
	}
	if _, err := fmt.Sscanf(digits, "%d", &number); err != nil {
		return 0, false
	}
	return number, TicketKey(number) == key
}

// Keys of the configuration in the platform.
const (
	TicketPrefix = "ticket/"
	SnapshotKey  = "snapshot"
)
