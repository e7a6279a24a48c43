package steerer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/allocator"
)

// The allowances of workspaces hold for all instances together. In each region one instance,
// the collector, receives the reports of the others, exchanges sums with the collectors of
// the other regions, and tells the totals to its region.

// UsageKind says what a UsageReport holds.
type UsageKind string

// Kinds of usage reports.
const (
	// MemberUsage has the reports of the sender, for the collector of its region.
	MemberUsage UsageKind = "m"
	// RegionUsage has the sums of the sender's region, for other collectors.
	RegionUsage UsageKind = "r"
	// TotalUsage has the totals of all regions, for the collector's region.
	TotalUsage UsageKind = "t"
)

// UsageReport is the use of the workspaces' allowances. Short JSON names keep beacons small.
type UsageReport struct {
	Kind UsageKind `json:"k"`
	// Tag identifies the list of workspaces that the data is about.
	Tag uint64 `json:"t"`
	// Start identifies the run of the sender, whose counts begin with 0.
	Start uint64 `json:"s,omitempty"`
	// First is the index of the first workspace in Data.
	First int `json:"f,omitempty"`
	// Data is encoded by allocator.AppendReports or allocator.AppendTotals.
	Data []byte `json:"d"`
}

// maxUsagePerBeacon bounds the workspaces in one beacon, so that it fits into a datagram.
const maxUsagePerBeacon = 80

// UsageSampled carries this instance's use of the allowances, in the order of the
// configuration. Start identifies the run of the process.
type UsageSampled struct {
	Now     int64
	Start   uint64
	Reports []allocator.Report
}

func (UsageSampled) isEvent() {}

// ApplyTotals passes the use of the allowances by all instances on to the data plane, for the
// workspaces from First on. Instances is the number of instances that share them.
type ApplyTotals struct {
	First     int
	Totals    []allocator.Total
	Instances int
	At        int64
}

func (ApplyTotals) isEffect() {}

// usageState is what is known of the use of the allowances.
type usageState struct {
	// bounds and tag are those of the workspaces in force.
	bounds []allocator.Named
	tag    uint64
	// ledger is kept while this instance is the collector, nil otherwise. ledgerStart
	// identifies it.
	ledger      *allocator.Ledger
	ledgerStart uint64
	// totals are the latest ones.
	totals []allocator.Total
	// senders has the collector of each other region whose sums are used.
	senders map[string]usageSender
}

type usageSender struct {
	name    string
	heardAt int64
}

// configureUsage applies the workspaces of a new configuration.
func (s *State) configureUsage() {
	u := &s.usage
	hash := xxhash.New()
	bounds := make([]allocator.Named, 0, len(s.config.Workspaces))
	limited := false
	for i := range s.config.Workspaces {
		w := &s.config.Workspaces[i]
		// Write and WriteString of a Digest return no errors.
		_, _ = hash.WriteString(w.Name)
		_, _ = hash.WriteString("\x00")
		b := s.Bounds.Allowance(w).Bound()
		limited = limited || b.Limited()
		bounds = append(bounds, allocator.Named{Name: w.Name, Bound: b})
	}
	if !limited {
		s.usage = usageState{}
		return
	}
	u.bounds = bounds
	if tag := hash.Sum64(); tag != u.tag {
		u.tag, u.totals = tag, nil
		if u.senders == nil {
			u.senders = map[string]usageSender{}
		}
	}
	if u.ledger != nil {
		u.ledger.Configure(bounds)
	}
}

// collectorRank orders the instances in the same way everywhere.
func collectorRank(name string) uint64 { return xxhash.Sum64String("collector " + name) }

// collector returns the collector of a region as far as this instance knows: the instance of
// the highest rank that is heard from.
func (s *State) collector(region string, now int64) *peer {
	var best *peer
	own := region == s.Self.Region
	for _, p := range s.peers {
		if p.Region == region && p.heardRecently(now) && (best == nil || collectorRank(p.Name) > collectorRank(best.Name)) {
			best = p
		}
	}
	if own && (best == nil || collectorRank(s.Self.Name) > collectorRank(best.Name)) {
		return nil
	}
	return best
}

// sampleUsage reports the use by this instance to the collector, or tells the totals if it
// is the collector itself.
func (s *State) sampleUsage(e UsageSampled) []Effect {
	u := &s.usage
	if len(u.bounds) == 0 || len(e.Reports) != len(u.bounds) {
		return nil
	}
	if c := s.collector(s.Self.Region, e.Now); c != nil {
		u.ledger = nil
		return s.usageBeacons([]string{c.Beacon}, UsageReport{Kind: MemberUsage, Start: e.Start}, func(from, to int) []byte {
			return allocator.AppendReports(nil, e.Reports[from:to])
		})
	}
	if u.ledger == nil {
		u.ledger, u.ledgerStart = &allocator.Ledger{}, e.Start^uint64(e.Now)
		u.ledger.Configure(u.bounds)
		u.ledger.Start(u.totals, e.Now)
	}
	u.ledger.Observe(allocator.Observation{Source: s.Self.Name, Member: true, Start: e.Start, Reports: e.Reports}, e.Now)
	u.totals = u.ledger.Totals(e.Now)
	var members, collectors []string
	for _, p := range s.peers {
		switch {
		case p.Region == s.Self.Region:
			members = append(members, p.Beacon)
		case s.collector(p.Region, e.Now) == p:
			collectors = append(collectors, p.Beacon)
		}
	}
	slices.Sort(members)
	slices.Sort(collectors)
	sums := u.ledger.Members()
	out := s.usageBeacons(members, UsageReport{Kind: TotalUsage}, func(from, to int) []byte {
		return allocator.AppendTotals(nil, u.totals[from:to])
	})
	out = append(out, s.usageBeacons(collectors, UsageReport{Kind: RegionUsage, Start: u.ledgerStart}, func(from, to int) []byte {
		return allocator.AppendReports(nil, sums[from:to])
	})...)
	return append(out, ApplyTotals{Totals: u.totals, Instances: s.sharers(), At: e.Now})
}

// sharers returns the number of instances that share the allowances, reached or not.
func (s *State) sharers() int { return len(s.peers) + 1 }

// usageBeacons returns beacons with a usage report in as many parts as necessary.
func (s *State) usageBeacons(to []string, r UsageReport, encode func(from, to int) []byte) (out []Effect) {
	if len(to) == 0 {
		return nil
	}
	r.Tag = s.usage.tag
	for first := 0; first < len(s.usage.bounds); first += maxUsagePerBeacon {
		part := r
		part.First, part.Data = first, encode(first, min(len(s.usage.bounds), first+maxUsagePerBeacon))
		out = append(out, SendBeacon{To: to, Beacon: s.newBeacon(Beacon{Usage: &part})})
	}
	return out
}

// applyUsage applies the usage report of another instance. One about other workspaces, or a
// malformed one, is ignored.
func (s *State) applyUsage(e BeaconReceived, p *peer) []Effect {
	u, r := &s.usage, e.Beacon.Usage
	if r == nil || len(u.bounds) == 0 || r.Tag != u.tag || r.First < 0 {
		return nil
	}
	if r.Kind == TotalUsage {
		return s.applyTotals(e, p)
	}
	reports, err := allocator.ParseReports(r.Data)
	if err != nil || u.ledger == nil || r.First+len(reports) > len(u.bounds) {
		return nil
	}
	o := allocator.Observation{Source: p.Name, Member: r.Kind == MemberUsage, Start: r.Start, First: r.First, Reports: reports}
	if r.Kind == RegionUsage {
		if !s.acceptSender(p, e.Now) {
			return nil
		}
		o.Source = "region " + p.Region + " " + p.Name
	}
	u.ledger.Observe(o, e.Now)
	return nil
}

// acceptSender reports whether the sums of another region are used if they come from the
// given collector. While it changes, two instances may send them.
func (s *State) acceptSender(p *peer, now int64) bool {
	u := &s.usage
	current, known := u.senders[p.Region]
	if known && current.name != p.Name && now-current.heardAt < int64(localBeaconTimeout) && collectorRank(current.name) > collectorRank(p.Name) {
		return false
	}
	if known && current.name != p.Name {
		u.ledger.Forget("region " + p.Region + " " + current.name)
	}
	u.senders[p.Region] = usageSender{p.Name, now}
	return true
}

// applyTotals applies the totals that the collector of this instance's region has told.
func (s *State) applyTotals(e BeaconReceived, p *peer) []Effect {
	u, r := &s.usage, e.Beacon.Usage
	totals, err := allocator.ParseTotals(r.Data)
	if err != nil || r.First+len(totals) > len(u.bounds) || s.collector(s.Self.Region, e.Now) != p {
		return nil
	}
	if len(u.totals) != len(u.bounds) {
		u.totals = make([]allocator.Total, len(u.bounds))
	}
	copy(u.totals[r.First:], totals)
	return []Effect{ApplyTotals{First: r.First, Totals: totals, Instances: s.sharers(), At: e.Now}}
}
