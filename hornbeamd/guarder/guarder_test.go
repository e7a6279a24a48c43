package guarder

import (
	"testing"

	"github.com/matryer/is"
)

func TestDo(t *testing.T) {
	is := is.New(t)
	var counted []string
	g := Recoverer{OnPanic: func(kind string) { counted = append(counted, kind) }}
	is.True(g.Do("event", func() {}))
	is.True(!g.Do("event", func() { panic("unexpected") }))
	is.True(!g.Do("message", func() { var m map[string]int; m["a"] = 1 }))
	is.Equal(counted, []string{"event", "message"})
	is.True(!Recoverer{}.Do("event", func() { panic("unexpected") }))
}
