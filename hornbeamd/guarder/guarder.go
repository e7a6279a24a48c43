// Package guarder keeps a process running when one piece of its work panics: a
// request, a message or an event.
package guarder

import (
	"fmt"
	"runtime/debug"

	"github.com/go-logr/logr"
)

// Guard runs work that may panic. Its zero value neither logs nor counts.
type Recoverer struct {
	Log logr.Logger
	// Count is told what kind of work has panicked; nil for none.
	OnPanic func(what string)
}

// Do calls f and reports whether it has returned. A panic is logged with its
// stack and counted; what names the kind of work.
func (g Recoverer) Do(what string, f func()) (ok bool) {
	defer func() {
		if !ok {
			g.Report(what, recover())
		}
	}()
	f()
	return true
}

// Note logs and counts a panic that was recovered elsewhere.
func (g Recoverer) Report(what string, cause any) {
	if g.OnPanic != nil {
		g.OnPanic(what)
	}
	g.Log.Error(fmt.Errorf("panic: %v", cause), "panic", "what", what, "stack", string(debug.Stack()))
}
