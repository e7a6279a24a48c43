package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// quotaWindow, quotaOver and quotaSlack say by how much a workspace may exceed its
	// allowance.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// hotRate is the allowance of the workspace that always sends more, in requests per
	// second and at once.
	hotRate = 30
	// keptKeys is the number of keys that a workspace has.
	keptKeys = 2
)

// workspaceNames are the workspaces. The last one has an allowance.
var workspaceNames = []string{"choir", "chess", "hot"}

// workspaceKey is a key of a workspace in the time in which a configuration has it.
type workspaceKey struct {
	workspace, value string
	span
}

// rotateKeys gives each workspace a new key and takes its oldest one away. The caller must hold
// w.mu.
func (w *World) rotateKeys() {
	now := time.Now()
	for _, name := range workspaceNames {
		w.keys = append(w.keys, workspaceKey{name, fmt.Sprintf("key-%s-%d", name, len(w.keys)), span{from: now}})
		valid := w.validKeys(name)
		for _, k := range valid[:max(0, len(valid)-keptKeys)] {
			w.keys[k].to = now
		}
	}
}

// validKeys returns the indexes of a workspace's keys, the oldest first. The caller must hold
// w.mu.
func (w *World) validKeys(name string) (valid []int) {
	for i, k := range w.keys {
		if k.workspace == name && k.to.IsZero() {
			valid = append(valid, i)
		}
	}
	return valid
}

// tenants returns the workspaces as the configuration has them. The caller must hold w.mu.
func (w *World) tenants() map[string]any {
	var rows [][]any
	for _, name := range workspaceNames {
		var keys []string
		for _, i := range w.validKeys(name) {
			keys = append(keys, w.keys[i].value)
		}
		rate := 0
		if name == workspaceNames[len(workspaceNames)-1] {
			rate = hotRate
		}
		rows = append(rows, []any{name, keys, 1, rate, rate, []string{}})
	}
	return map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"}, "rows": rows}
}

// pickKey returns a key of one of the workspaces, seldom one that is no longer valid. It returns
// nil without workspaces.
func (w *World) pickKey(random *rand.Rand, names []string) *workspaceKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.keys) == 0 {
		return nil
	}
	name := names[random.IntN(len(names))]
	var all []int
	for i, k := range w.keys {
		if k.workspace == name && (k.to.IsZero() || random.IntN(10) == 0) {
			all = append(all, i)
		}
	}
	k := w.keys[all[random.IntN(len(all))]]
	return &k
}

// judgeIdentity checks what a request's runs and its answer say of its workspace and key.
func (w *World) judgeIdentity(s *Sent, runs []Run) (broken []string) {
	if s.Key == nil {
		return nil
	}
	for _, run := range runs {
		if run.Workspace != s.Key.workspace {
			broken = append(broken, "it ran for workspace "+run.Workspace)
		}
		if run.HasKey {
			broken = append(broken, "its key was passed on")
		}
	}
	i := slices.IndexFunc(w.keys, func(k workspaceKey) bool { return k.value == s.Key.value })
	k := w.keys[i]
	if !w.inContact(w.fronts()[s.Instance], s.Start, s.End) {
		return broken
	}
	if !k.to.IsZero() && s.Start.After(k.to.Add(applyTime)) && len(runs) > 0 {
		broken = append(broken, fmt.Sprintf("it ran %.1f s after its key had been taken away", s.Start.Sub(k.to).Seconds()))
	}
	if s.Status == http.StatusUnauthorized && s.Start.After(k.from.Add(applyTime)) && (k.to.IsZero() || s.End.Before(k.to)) {
		broken = append(broken, fmt.Sprintf("denied %.1f s after its key had been added", s.Start.Sub(k.from).Seconds()))
	}
	return broken
}

// allowanceKept checks that the limited workspace stays within its allowance in each window,
// over all instances and whatever disturbs them.
func (w *World) allowanceKept(all []Sent) (broken []string) {
	type ran struct{ sent, at time.Time }
	var runs []ran
	for _, s := range all {
		if s.Key == nil || s.Key.workspace != workspaceNames[len(workspaceNames)-1] {
			continue
		}
		for _, r := range w.ledger.Runs(s.ID) {
			runs = append(runs, ran{s.Start, r.At})
		}
	}
	slices.SortFunc(runs, func(a, b ran) int { return a.at.Compare(b.at) })
	most := int((hotRate*quotaWindow.Seconds()+hotRate)*(1+quotaOver) + quotaSlack)
	for i := range runs {
		from, n := runs[i].sent, 0
		for _, r := range runs {
			if !r.sent.Before(from) && r.at.Before(from.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			return []string{fmt.Sprintf("allowance: %d runs within %s from %.2f s on, %d are allowed", n, quotaWindow, from.Sub(w.began).Seconds(), most)}
		}
	}
	return nil
}
