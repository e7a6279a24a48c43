package dispatcher

import (
	"crypto/sha256"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/allocator"
	"hornbeamstream.example/core/steerer"
)

// Workspace is a configured workspace with this instance's share of its allowance.
type Workspace struct {
	steerer.Workspace
	Share *allocator.Share
}

// Limited reports whether the workspace has an allowance.
func (w *Workspace) Limited() bool { return w.Rate > 0 || w.Burst > 0 }

// keyDigest is the digest of a key. The time of a look-up by it tells nothing of the keys.
type keyDigest [sha256.Size]byte

// HasWorkspaces reports whether requests need a key. The table may be nil.
func (t *Table) HasWorkspaces() bool { return t != nil && len(t.workspaceList) > 0 }

// Workspace returns the workspace that holds a key, nil if there is none.
func (t *Table) Workspace(key []byte) *Workspace {
	if len(key) == 0 {
		return nil
	}
	return t.workspaces[sha256.Sum256(key)]
}

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []*Workspace { return t.workspaceList }

// addWorkspaces adds the view's workspaces to the table. Their shares outlive it.
func (b *Builder) addWorkspaces(t *Table) {
	if b.workspaceConfig != t.View.Config {
		b.workspaceConfig = t.View.Config
		b.indexWorkspaces(t.View.Config.Workspaces)
	}
	t.workspaces, t.workspaceList = b.workspacesByKey, b.workspaces
	for _, w := range b.workspaces {
		w.Share.Limit(b.Bounds.Allowance(&w.Workspace).Bound(), len(t.View.Peers))
	}
}

// indexWorkspaces makes the workspaces of a configuration and finds them by their keys.
func (b *Builder) indexWorkspaces(all []steerer.Workspace) {
	b.workspaces, b.workspacesByKey = nil, make(map[keyDigest]*Workspace, 2*len(all))
	for _, w := range all {
		workspace := &Workspace{Workspace: w, Share: b.shares[w.Name]}
		if workspace.Share == nil {
			workspace.Share = &allocator.Share{}
			workspace.Share.SetSeed(xxhash.Sum64String(b.Self.Name + " " + w.Name))
			b.shares[w.Name] = workspace.Share
		}
		b.workspaces = append(b.workspaces, workspace)
		for _, key := range w.Keys {
			b.workspacesByKey[sha256.Sum256([]byte(key))] = workspace
		}
	}
	if len(b.shares) > len(all) {
		for name := range b.shares {
			if !slices.ContainsFunc(all, func(w steerer.Workspace) bool { return w.Name == name }) {
				delete(b.shares, name)
			}
		}
	}
}

// SampleUsage returns the use of the workspaces' allowances by this instance, in the order of
// the configuration.
func (b *Builder) SampleUsage(now int64) []allocator.Report {
	all := make([]allocator.Report, len(b.workspaces))
	for i, w := range b.workspaces {
		all[i] = w.Share.Sample(now)
	}
	return all
}

// ApplyTotals applies the use of the allowances by all instances, in the order of the
// configuration. Instances is their number.
func (b *Builder) ApplyTotals(first int, totals []allocator.Total, instances int, at int64) {
	for i, total := range totals {
		if first+i >= len(b.workspaces) {
			return
		}
		w := b.workspaces[first+i]
		use := w.Share.Use()
		w.Share.Update(allocator.NewGrant(use.Grant.Bound, use.Demand, total, instances, at))
	}
}
