// Package guarder recovers panics, so that a panic in the handling of one request,
// message or event doesn't end the process.
package guarder

import (
	"fmt"
	"runtime/debug"

	"github.com/go-logr/logr"
)

// Recoverer recovers and reports panics. The zero value recovers them silently.
type Recoverer struct {
	Log logr.Logger
	// OnPanic, if not nil, is called with the kind of work that panicked.
	OnPanic func(kind string)
}

// Do calls f and reports whether it returned without a panic. It recovers a panic
// and reports it with the given kind of work.
func (g Recoverer) Do(kind string, f func()) (ok bool) {
	defer func() {
		if !ok {
			g.Report(kind, recover())
		}
	}()
	f()
	return true
}

// Report logs a recovered panic with the stack and calls OnPanic.
func (g Recoverer) Report(kind string, value any) {
	if g.OnPanic != nil {
		g.OnPanic(kind)
	}
	g.Log.Error(fmt.Errorf("panic: %v", value), "panic", "what", kind, "stack", string(debug.Stack()))
}
