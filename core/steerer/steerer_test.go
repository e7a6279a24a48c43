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

func other(name, domain string) Instance {
	return Instance{Name: name, Front: name + ":80", Beacon: name + ":70", Domain: domain, Region: regions[domain]}
}

func config(version uint64) Object {
	return Object{Name: "main", Config: &Config{Version: version}}
}

func server(id string, edit ...func(*Upstream)) Object {
	u := &Upstream{ID: id, Born: 1, Service: "s", Address: id + ":90", Domain: "a-1", Slots: 4}
	for _, f := range edit {
		f(u)
	}
	return Object{Name: id, Upstream: u}
}

func gone(name string) Object { return Object{Name: name, Deleted: true} }

func draining(u *Upstream)              { u.Draining = true }
func reborn(u *Upstream)                { u.Born = 2 }
func numbered(n uint64) func(*Upstream) { return func(u *Upstream) { u.Sequence = n } }
func in(domain string) func(*Upstream)  { return func(u *Upstream) { u.Domain = domain } }

func second(n float64) int64 { return int64(n * float64(time.Second)) }

// started is a script that makes the instance ready.
func started(upstreams ...Object) []Event {
	return []Event{
		Listed{Now: second(0.1), Kind: Configs, Objects: []Object{config(5)}},
		Listed{Now: second(0.1), Kind: Upstreams, Objects: upstreams},
		Listed{Now: second(0.1), Kind: Evacuations},
		Listed{Now: second(0.1), Kind: Instances, Objects: []Object{{Name: "far", Instance: ptr(other("far", "b-1"))}, {Name: "near", Instance: ptr(other("near", "a-2"))}}},
	}
}

func ptr[T any](v T) *T { return &v }

// scripts are event sequences; the golden files have the effects.
func scripts() map[string][]Event {
	return map[string][]Event{
		"versions-never-step-back": append(started(),
			Changed{Now: second(1), Kind: Configs, Objects: []Object{config(9)}},
			Changed{Now: second(2), Kind: Configs, Objects: []Object{config(10)}},
			Changed{Now: second(3), Kind: Configs, Objects: []Object{config(9), gone("main")}},
			Listed{Now: second(4), Kind: Configs, Objects: []Object{config(7)}},
		),
		"stale-list-is-confirmed-before-use": {
			Listed{Now: second(0.1), Kind: Configs, Objects: []Object{config(5)}, Revision: 50},
			Listed{Now: second(0.1), Kind: Evacuations, Revision: 50},
			Listed{Now: second(0.1), Kind: Upstreams, Objects: []Object{server("u1"), server("u2")}, Revision: 40, Stale: true},
			Tick{Now: second(0.2)},
			Changed{Now: second(0.3), Kind: Upstreams, Objects: []Object{gone("u1")}, Revision: 50},
			Tick{Now: second(0.4)},
		},
		"stale-list-is-used-if-nobody-confirms-it": {
			Listed{Now: second(0.1), Kind: Configs, Objects: []Object{config(5)}, Revision: 50},
			Listed{Now: second(0.1), Kind: Evacuations, Revision: 50},
			Listed{Now: second(0.1), Kind: Upstreams, Objects: []Object{server("u1")}, Revision: 40, Stale: true},
			StoreUnavailable{Now: second(0.5), Kind: Upstreams, Cause: "no answer"},
			Tick{Now: second(1)},
			Tick{Now: second(1.1)},
		},
		"paused-process-asks-before-it-acts": append(started(server("u1"), server("u2")),
			Tick{Now: second(1)},
			Resumed{Now: second(6)},
			Changed{Now: second(6.1), Kind: Upstreams, Objects: []Object{gone("u1")}},
			Changed{Now: second(6.1), Kind: Configs},
			Changed{Now: second(6.2), Kind: Evacuations},
			Tick{Now: second(6.3)},
		),
		"draining-upstream-gets-nothing-new": append(started(server("u1"), server("u2")),
			Changed{Now: second(1), Kind: Upstreams, Objects: []Object{server("u1", numbered(2), draining)}},
			Changed{Now: second(2), Kind: Upstreams, Objects: []Object{gone("u1")}},
		),
		"late-registration-does-not-revive": append(started(server("u1")),
			Changed{Now: second(1), Kind: Upstreams, Objects: []Object{server("u1", numbered(8), draining)}},
			Changed{Now: second(2), Kind: Upstreams, Objects: []Object{server("u1", numbered(7))}},
			Changed{Now: second(3), Kind: Upstreams, Objects: []Object{server("u1", reborn)}},
			Changed{Now: second(4), Kind: Upstreams, Objects: []Object{server("u1", numbered(9))}},
		),
		"unreadable-registration-names-no-upstream": append(started(server("u1"), server("u2")),
			Changed{Now: second(1), Kind: Upstreams, Objects: []Object{{Name: "u1"}}},
		),
		"expired-while-the-store-was-away": append(started(server("u1"), server("u2"), server("u3", draining)),
			StoreUnavailable{Now: second(1), Kind: Upstreams, Cause: "no answer in time"},
			StoreUnavailable{Now: second(2), Kind: Upstreams, Cause: "no answer in time"},
			Changed{Now: second(9), Kind: Upstreams, Objects: []Object{gone("u1"), gone("u2"), gone("u3")}},
			Changed{Now: second(10), Kind: Upstreams, Objects: []Object{server("u2")}},
			Tick{Now: second(10.8)},
			Tick{Now: second(11)},
			Changed{Now: second(15), Kind: Upstreams, Objects: []Object{gone("u2")}},
		),
		"evacuated-domain-gets-nothing-and-comes-back-cold": append(started(server("u1"), server("u2", in("b-1"))),
			Changed{Now: second(1), Kind: Evacuations, Objects: []Object{{Name: "a-1"}}},
			Changed{Now: second(5), Kind: Evacuations, Objects: []Object{gone("a-1")}},
		),
		"start-while-the-store-is-away": {
			Tick{Now: second(0.1)},
			BeaconReceived{Now: second(0.2), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
			BeaconReceived{Now: second(0.4), Beacon: Beacon{Name: "far", Ready: false}, From: "far:70"},
			BeaconReceived{Now: second(0.7), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
			BeaconReceived{Now: second(0.9), Beacon: Beacon{Name: "far", Ready: true}, From: "far:70"},
			Fetched{Now: second(1), Kind: Configs, From: "near", Revision: 30, Whole: true, Objects: []Object{config(5)}},
			Fetched{Now: second(1), Kind: Instances, From: "near"},
			Fetched{Now: second(1), Kind: Evacuations, From: "near", Revision: 30, Whole: true},
			BeaconReceived{Now: second(1.2), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
			Fetched{Now: second(1.3), Kind: Instances, From: "near", Revision: 30, Whole: true, Objects: []Object{{Name: "near", Instance: ptr(other("near", "a-2"))}, {Name: "self", Instance: ptr(self())}}},
			Fetched{Now: second(1.3), Kind: Upstreams, From: "near", Revision: 30, Whole: true, Objects: []Object{server("u1")}},
			Tick{Now: second(1.4)},
			BeaconReceived{Now: second(1.7), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
		},
		"start-while-the-store-refuses": {
			Tick{Now: second(0.1)},
			StoreUnavailable{Now: second(0.15), Kind: Instances, Cause: "status 503"},
			BeaconReceived{Now: second(0.2), Beacon: Beacon{Name: "near", Ready: true}, From: "near:70"},
		},
		"instances-by-their-beacons": append(started(),
			BeaconReceived{Now: second(1), Beacon: Beacon{Name: "near", Ready: true}},
			BeaconReceived{Now: second(1), Beacon: Beacon{Name: "far", Ready: true}},
			BeaconReceived{Now: second(1), Beacon: Beacon{Name: "stranger", Ready: true}},
			Tick{Now: second(1.2)},
			BeaconReceived{Now: second(2), Beacon: Beacon{Name: "far", Ready: true}},
			Tick{Now: second(3.5)},
			BeaconReceived{Now: second(4), Beacon: Beacon{Name: "far", Ready: false}},
			BeaconReceived{Now: second(5), Beacon: Beacon{Name: "near", Ready: true}},
			ShutdownStarted{Now: second(5.1)},
		),
		"bounds-change-while-running": append(started(server("u1")),
			SettingsChanged{Now: second(1), Bounds: Bounds{RetryShare: 0.1, Stop: 4 * time.Second}, Regions: regions},
		),
	}
}

// crowd is a system that is too large for every instance to read the store.
func crowd() []Event {
	var all []Object
	for i := range 20 {
		domain := "a-2"
		if i%2 == 1 {
			domain = "b-1"
		}
		all = append(all, Object{Name: fmt.Sprintf("i%02d", i), Instance: ptr(other(fmt.Sprintf("i%02d", i), domain))})
	}
	events := []Event{
		Tick{Now: second(0.05)},
		Listed{Now: second(0.1), Kind: Instances, Objects: all, Revision: 50},
	}
	for i := range 20 {
		b := Beacon{Name: fmt.Sprintf("i%02d", i), Ready: true}
		if i < 2 {
			at60 := SyncStatus{Revision: 60, Age: 10}
			b.Sync = map[Kind]SyncStatus{Configs: at60, Upstreams: at60, Evacuations: at60, Instances: at60}
		}
		events = append(events, BeaconReceived{Now: second(0.2), Beacon: b})
	}
	return append(events, Tick{Now: second(0.3)},
		Fetched{Now: second(0.31), Kind: Configs, From: "i00", Revision: 60, Whole: true, Objects: []Object{config(5)}},
		Fetched{Now: second(0.31), Kind: Upstreams, From: "i00", Revision: 60, Whole: true, Objects: []Object{server("u1"), server("u2")}},
		Fetched{Now: second(0.31), Kind: Evacuations, From: "i00", Revision: 60, Whole: true},
	)
}

// proving is a beacon of a reader.
func proving(at float64, revision uint64, age int64) Event {
	return BeaconReceived{Now: second(at), Beacon: Beacon{Name: "i00", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: revision, Age: age}}}}
}

// relayScripts have the parts of a system in which few instances read the store.
func relayScripts() map[string][]Event {
	return map[string][]Event{
		"large-system-asks-readers": append(crowd(),
			proving(0.8, 60, 300),
			proving(1.2, 64, 10),
			proving(1.3, 64, 110),
			Fetched{Now: second(1.4), Kind: Upstreams, From: "i00", Revision: 64, Objects: []Object{server("u1", draining)}},
			proving(1.5, 64, 10),
		),
		"lost-answer-of-the-store-is-made-up-for-by-others": append(started(server("u1"), server("u2")),
			Tick{Now: second(0.3)},
			BeaconReceived{Now: second(1), Beacon: Beacon{Name: "near", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: 7, Age: 9000}}}},
			BeaconReceived{Now: second(1.5), Beacon: Beacon{Name: "near", Ready: true, Sync: map[Kind]SyncStatus{Upstreams: {Revision: 7, Age: 9500}}}},
			Fetched{Now: second(1.6), Kind: Upstreams, From: "near", Revision: 7, Objects: []Object{gone("u1")}},
			Changed{Now: second(1.7), Kind: Upstreams, Revision: 5, Objects: []Object{server("u1")}},
			Changed{Now: second(1.8), Kind: Upstreams, Revision: 9, Objects: []Object{server("u3")}},
		),
		"lost-question-is-repeated": append(crowd(),
			proving(1.2, 64, 10),
			proving(1.6, 64, 10),
			Fetched{Now: second(1.7), Kind: Upstreams, From: "i00"},
			proving(1.8, 64, 10),
			proving(2.9, 64, 10),
		),
		"stale-readers-are-replaced": append(crowd(),
			proving(1.0, 60, 0),
			proving(2.0, 60, 1000),
			Tick{Now: second(2.1)},
			Tick{Now: second(2.9)},
			Changed{Now: second(3), Kind: Upstreams, Revision: 70, Objects: []Object{gone("u1")}},
			proving(3.2, 72, 5),
			Tick{Now: second(3.3)},
			proving(3.4, 72, 5),
		),
		"instance-that-cannot-ask-reads-itself": append(crowd(),
			proving(1.2, 64, 10),
			Fetched{Now: second(1.9), Kind: Upstreams, From: "i00"},
			proving(2.1, 64, 10),
			Tick{Now: second(2.25)},
			Changed{Now: second(2.3), Kind: Upstreams, Revision: 64, Objects: []Object{gone("u1")}},
			Tick{Now: second(2.4)},
		),
		"expiry-reported-by-a-reader-after-the-return": append(crowd(),
			Fetched{Now: second(5), Kind: Upstreams, From: "i00", Revision: 80, StoreRecoveredAt: second(4.5), Objects: []Object{gone("u1")}},
			Tick{Now: second(6)},
			Fetched{Now: second(6.1), Kind: Upstreams, From: "i00", Revision: 82, StoreRecoveredAt: second(4.5), Objects: []Object{server("u1")}},
			Tick{Now: second(7)},
		),
		"answer-after-a-second-list-is-whole": append(started(server("u1"), server("u2")),
			Changed{Now: second(1), Kind: Upstreams, Revision: 30, Objects: []Object{server("u3")}},
			Listed{Now: second(2), Kind: Upstreams, Revision: 40, Objects: []Object{server("u2")}},
			ChangesRequested{Now: second(3), RequestID: 1, Kind: Upstreams, After: 30},
		),
		"answers-to-other-instances": append(started(server("u1"), server("u2")),
			ChangesRequested{Now: second(0.5), RequestID: 1, Kind: Upstreams, After: 0},
			Changed{Now: second(1), Kind: Upstreams, Revision: 30, Objects: []Object{server("u3")}},
			Changed{Now: second(2), Kind: Upstreams, Revision: 40, Objects: []Object{gone("u1")}},
			ChangesRequested{Now: second(3), RequestID: 2, Kind: Upstreams, After: 30},
			ChangesRequested{Now: second(3), RequestID: 3, Kind: Upstreams, After: 40},
			ChangesRequested{Now: second(3), RequestID: 4, Kind: Configs, After: 0},
			ChangesRequested{Now: second(3), RequestID: 5, Kind: "unknown", After: 0},
		),
	}
}

func TestScenarios(t *testing.T) {
	all := scripts()
	maps.Copy(all, relayScripts())
	maps.Copy(all, eraScripts())
	for name, events := range all {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(self(), false)
			var out strings.Builder
			last := Tick{Now: at(events[len(events)-1]) + second(0.1)}
			for _, e := range append(events, last) {
				var effects []Effect
				s, effects = Step(s, e)
				fmt.Fprintln(&out, describe(e))
				for _, x := range effects {
					fmt.Fprintln(&out, "   ", effect(x))
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

// at is the time of an event.
func at(e Event) int64 {
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
	}
	return 0
}

func describe(e Event) string {
	switch e := e.(type) {
	case Listed:
		return fmt.Sprintf("%.1f listed %s%s: %s", float64(e.Now)/1e9, e.Kind, era(e.Era), objects(e.Objects))
	case Changed:
		return fmt.Sprintf("%.1f changed %s%s: %s", float64(e.Now)/1e9, e.Kind, era(e.Era), objects(e.Objects))
	case Fetched:
		return fmt.Sprintf("%.1f fetched %s from %s%s, revision %d whole %t: %s", float64(e.Now)/1e9, e.Kind, e.From, era(e.Era), e.Revision, e.Whole, objects(e.Objects))
	case ChangesRequested:
		return fmt.Sprintf("%.1f asked %d for %s%s after %d", float64(e.Now)/1e9, e.RequestID, e.Kind, era(e.Era), e.After)
	case StoreUnavailable:
		return fmt.Sprintf("%.1f lost %s", float64(e.Now)/1e9, e.Kind)
	case BeaconReceived:
		return fmt.Sprintf("%.1f heard %s", float64(e.Now)/1e9, beacon(e.Beacon))
	case Resumed:
		return fmt.Sprintf("%.1f woken", float64(e.Now)/1e9)
	case UpstreamLeaving:
		return fmt.Sprintf("%.1f departed %s born %d", float64(e.Now)/1e9, e.Incarnation.ID, e.Incarnation.Born)
	case Tick:
		return fmt.Sprintf("%.1f tick", float64(e.Now)/1e9)
	case SettingsChanged:
		return fmt.Sprintf("%.1f adjusted %+v %v", float64(e.Now)/1e9, e.Bounds, e.Regions)
	case ShutdownStarted:
		return fmt.Sprintf("%.1f left", float64(e.Now)/1e9)
	}
	return fmt.Sprint(e)
}

func objects(all []Object) string {
	var parts []string
	for _, o := range all {
		text := o.Name
		switch {
		case o.Deleted:
			text += " deleted"
		case o.Config != nil:
			text += fmt.Sprintf(" version %d", o.Config.Version)
		case o.Upstream != nil:
			text += fmt.Sprintf(" born %d sequence %d draining %t", o.Upstream.Born, o.Upstream.Sequence, o.Upstream.Draining)
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

// era names an era of the store if there is one.
func era(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(" in era ", n)
}

// beacon describes a beacon; what is rarely there is named only if it is.
func beacon(b Beacon) string {
	proofs := map[Kind]string{}
	for k, p := range b.Sync {
		proofs[k] = fmt.Sprintf("{Revision:%d Age:%d}", p.Revision, p.Age)
		if p.Era != 0 {
			proofs[k] = fmt.Sprintf("{Era:%d Revision:%d Age:%d}", p.Era, p.Revision, p.Age)
		}
	}
	text := fmt.Sprintf("Name:%s Ready:%t Version:%d Proofs:%v", b.Name, b.Ready, b.Version, proofs)
	if len(b.Leaving) > 0 {
		text += fmt.Sprintf(" Left:%v", b.Leaving)
	}
	return "{" + text + "}"
}

func effect(x Effect) string {
	switch x := x.(type) {
	case LogEvent:
		return fmt.Sprintf("note %s %s version %d %s", x.Type, x.Subject, x.Version, x.Cause)
	case SendBeacon:
		return fmt.Sprintf("send %s to %v", beacon(x.Beacon), x.To)
	case Watch:
		return fmt.Sprintf("read %s %t%s from %d, wait %v, once %t, rare %t", x.Kind, x.Enabled, era(x.Era), x.Revision, x.PollTimeout, x.ListOnly, x.SlowRetry)
	case Fetch:
		return fmt.Sprintf("fetch %s from %s%s after %d", x.Kind, x.From.Name, era(x.Era), x.After)
	case Reply:
		return fmt.Sprintf("reply to %d:%s revision %d whole %t returned %v: %s", x.RequestID, era(x.Era), x.Revision, x.Whole, x.SinceStoreRecovery, objects(x.Objects))
	case Register:
		return "register"
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
	v := View{Available: []Instance{other("near", "a-2"), other("far", "b-1")}}
	fmt.Println(v.Nearest("a", "", 64), v.Nearest("c", "", 64))
	// Output: [near:80] [near:80 far:80]
}

// TestClone steps a copy and finds the original as it was.
func TestClone(t *testing.T) {
	all := scripts()
	maps.Copy(all, eraScripts())
	for name, events := range all {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(self(), false)
			for _, e := range events {
				before, c := fmt.Sprintf("%+v", s.view(0)), s.Clone()
				sources := fmt.Sprint(s.proofs(0), s.names(Upstreams), s.names(Instances), s.lost, s.answered, s.departures)
				Step(c, e)
				is.Equal(fmt.Sprintf("%+v", s.view(0)), before)
				is.Equal(fmt.Sprint(s.proofs(0), s.names(Upstreams), s.names(Instances), s.lost, s.answered, s.departures), sources)
				s, _ = Step(s, e)
			}
		})
	}
}
