package steerer

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

var regions = map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}

func self() Instance {
	return Instance{Name: "self", Front: "10.0.0.1:80", Beacon: "10.0.0.1:70", Domain: "a-1", Region: "a"}
}

func peerInstance(name, domain string) Instance {
	return Instance{Name: name, Front: name + ":80", Beacon: name + ":70", Domain: domain, Region: regions[domain]}
}

func configObject(version uint64) Object {
	return Object{Name: "main", Config: &Config{Version: version}}
}

func upstreamObject(id string, edit ...func(*Upstream)) Object {
	u := &Upstream{ID: id, Born: 1, Service: "s", Address: id + ":90", Domain: "a-1", Slots: 4}
	for _, f := range edit {
		f(u)
	}
	return Object{Name: id, Upstream: u}
}

func deletedObject(name string) Object { return Object{Name: name, Deleted: true} }

func draining(u *Upstream)                   { u.Draining = true }
func restarted(u *Upstream)                  { u.Born = 2 }
func withSequence(n uint64) func(*Upstream)  { return func(u *Upstream) { u.Sequence = n } }
func inDomain(domain string) func(*Upstream) { return func(u *Upstream) { u.Domain = domain } }

func seconds(n float64) int64 { return int64(n * float64(time.Second)) }

// startEvents returns the events that make the instance ready.
func startEvents(upstreams ...Object) []Event {
	return []Event{
		Listed{Now: seconds(0.1), Kind: Configs, Objects: []Object{configObject(5)}},
		Listed{Now: seconds(0.1), Kind: Upstreams, Objects: upstreams},
		Listed{Now: seconds(0.1), Kind: Evacuations},
		Listed{Now: seconds(0.1), Kind: Instances, Objects: []Object{{Name: "far", Instance: ptr(peerInstance("far", "b-1"))}, {Name: "near", Instance: ptr(peerInstance("near", "a-2"))}}},
	}
}

func ptr[T any](v T) *T { return &v }

// limitedAt is the event that this instance has observed the limit of u1 at the given
// second.
func limitedAt(at float64, perSecond float64) UpstreamLimited {
	return UpstreamLimited{Now: seconds(at), Incarnation: Incarnation{"u1", 1}, State: RateLimitState{InForce: perSecond > 0, PerSecond: perSecond}, At: seconds(at)}
}

// scenarios are event sequences by name. The golden files have their effects.
func scenarios() map[string][]Event {
	return map[string][]Event{
		"limit-is-told-as-of-its-last-observation": append(startEvents(upstreamObject("u1")),
			Tick{Now: seconds(1)},
			limitedAt(1.1, 4.2),
			Tick{Now: seconds(1.2)},
			limitedAt(2.5, 4.2),
			Tick{Now: seconds(3)},
			UpstreamLimited{Now: seconds(3.1), Incarnation: Incarnation{"u1", 1}, At: seconds(2)},
			Tick{Now: seconds(3.5)},
			Tick{Now: seconds(32)},
			Tick{Now: seconds(33)},
		),
		"limit-and-its-end-are-told-for-half-a-minute": append(startEvents(upstreamObject("u1")),
			limitedAt(1.1, 4.2),
			Tick{Now: seconds(1.2)},
			limitedAt(2, 0),
			Tick{Now: seconds(2.1)},
			Tick{Now: seconds(20)},
			Tick{Now: seconds(32)},
		),
		"limit-of-a-new-incarnation-replaces-the-old-one": append(startEvents(upstreamObject("u1")),
			UpstreamLimited{Now: seconds(1), Incarnation: Incarnation{"u1", 2}, State: RateLimitState{InForce: true, PerSecond: 1}, At: seconds(1)},
			UpstreamLimited{Now: seconds(1.1), Incarnation: Incarnation{"u1", 1}, State: RateLimitState{InForce: true, PerSecond: 9}, At: seconds(1.1)},
			Tick{Now: seconds(1.2)},
		),
		"limits-of-other-instances-are-applied": append(startEvents(upstreamObject("u1")),
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "near", Ready: true, RateLimits: []RateLimitReport{
				{Incarnation{"u1", 1}, RateLimitState{InForce: true, PerSecond: 4.2}, 300},
				{Incarnation{"u2", 1}, RateLimitState{}, 20},
				{Incarnation{"u3", 1}, RateLimitState{InForce: true, PerSecond: -1}, 20},
				{Incarnation{"u4", 1}, RateLimitState{InForce: true, PerSecond: 1}, -5},
				{Incarnation{"u5", 1}, RateLimitState{InForce: true, PerSecond: 1}, 1e9},
			}}},
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "stranger", RateLimits: []RateLimitReport{{Incarnation{"u1", 1}, RateLimitState{}, 0}}}},
			Tick{Now: seconds(1.1)},
		),
		"versions-never-step-back": append(startEvents(),
			Changed{Now: seconds(1), Kind: Configs, Objects: []Object{configObject(9)}},
			Changed{Now: seconds(2), Kind: Configs, Objects: []Object{configObject(10)}},
			Changed{Now: seconds(3), Kind: Configs, Objects: []Object{configObject(9), deletedObject("main")}},
			Listed{Now: seconds(4), Kind: Configs, Objects: []Object{configObject(7)}},
		),
		"stale-list-is-confirmed-before-use": {
			Listed{Now: seconds(0.1), Kind: Configs, Objects: []Object{configObject(5)}, Revision: 50},
			Listed{Now: seconds(0.1), Kind: Evacuations, Revision: 50},
			Listed{Now: seconds(0.1), Kind: Upstreams, Objects: []Object{upstreamObject("u1"), upstreamObject("u2")}, Revision: 40, Stale: true},
			Tick{Now: seconds(0.2)},
			Changed{Now: seconds(0.3), Kind: Upstreams, Objects: []Object{deletedObject("u1")}, Revision: 50},
			Tick{Now: seconds(0.4)},
		},
		"stale-list-is-used-if-nobody-confirms-it": {
			Listed{Now: seconds(0.1), Kind: Configs, Objects: []Object{configObject(5)}, Revision: 50},
			Listed{Now: seconds(0.1), Kind: Evacuations, Revision: 50},
			Listed{Now: seconds(0.1), Kind: Upstreams, Objects: []Object{upstreamObject("u1")}, Revision: 40, Stale: true},
			StoreUnavailable{Now: seconds(0.5), Kind: Upstreams, Cause: "no answer"},
			Tick{Now: seconds(1)},
			Tick{Now: seconds(1.1)},
		},
		"paused-process-asks-before-it-acts": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Tick{Now: seconds(1)},
			Resumed{Now: seconds(6)},
			Changed{Now: seconds(6.1), AskedAt: seconds(6), Kind: Upstreams, Objects: []Object{deletedObject("u1")}},
			Changed{Now: seconds(6.1), AskedAt: seconds(6), Kind: Configs},
			Changed{Now: seconds(6.2), AskedAt: seconds(6), Kind: Evacuations},
			Tick{Now: seconds(6.3)},
		),
		"draining-upstream-gets-nothing-new": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Changed{Now: seconds(1), Kind: Upstreams, Objects: []Object{upstreamObject("u1", withSequence(2), draining)}},
			Changed{Now: seconds(2), Kind: Upstreams, Objects: []Object{deletedObject("u1")}},
		),
		"late-registration-does-not-revive": append(startEvents(upstreamObject("u1")),
			Changed{Now: seconds(1), Kind: Upstreams, Objects: []Object{upstreamObject("u1", withSequence(8), draining)}},
			Changed{Now: seconds(2), Kind: Upstreams, Objects: []Object{upstreamObject("u1", withSequence(7))}},
			Changed{Now: seconds(3), Kind: Upstreams, Objects: []Object{upstreamObject("u1", restarted)}},
			Changed{Now: seconds(4), Kind: Upstreams, Objects: []Object{upstreamObject("u1", withSequence(9))}},
		),
		"unreadable-registration-names-no-upstream": append(startEvents(upstreamObject("u1"), upstreamObject("u2")),
			Changed{Now: seconds(1), Kind: Upstreams, Objects: []Object{{Name: "u1"}}},
		),
		"expired-while-the-store-was-away": append(startEvents(upstreamObject("u1"), upstreamObject("u2"), upstreamObject("u3", draining)),
			StoreUnavailable{Now: seconds(1), Kind: Upstreams, Cause: "no answer in time"},
			StoreUnavailable{Now: seconds(2), Kind: Upstreams, Cause: "no answer in time"},
			Changed{Now: seconds(9), Kind: Upstreams, Objects: []Object{deletedObject("u1"), deletedObject("u2"), deletedObject("u3")}},
			Changed{Now: seconds(10), Kind: Upstreams, Objects: []Object{upstreamObject("u2")}},
			Tick{Now: seconds(10.8)},
			Tick{Now: seconds(11)},
			Changed{Now: seconds(15), Kind: Upstreams, Objects: []Object{deletedObject("u2")}},
		),
		"evacuated-domain-gets-nothing-and-comes-back-cold": append(startEvents(upstreamObject("u1"), upstreamObject("u2", inDomain("b-1"))),
			Changed{Now: seconds(1), Kind: Evacuations, Objects: []Object{{Name: "a-1"}}},
			Changed{Now: seconds(5), Kind: Evacuations, Objects: []Object{deletedObject("a-1")}},
		),
		"start-while-the-store-is-away": {
			Tick{Now: seconds(0.1)},
			BeaconReceived{Now: seconds(0.2), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
			BeaconReceived{Now: seconds(0.4), Beacon: Beacon{Name: "far", Ready: false}, From: "far:70"},
			BeaconReceived{Now: seconds(0.7), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
			BeaconReceived{Now: seconds(0.9), Beacon: Beacon{Name: "far", Ready: true}, From: "far:70"},
			Fetched{Now: seconds(1), Kind: Configs, From: "near", Revision: 30, Whole: true, Objects: []Object{configObject(5)}},
			Fetched{Now: seconds(1), Kind: Instances, From: "near"},
			Fetched{Now: seconds(1), Kind: Evacuations, From: "near", Revision: 30, Whole: true},
			BeaconReceived{Now: seconds(1.2), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
			Fetched{Now: seconds(1.3), Kind: Instances, From: "near", Revision: 30, Whole: true, Objects: []Object{{Name: "near", Instance: ptr(peerInstance("near", "a-2"))}, {Name: "self", Instance: ptr(self())}}},
			Fetched{Now: seconds(1.3), Kind: Upstreams, From: "near", Revision: 30, Whole: true, Objects: []Object{upstreamObject("u1")}},
			Tick{Now: seconds(1.4)},
			BeaconReceived{Now: seconds(1.7), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
		},
		"start-while-the-store-refuses": {
			Tick{Now: seconds(0.1)},
			StoreUnavailable{Now: seconds(0.15), Kind: Instances, Cause: "status 503"},
			BeaconReceived{Now: seconds(0.2), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
		},
		"instances-by-their-beacons": append(startEvents(),
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "near", Ready: true}},
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "far", Ready: true}},
			BeaconReceived{Now: seconds(1), Beacon: Beacon{Name: "stranger", Ready: true}},
			Tick{Now: seconds(1.2)},
			BeaconReceived{Now: seconds(2), Beacon: Beacon{Name: "far", Ready: true}},
			Tick{Now: seconds(3.5)},
			BeaconReceived{Now: seconds(4), Beacon: Beacon{Name: "far", Ready: false}},
			BeaconReceived{Now: seconds(5), Beacon: Beacon{Name: "near", Ready: true}},
			ShutdownStarted{Now: seconds(5.1)},
		),
		"bounds-change-while-running": append(startEvents(upstreamObject("u1")),
			SettingsChanged{Now: seconds(1), Bounds: Bounds{RetryShare: 0.1, Stop: 4 * time.Second}, Regions: regions},
		),
	}
}

func TestScenarios(t *testing.T) {
	all := scenarios()
	maps.Copy(all, relayScenarios())
	maps.Copy(all, eraScenarios())
	maps.Copy(all, quarantineScenarios())
	maps.Copy(all, coldScenarios())
	maps.Copy(all, pauseScenarios())
	for name, events := range all {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(self(), false)
			var out strings.Builder
			last := Tick{Now: eventTime(events[len(events)-1]) + seconds(0.1)}
			for _, e := range append(events, last) {
				var effects []Effect
				s, effects = Step(s, e)
				fmt.Fprintln(&out, formatEvent(e))
				for _, x := range effects {
					fmt.Fprintln(&out, "   ", formatEffect(x))
				}
			}
			file := filepath.Join("testdata", name+".golden")
			if *update {
				is.NoErr(os.MkdirAll("testdata", 0o755))
				is.NoErr(os.WriteFile(file, []byte(out.String()), 0o644))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(out.String(), string(want))
		})
	}
}

// eventTime returns the time of an event.
func eventTime(e Event) int64 {
	switch e := e.(type) {
	case Listed:
		return e.Now
	case Changed:
		return e.Now
	case Fetched:
		return e.Now
	case ChangesRequested:
		return e.Now
	case BeaconReceived:
		return e.Now
	case Tick:
		return e.Now
	case SettingsChanged:
		return e.Now
	case Resumed:
		return e.Now
	case UpstreamLeaving:
		return e.Now
	case ShutdownStarted:
		return e.Now
	case UpstreamCrashed:
		return e.Now
	case RequestAnswered:
		return e.Now
	case UpstreamCold:
		return e.Now
	}
	return 0
}

func formatEvent(e Event) string {
	switch e := e.(type) {
	case Listed:
		return fmt.Sprintf("%.1f listed %s%s: %s", float64(e.Now)/1e9, e.Kind, formatEra(e.Era), formatObjects(e.Objects))
	case Changed:
		return fmt.Sprintf("%.1f changed %s%s: %s", float64(e.Now)/1e9, e.Kind, formatEra(e.Era), formatObjects(e.Objects))
	case Fetched:
		return fmt.Sprintf("%.1f fetched %s from %s%s, revision %d whole %t: %s", float64(e.Now)/1e9, e.Kind, e.From, formatEra(e.Era), e.Revision, e.Whole, formatObjects(e.Objects))
	case ChangesRequested:
		return fmt.Sprintf("%.1f asked %d for %s%s after %d", float64(e.Now)/1e9, e.RequestID, e.Kind, formatEra(e.Era), e.After)
	case StoreUnavailable:
		return fmt.Sprintf("%.1f lost %s", float64(e.Now)/1e9, e.Kind)
	case BeaconReceived:
		return fmt.Sprintf("%.1f heard %s", float64(e.Now)/1e9, formatBeacon(e.Beacon))
	case Resumed:
		return fmt.Sprintf("%.1f woken", float64(e.Now)/1e9)
	case UpstreamLeaving:
		return fmt.Sprintf("%.1f departed %s born %d", float64(e.Now)/1e9, e.Incarnation.ID, e.Incarnation.Born)
	case UpstreamLimited:
		return fmt.Sprintf("%.1f limited %s born %d %+v at %.1f", float64(e.Now)/1e9, e.Incarnation.ID, e.Incarnation.Born, e.State, float64(e.At)/1e9)
	case UpstreamCrashed:
		return fmt.Sprintf("%.1f crashed %s born %d while it ran %v", float64(e.Now)/1e9, e.Incarnation.ID, e.Incarnation.Born, e.Digest)
	case UpstreamCold:
		return fmt.Sprintf("%.1f cold %s born %d until %.2f", float64(e.Now)/1e9, e.Incarnation.ID, e.Incarnation.Born, float64(e.Until)/1e9)
	case RequestAnswered:
		return fmt.Sprintf("%.1f answered %v", float64(e.Now)/1e9, e.Digest)
	case Tick:
		return fmt.Sprintf("%.1f tick", float64(e.Now)/1e9)
	case SettingsChanged:
		return fmt.Sprintf("%.1f adjusted %+v %v", float64(e.Now)/1e9, e.Bounds, e.Regions)
	case ShutdownStarted:
		return fmt.Sprintf("%.1f left", float64(e.Now)/1e9)
	}
	return fmt.Sprint(e)
}

func formatObjects(all []Object) string {
	var parts []string
	for _, o := range all {
		text := o.Name
		switch {
		case o.Deleted:
			text += " deleted"
		case o.Kept:
			text += " kept"
		case o.Config != nil:
			text += fmt.Sprintf(" version %d", o.Config.Version)
		case o.Upstream != nil:
			text += fmt.Sprintf(" born %d sequence %d draining %t", o.Upstream.Born, o.Upstream.Sequence, o.Upstream.Draining)
		case o.Quarantine != nil:
			text += fmt.Sprint(" crashed ", o.Quarantine.Upstreams)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

// formatEra describes an era of the store if it is known.
func formatEra(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(" in era ", n)
}

// formatBeacon describes a beacon. Rarely used fields appear only if they are set.
func formatBeacon(b Beacon) string {
	statuses := map[Kind]string{}
	for k, p := range b.Sync {
		statuses[k] = fmt.Sprintf("{Revision:%d Age:%d}", p.Revision, p.Age)
		if p.Era != 0 {
			statuses[k] = fmt.Sprintf("{Era:%d Revision:%d Age:%d}", p.Era, p.Revision, p.Age)
		}
	}
	text := fmt.Sprintf("Name:%s Ready:%t Version:%d Proofs:%v", b.Name, b.Ready, b.Version, statuses)
	if len(b.Leaving) > 0 {
		text += fmt.Sprintf(" Left:%v", b.Leaving)
	}
	if len(b.RateLimits) > 0 {
		text += fmt.Sprintf(" Limits:%+v", b.RateLimits)
	}
	if len(b.Cold) > 0 {
		text += fmt.Sprintf(" Cold:%+v", b.Cold)
	}
	if len(b.Crashes) > 0 {
		text += fmt.Sprintf(" Crashes:%+v", b.Crashes)
	}
	return "{" + text + "}"
}

func formatEffect(x Effect) string {
	switch x := x.(type) {
	case LogEvent:
		return fmt.Sprintf("note %s %s version %d %s", x.Type, x.Subject, x.Version, x.Cause)
	case SendBeacon:
		return fmt.Sprintf("send %s to %v", formatBeacon(x.Beacon), x.To)
	case Watch:
		return fmt.Sprintf("read %s %t%s from %d, wait %v, once %t, rare %t", x.Kind, x.Enabled, formatEra(x.Era), x.Revision, x.PollTimeout, x.ListOnly, x.SlowRetry)
	case Fetch:
		return fmt.Sprintf("fetch %s from %s%s after %d", x.Kind, x.From.Name, formatEra(x.Era), x.After)
	case Reply:
		return fmt.Sprintf("reply to %d:%s revision %d whole %t returned %v: %s", x.RequestID, formatEra(x.Era), x.Revision, x.Whole, x.SinceStoreRecovery, formatObjects(x.Objects))
	case ApplyRateLimit:
		return fmt.Sprintf("limit %s born %d %+v at %.1f", x.Incarnation.ID, x.Incarnation.Born, x.State, float64(x.At)/1e9)
	case Register:
		return "register"
	case PublishQuarantine:
		return fmt.Sprintf("refuse %v, suspect none %t", x.Set.Quarantined(), x.Set.Empty())
	case Probe:
		return fmt.Sprint("probe ", x.Upstreams)
	case MarkCold:
		return fmt.Sprintf("%s born %d is cold until %.2f", x.Incarnation.ID, x.Incarnation.Born, float64(x.Until)/1e9)
	case WriteQuarantine:
		return "write " + formatObjects([]Object{x.Object})
	case Publish:
		v := x.View
		var ups, fronts []string
		for _, u := range v.Upstreams {
			text := u.ID
			if u.Doubtful {
				text += " doubtful"
			}
			if u.ColdUntil > 0 {
				text += fmt.Sprintf(" cold until %.1f", float64(u.ColdUntil)/1e9)
			}
			ups = append(ups, text)
		}
		for _, f := range v.Available {
			fronts = append(fronts, f.Name)
		}
		version := uint64(0)
		if v.Config != nil {
			version = v.Config.Version
		}
		return fmt.Sprintf("publish version %d ready %t upstreams %q fronts %v peers %d nearest to a %v", version, v.Ready, ups, fronts, len(v.Peers), v.Nearest("a", "", 9))
	}
	return fmt.Sprint(x)
}

func TestValidateReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	good := Route{Name: "good", Host: "h", Prefix: "/p/", Timeout: time.Second, Attempts: 1, Parts: []WeightedService{{Service: "s", Weight: 1}}}
	edit := func(name string, f func(*Route)) Route {
		r := good
		r.Name, r.Parts = name, []WeightedService{{Service: "s", Weight: 1}}
		f(&r)
		return r
	}
	c := &Config{Services: []Service{{Name: "s"}}, Routes: []Route{
		good,
		edit("host", func(r *Route) { r.Host = "" }),
		edit("prefix", func(r *Route) { r.Prefix = "/p" }),
		edit("timeout", func(r *Route) { r.Timeout = 0 }),
		edit("attempts", func(r *Route) { r.Attempts = 0 }),
		edit("service", func(r *Route) { r.Parts[0].Service = "x" }),
		edit("weight", func(r *Route) { r.Parts[0].Weight = 0 }),
		edit("negative", func(r *Route) { r.Parts[0].Weight = -1 }),
	}}
	err := c.Validate()
	is.True(err != nil)
	is.Equal(len(strings.Split(err.Error(), "\n")), 7) // one line for each bad route
	is.NoErr((&Config{Services: c.Services, Routes: c.Routes[:1]}).Validate())
}

func ExampleView_Nearest() {
	v := View{Available: []Instance{peerInstance("near", "a-2"), peerInstance("far", "b-1")}}
	fmt.Println(v.Nearest("a", "", 64), v.Nearest("c", "", 64))
	// Output: [near:80] [near:80 far:80]
}

// TestClone steps a copy and checks that the original is unchanged.
func TestClone(t *testing.T) {
	all := scenarios()
	maps.Copy(all, eraScenarios())
	maps.Copy(all, quarantineScenarios())
	for name, events := range all {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(self(), false)
			for _, e := range events {
				before, c := fmt.Sprintf("%+v", s.view(0)), s.Clone()
				sources := fmt.Sprint(s.syncStatuses(0), s.names(Upstreams), s.names(Instances), s.unavailable, s.recoveredAt, s.tombstones, s.quarantine.list.Quarantined(), s.quarantine.stored, s.quarantine.writeAt)
				Step(c, e)
				is.Equal(fmt.Sprintf("%+v", s.view(0)), before)
				is.Equal(fmt.Sprint(s.syncStatuses(0), s.names(Upstreams), s.names(Instances), s.unavailable, s.recoveredAt, s.tombstones, s.quarantine.list.Quarantined(), s.quarantine.stored, s.quarantine.writeAt), sources)
				s, _ = Step(s, e)
			}
		})
	}
}
