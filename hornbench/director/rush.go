package director

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"hornbeamstream.example/hornbench/generator"
)

const (
	rushLimit = 45 * time.Second
	// warmTime is not compared: while the limits of cold upstreams rise, the p99
	// is several times that of the calm, which would hide any effect of the rush.
	warmTime = 10 * time.Second
	calmTime = 8 * time.Second
	rushTime = 12 * time.Second
	// calmShare and rushShare are shares of the slots of the services that the
	// load needs, the latter for the bulk service.
	calmShare = 0.5
	rushShare = 3
	// Bounds for the once service while the bulk service is rushed.
	rushOK    = 0.999
	rushRatio = 1.5
)

// Latency holds quantiles in microseconds as the caller sees them.
type Latency struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
}

// RushResult is the last line of a rush. Calm and Rush are the latencies of the
// once service without and with the rush, Ratio that of their p99. OK is the
// share of the once requests of the rush that succeeded.
type RushResult struct {
	Deploy  string  `json:"deploy"`
	Service string  `json:"service"`
	Calm    Latency `json:"calm"`
	Rush    Latency `json:"rush"`
	Ratio   float64 `json:"ratio"`
	OK      float64 `json:"ok"`
	// Sent counts the once requests of the rush.
	Sent  int `json:"sent"`
	Over  int `json:"over"`
	Wrong int `json:"wrong"`
	False int `json:"false"`
	Twice int `json:"twice"`
}

// Rush starts the deployment, loads it without and then with a rush on the bulk
// service, and prints the result. The error tells of violations.
func (d *Demo) Rush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rushLimit)
	defer cancel()
	d.began = time.Now()
	if err := d.start(ctx); err != nil {
		return d.fail(ctx, err)
	}
	from := time.Now()
	requests, begin, err := d.crowd(ctx)
	to := time.Now()
	if err != nil {
		return d.fail(ctx, err)
	}
	d.settle(ctx)
	d.stop()
	r := d.result(requests, from, to)
	_, once, _ := d.deployment.roles()
	rush := r.rush(once, begin.Add(-calmTime), begin)
	if err := d.printRush(r, rush); err != nil {
		return err
	}
	return rush.verdict()
}

// crowd loads the deployment and returns the requests and the time at which the
// rush began.
func (d *Demo) crowd(ctx context.Context) (requests []generator.Request, begin time.Time, err error) {
	isBulk := func(f generator.Flow) bool { return d.deployment.Services[f.Service].Bulk }
	calm := slices.DeleteFunc(d.deployment.Offer(calmShare, d.Factor), isBulk)
	bulk := slices.DeleteFunc(d.deployment.Offer(rushShare, d.Factor), func(f generator.Flow) bool { return !isBulk(f) })
	if d.load, err = d.deployment.NewLoad(calm, "", demoSeed); err != nil {
		return nil, begin, err
	}
	rush, err := d.deployment.NewLoad(bulk, "", demoSeed+1)
	if err != nil {
		return nil, begin, err
	}
	rush.Ledger = d.load.Ledger
	base, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, l := range []*generator.Load{d.load, rush} {
		if err := l.Prepare(base); err != nil {
			return nil, begin, err
		}
	}
	begin = time.Now().Add(warmTime + calmTime)
	run, stop := context.WithDeadline(base, begin.Add(rushTime))
	defer stop()
	var g sync.WaitGroup
	g.Go(func() { d.load.Run(run) })
	d.say("once and small service at %.0f%% of their slots", calmShare*100)
	select {
	case <-time.After(time.Until(begin)):
		d.say("bulk service at %d times its slots", rushShare)
		rush.Run(run)
	case <-ctx.Done():
	}
	g.Wait()
	return d.load.Ledger.Requests(), begin, ctx.Err()
}

// rush compares the requests of a once service from the calm on and from the
// begin of the rush on.
func (r *Result) rush(once string, calm, begin time.Time) *RushResult {
	s := &RushResult{Deploy: r.Deploy, Service: once, Over: r.Over, Wrong: r.Wrong, False: r.False, Twice: r.Twice}
	var before, during []generator.Request
	for _, q := range r.requests {
		switch {
		case q.Service != once || q.Due.Before(calm):
		case q.Due.Before(begin):
			before = append(before, q)
		default:
			during = append(during, q)
		}
	}
	s.Sent = len(during)
	s.OK = float64(generator.Outcomes(during)[generator.OK]) / float64(max(1, s.Sent))
	s.Calm, s.Rush = latency(before), latency(during)
	s.Ratio = math.Round(float64(s.Rush.P99)/float64(max(1, s.Calm.P99))*1000) / 1000
	return s
}

func latency(list []generator.Request) Latency {
	h := generator.Latency(list, func(generator.Request) bool { return true })
	return Latency{P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99)}
}

// verdict returns ErrViolated if a bound is exceeded.
func (s *RushResult) verdict() error {
	if s.Over+s.Wrong+s.False+s.Twice > 0 || s.OK < rushOK || s.Ratio > rushRatio {
		return ErrViolated
	}
	return nil
}

func (d *Demo) printRush(r *Result, s *RushResult) error {
	if d.Causes {
		if err := generator.Causes(d.out, r.requests); err != nil {
			return err
		}
	}
	if err := r.print(d.out); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%s calm: p50 %.1f ms, p99 %.1f ms\n", s.Service, float64(s.Calm.P50)/1000, float64(s.Calm.P99)/1000)
	fmt.Fprintf(d.out, "%s in the rush: p50 %.1f ms, p99 %.1f ms, %.3f times the calm p99\n", s.Service, float64(s.Rush.P50)/1000, float64(s.Rush.P99)/1000, s.Ratio)
	fmt.Fprintf(d.out, "%s in the rush: %.3f%% of %d ok\n", s.Service, s.OK*100, s.Sent)
	return json.NewEncoder(d.out).Encode(s)
}
