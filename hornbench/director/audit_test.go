package director

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/hornbench/emulator"
	"hornbeamstream.example/hornbench/generator"
)

func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

func request(service string, outcome generator.Outcome, tries ...generator.Try) generator.Request {
	return generator.Request{ID: "q", Service: service, Region: "a", Outcome: outcome, Tries: tries, End: tries[len(tries)-1].End}
}

func try(outcome generator.Outcome, from, to int) generator.Try {
	return generator.Try{Entry: "e", Start: at(from), End: at(to), Outcome: outcome}
}

func run(service, state string, from, to int) emulator.Run {
	return emulator.Run{ID: "q", Service: service, Region: "b", Upstream: "u", State: state, Start: at(from), End: at(to)}
}

// Guards against a demo that reports 0 violations because it does not see them.
func TestAudit(t *testing.T) {
	closed := try(generator.Unknown, 0, 100)
	closed.Closed = true
	for _, x := range []struct {
		name    string
		request generator.Request
		runs    []emulator.Run
		want    findings
	}{
		{"ok", request("once", generator.OK, try(generator.OK, 0, 50)), []emulator.Run{run("once", emulator.Done, 10, 40)}, findings{}},
		{"ok without a run", request("once", generator.OK, try(generator.OK, 0, 50)), nil, findings{wrong: 1}},
		{"ok, but the run was cancelled", request("once", generator.OK, try(generator.OK, 0, 50)), []emulator.Run{run("once", emulator.Cancelled, 10, 40)}, findings{wrong: 1}},
		{"wrong", request("once", generator.Wrong, try(generator.Wrong, 0, 50)), []emulator.Run{run("once", emulator.Done, 10, 40)}, findings{wrong: 1}},
		{"notrun", request("once", generator.NotRun, try(generator.NotRun, 0, 50)), nil, findings{}},
		{"notrun, but ran", request("once", generator.NotRun, try(generator.NotRun, 0, 50)), []emulator.Run{run("once", emulator.Cancelled, 10, 40)}, findings{false: 1}},
		{"notrun, ran later", request("once", generator.NotRun, try(generator.NotRun, 0, 50)), []emulator.Run{run("once", emulator.Done, 60, 70)}, findings{false: 1}},
		{"notrun, then ok", request("once", generator.OK, try(generator.NotRun, 0, 50), try(generator.OK, 60, 90)), []emulator.Run{run("once", emulator.Done, 70, 80)}, findings{}},
		{"notrun, but ran, then ok", request("read", generator.OK, try(generator.NotRun, 0, 50), try(generator.OK, 60, 90)), []emulator.Run{run("read", emulator.Done, 10, 40), run("read", emulator.Done, 70, 80)}, findings{false: 1}},
		{"once twice", request("once", generator.OK, try(generator.OK, 0, 50)), []emulator.Run{run("once", emulator.Done, 10, 40), run("once", emulator.Done, 20, 40)}, findings{twice: 1}},
		{"read twice", request("read", generator.OK, try(generator.OK, 0, 50)), []emulator.Run{run("read", emulator.Done, 10, 40), run("read", emulator.Done, 20, 40)}, findings{}},
		{"closed by a stop", request("once", generator.Unknown, closed), nil, findings{cut: 1}},
		{"closed before a stop", request("once", generator.Unknown, generator.Try{Entry: "e", Start: at(-90), End: at(-80), Closed: true, Outcome: generator.Unknown}), nil, findings{}},
		{"nobody's", generator.Request{ID: "other", Outcome: generator.NotRun, Tries: []generator.Try{try(generator.NotRun, 0, 50)}}, []emulator.Run{run("once", emulator.Done, 10, 40)}, findings{wrong: 1}},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			e := &evidence{
				services: map[string]loader.Service{"once": {Once: true}, "read": {}},
				requests: []generator.Request{x.request}, runs: x.runs,
				stops: []stop{{"e", at(0), at(1000)}},
			}
			got := e.audit()
			is.Equal(len(got.lines), x.want.wrong+x.want.cut+x.want.twice+x.want.false)
			got.lines = nil
			is.Equal(got, x.want)
		})
	}
}

// Guards against overload and shifts above the cap that go uncounted.
func TestAuditCapacity(t *testing.T) {
	is := is.New(t)
	e := &evidence{
		requests: []generator.Request{request("read", generator.OK, try(generator.OK, 0, 50))},
		runs: []emulator.Run{
			run("read", emulator.Done, 1009, 1040), run("read", emulator.Done, 10, 40),
			run("read", emulator.Done, -10, 0), run("read", emulator.Done, 2010, 2040),
		},
		upstreams: []emulator.Account{{Count: emulator.Count{Over: 3}}},
		shift:     &move{service: "read", from: "a", to: "b", cap: 1, since: at(0)},
	}
	f := e.audit()
	is.Equal([]int{f.over, f.moved}, []int{4, 2})
	e.shift.cap = 2
	is.Equal(e.audit().over, 3)
	e.shift.to = "c"
	is.Equal(e.audit().moved, 0)
}

// Guards against generated deployments that differ from the stated sizes.
func TestDeployments(t *testing.T) {
	for name, want := range map[string]struct{ instances, upstreams, slots, rate int }{
		"kasa":   {10, 36, 12*6 + 12*3 + 12*5, 2065},
		"kotuku": {11, 40, 14*4 + 12*3 + 14*4, 1703},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Open(t.TempDir(), name, t.TempDir())
			is.NoErr(err)
			is.Equal(len(d.Settings), want.instances)
			is.Equal(len(d.Upstreams), want.upstreams)
			slots, planned, addresses := 0, 0, map[string]bool{}
			for service := range d.Services {
				slots += d.Slots(service)
			}
			for _, v := range d.Domains {
				planned += v.Instances
			}
			for _, u := range d.Upstreams {
				addresses[u.Address] = true
			}
			is.Equal(slots, want.slots)
			is.Equal(planned, want.instances)
			is.Equal(len(addresses), want.upstreams)
			rate := 0.0
			for _, f := range d.Offer(0.7, 1) {
				rate += f.Rate
			}
			is.Equal(int(rate), want.rate)
		})
	}
}
