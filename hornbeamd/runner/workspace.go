package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/reporter"
)

// maxWorkspaceLabels limits the label values for workspaces. Those beyond it are summed up
// under otherWorkspaceLabel.
const (
	maxWorkspaceLabels  = 100
	otherWorkspaceLabel = "other"
)

// workspaces returns the use of the workspaces' allowances.
func (r *Runner) workspaces() (all []reporter.Workspace) {
	t := r.table.Load()
	if !t.HasWorkspaces() {
		return nil
	}
	now := r.now()
	for _, w := range t.Workspaces() {
		if w.Limited() {
			all = append(all, describeWorkspace(w, now))
		}
	}
	return all
}

func describeWorkspace(w *dispatcher.Workspace, now int64) reporter.Workspace {
	use := w.Share.Use()
	d := reporter.Workspace{
		Name: w.Name, Rate: w.Rate, Burst: w.Burst, Level: use.Grant.Total.Level,
		Demand: use.Grant.Total.Demand, OwnDemand: use.Demand, Part: use.Grant.Part,
		Admitted: use.Admitted, Refused: use.Refused, Basis: string(use.Grant.Basis(now)), Age: -1,
	}
	if use.Grant.At != 0 {
		d.Age = (now - use.Grant.At) / int64(time.Millisecond)
	}
	return d
}

// workspaceCollector exports the use of the allowances.
type workspaceCollector struct {
	workspaces func() []reporter.Workspace
}

var (
	workspaceRequests = prometheus.NewDesc("horn_workspace_requests_total", "Requests of workspaces with an allowance, admitted and refused.", []string{"workspace", "what"}, nil)
	workspaceLevel    = prometheus.NewDesc("horn_workspace_level", "Requests left of a workspace's burst, at all instances.", []string{"workspace"}, nil)
)

// Describe implements prometheus.Collector.
func (workspaceCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- workspaceRequests
	ch <- workspaceLevel
}

// Collect implements prometheus.Collector.
func (c workspaceCollector) Collect(ch chan<- prometheus.Metric) {
	var other reporter.Workspace
	report := func(name string, w reporter.Workspace) {
		ch <- prometheus.MustNewConstMetric(workspaceRequests, prometheus.CounterValue, float64(w.Admitted), name, "admitted")
		ch <- prometheus.MustNewConstMetric(workspaceRequests, prometheus.CounterValue, float64(w.Refused), name, "refused")
	}
	all := c.workspaces()
	for i, w := range all {
		if i >= maxWorkspaceLabels {
			other.Admitted += w.Admitted
			other.Refused += w.Refused
			continue
		}
		report(w.Name, w)
		ch <- prometheus.MustNewConstMetric(workspaceLevel, prometheus.GaugeValue, w.Level, w.Name)
	}
	if len(all) > maxWorkspaceLabels {
		report(otherWorkspaceLabel, other)
	}
}
