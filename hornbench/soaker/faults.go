package soaker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// storeServer serves the store on a loopback address.
type storeServer struct {
	address string
	server  *http.Server
}

func serveStore(s *Store) (*storeServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	return &storeServer{ln.Addr().String(), server}, nil
}

func (s *storeServer) close() { _ = s.server.Close() }

// fault is one kind of disturbance. It begins at once and ends by itself.
type fault struct {
	name string
	// disruptsStore means that the fault suspends the time bounds of all instances
	// while it lasts and for contactTime after it. The faults of one instance suspend
	// only its own.
	disruptsStore bool
	run           func(ctx context.Context, w *World, d time.Duration)
}

// faults are chosen by the seed.
var faults = []fault{
	{"instance paused", false, func(_ context.Context, w *World, d time.Duration) { w.anInstance().Pause(d) }},
	{"instance killed", false, func(ctx context.Context, w *World, d time.Duration) {
		i := w.anInstance()
		i.Kill()
		sleep(ctx, d/2)
		w.note(i.Start())
	}},
	{"instance stopped and started", false, func(ctx context.Context, w *World, d time.Duration) {
		i := w.anInstance()
		i.Terminate()
		sleep(ctx, d/4)
		w.note(i.Start())
	}},
	{"store busy", true, storeFault(storeBusy)},
	{"store loses answers", true, storeFault(storeLost)},
	{"store slow", true, storeFault(storeSlow)},
	{"store forgets its history", false, func(_ context.Context, w *World, _ time.Duration) { w.store.Compact() }},
	{"store delayed", false, cutFault(proxyDelay)},
	{"store silent", false, cutFault(proxySilent)},
	{"store deaf", false, cutFault(proxyDeaf)},
	{"store resets", false, cutFault(proxyReset)},
	{"upstream delayed", false, linkFault(proxyDelay)},
	{"upstream silent", false, linkFault(proxySilent)},
	{"upstream deaf", false, linkFault(proxyDeaf)},
	{"upstream resets", false, linkFault(proxyReset)},
	{"upstream cuts answers", false, upstreamFault(upstreamCut)},
	{"upstream answers twice", false, upstreamFault(upstreamTwice)},
	{"upstream loses answers", false, upstreamFault(upstreamLost)},
	{"upstream slow", false, upstreamFault(upstreamSlow)},
	{"upstream fails", false, upstreamFault(upstreamFails)},
	{"upstream replaced", false, func(ctx context.Context, w *World, d time.Duration) {
		u := w.takeUpstream()
		if u == nil {
			return
		}
		w.note(w.addUpstream(u.Service, u.Domain))
		u.Drain()
		w.mu.Lock()
		w.left = append(w.left, u)
		w.mu.Unlock()
		sleep(ctx, max(d, 4*time.Second))
		u.Stop(false)
	}},
	{"upstream crashed", false, func(ctx context.Context, w *World, d time.Duration) {
		u := w.takeUpstream()
		if u == nil {
			return
		}
		u.Stop(true)
		sleep(ctx, d)
		w.store.Delete("servers", u.ID)
		w.note(w.addUpstream(u.Service, u.Domain))
	}},
	{"configuration moves", false, func(_ context.Context, w *World, _ time.Duration) {
		w.mu.Lock()
		service := services[w.random.IntN(len(services))]
		w.mu.Unlock()
		w.configure(service)
	}},
	{"domain evacuated", false, func(ctx context.Context, w *World, d time.Duration) {
		domain := domainNames[w.number(len(domainNames))]
		if w.options.Extended {
			// Beyond the time in which an evacuation must be in force.
			d *= 4
		}
		w.evacuate(domain)
		sleep(ctx, d)
		w.takeBack(domain)
	}},
}

// silentFault makes the store take calls without ever answering them. It often begins
// right after a change, when all instances are about to call.
func silentFault(ctx context.Context, w *World, d time.Duration) {
	if w.number(2) == 0 {
		w.configure(services[w.number(len(services))])
		sleep(ctx, time.Duration(50+w.number(250))*time.Millisecond)
	}
	storeFault(storeSilent)(ctx, w, d)
}

// returnFault lets the store come back from a copy that is some time old. It does not
// suspend the time bounds. The store may have forgotten the watches that wait, and an
// instance may start as it returns.
func returnFault(ctx context.Context, w *World, d time.Duration) {
	if !w.returning.TryLock() {
		return
	}
	defer w.returning.Unlock()
	var restarted sync.WaitGroup
	defer restarted.Wait()
	w.store.Save()
	sleep(ctx, d)
	w.store.SetMode(storeBusy)
	sleep(ctx, time.Duration(w.number(400))*time.Millisecond)
	if w.options.Bursts && w.number(2) == 0 {
		w.store.Forget()
	}
	w.store.Restore()
	w.store.SetMode(storeUp)
	if w.options.Bursts && w.number(2) == 0 {
		restarted.Go(w.restart)
	}
	sleep(ctx, time.Duration(w.number(1000))*time.Millisecond)
	w.rewrite()
}

// restart kills an instance and starts it at once.
func (w *World) restart() {
	w.signals.Lock()
	defer w.signals.Unlock()
	i := w.anInstance()
	i.Kill()
	w.note(i.Start())
}

// rewrite writes again what the operator has written; the upstreams do so
// themselves. Registrations of upstreams that are gone expire.
func (w *World) rewrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.store.Put("config", "main", w.config)
	for _, domain := range domainNames {
		if w.evacuated[domain] {
			_ = w.store.Put("evacuations", domain, struct{}{})
		} else {
			w.store.Delete("evacuations", domain)
		}
	}
	alive := map[string]bool{}
	for _, u := range w.all {
		alive[u.ID] = !u.stopped()
	}
	for _, id := range w.store.Names("servers") {
		if !alive[id] {
			w.store.Delete("servers", id)
		}
	}
}

// evacuate and takeBack are the operator's.
func (w *World) evacuate(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuated[domain] {
		return
	}
	w.evacuated[domain] = true
	_ = w.store.Put("evacuations", domain, struct{}{})
	w.evacuations = append(w.evacuations, evacuation{domain, span{from: time.Now()}})
}

func (w *World) takeBack(domain string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated[domain] = false
	w.store.Delete("evacuations", domain)
	for i := range w.evacuations {
		if e := &w.evacuations[i]; e.domain == domain && e.to.IsZero() {
			e.to = time.Now()
		}
	}
}

// shortPause is the time up to which a pause is as long as other faults; longer
// ones go up to 20 s.
const shortPause = 600 * time.Millisecond

// extendedFaults join the others if the soak has them.
var extendedFaults = []fault{
	{"store returns from a copy", false, returnFault},
	{"upstream leaves by its answers", false, func(ctx context.Context, w *World, d time.Duration) {
		u := w.takeUpstream()
		if u == nil {
			return
		}
		w.note(w.addUpstream(u.Service, u.Domain))
		u.SetMode(upstreamLeaves)
		sleep(ctx, max(d, 5*time.Second))
		u.Stop(false)
	}},
	{"upstream pauses", false, func(ctx context.Context, w *World, d time.Duration) {
		u := w.anUpstream()
		if d > shortPause {
			d *= 6
		}
		u.PauseUntil(time.Now().Add(d))
		sleep(ctx, d)
		u.SetMode(upstreamGood)
	}},
}

// burstFaults join the others if the soak has bursts.
var burstFaults = []fault{
	{"store takes calls without an answer", true, silentFault},
}

// plannedChanges are the faults that also occur between bursts.
var plannedChanges = []string{"configuration moves", "upstream replaced"}

const (
	// burstTime is the length of a burst. calmBetweenTime follows it: the last faults
	// end, the instances are in contact again, and the time bounds hold for a while.
	burstTime       = 4 * time.Second
	calmBetweenTime = 10 * time.Second
)

// modeFault puts something into a mode for the time of the fault.
func modeFault[M any, T interface{ SetMode(M) }](pick func(*World) T, mode, usual M) func(context.Context, *World, time.Duration) {
	return func(ctx context.Context, w *World, d time.Duration) {
		x := pick(w)
		x.SetMode(mode)
		sleep(ctx, d)
		x.SetMode(usual)
	}
}

func storeFault(m storeMode) func(context.Context, *World, time.Duration) {
	return modeFault(func(w *World) *Store { return w.store }, m, storeUp)
}

func cutFault(m proxyMode) func(context.Context, *World, time.Duration) {
	return modeFault(func(w *World) *Proxy { return w.anInstance().proxy }, m, proxyPass)
}

func linkFault(m proxyMode) func(context.Context, *World, time.Duration) {
	return modeFault(func(w *World) *Proxy { return w.anUpstream().proxy }, m, proxyPass)
}

func upstreamFault(m upstreamMode) func(context.Context, *World, time.Duration) {
	return modeFault((*World).anUpstream, m, upstreamGood)
}

// number draws a number below n.
func (w *World) number(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *World) anInstance() *Instance { return w.instances[w.number(len(w.instances))] }

// anUpstream returns a running upstream, or one that has ended if all have crashed.
func (w *World) anUpstream() *Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.upstreams) == 0 {
		return w.all[len(w.all)-1]
	}
	return w.upstreams[w.random.IntN(len(w.upstreams))]
}

// takeUpstream removes an upstream from the list, unless few are left.
func (w *World) takeUpstream() *Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.upstreams) <= len(services)*w.options.Upstreams-2 {
		return nil
	}
	n := w.random.IntN(len(w.upstreams))
	u := w.upstreams[n]
	w.upstreams = append(w.upstreams[:n:n], w.upstreams[n+1:]...)
	return u
}

// note records an error of the soak itself.
func (w *World) note(err error) {
	if err == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%6.2f error: %v", time.Since(w.began).Seconds(), err))
}

// disturb runs faults, in series and overlapping, until the end of the soak.
// Several faults never hit the same instance at once: each kind that does has a
// lock of its own.
func (w *World) disturb(ctx context.Context) {
	var group sync.WaitGroup
	all := faults
	if w.options.Extended {
		all = slices.Concat(faults, extendedFaults, extendedFaults)
	}
	if w.options.Limits {
		all = slices.Concat(all, limitFaults, limitFaults, limitFaults)
	}
	if w.options.Bursts {
		all = slices.Concat(all, burstFaults, burstFaults)
	}
	if w.options.Garbage {
		all = slices.Concat(all, garbageFaults, garbageFaults, garbageFaults)
	}
	if w.options.Pauses {
		all = slices.Concat(all, pauseFaults, pauseFaults, pauseFaults)
	}
	if w.options.Crashes {
		all = slices.Concat(all, crashFaults, crashFaults)
	}
	if w.options.Stops {
		all = stopFaults
	}
	changes := slices.DeleteFunc(slices.Clone(all), func(f fault) bool { return !slices.Contains(plannedChanges, f.name) })
	for time.Now().Before(w.options.Until) && ctx.Err() == nil {
		f := all[w.number(len(all))]
		if w.options.Bursts && time.Since(w.began)%(burstTime+calmBetweenTime) > burstTime {
			f = changes[w.number(len(changes))]
		}
		d := 300*time.Millisecond + time.Duration(w.number(3000))*time.Millisecond
		group.Go(func() {
			if f.name[:8] == "instance" {
				w.signals.Lock()
				defer w.signals.Unlock()
			}
			w.play(ctx, f, d)
		})
		sleep(ctx, time.Duration(100+w.number(900))*time.Millisecond)
	}
	group.Wait()
	w.store.SetMode(storeUp)
}

func (w *World) play(ctx context.Context, f fault, d time.Duration) {
	from := time.Now()
	f.run(ctx, w, d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%6.2f to %6.2f %s", from.Sub(w.began).Seconds(), time.Since(w.began).Seconds(), f.name))
	if f.disruptsStore {
		w.disturbed = append(w.disturbed, span{from, time.Now()})
	}
}

// storeStable reports whether the store was undisturbed in a period and for
// contactTime before it.
func (w *World) storeStable(from, to time.Time) bool {
	return !overlap(w.disturbed, from.Add(-contactTime), to)
}

// inContact reports whether time bounds hold for an instance in a period: the
// instance, its connections to the store and the store itself were undisturbed in
// it and for contactTime before it.
func (w *World) inContact(i *Instance, from, to time.Time) bool {
	since := from.Add(-contactTime)
	return i != nil && w.storeStable(from, to) && i.undisturbed(since, to) && i.proxy.passed(since, to)
}

// fronts returns the instances by their front addresses, by which callers name them.
// It is called after the soak, when the instances no longer change.
func (w *World) fronts() map[string]*Instance {
	if w.byFront == nil {
		w.byFront = map[string]*Instance{}
		for _, i := range w.instances {
			w.byFront[i.Front()] = i
		}
	}
	return w.byFront
}

// errViolated marks a soak in which a promise was broken.
var errViolated = errors.New("a promise was broken")
