package director

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/core/loader"
)

// Guards against a rolling restart that stops two instances of a failure domain
// or empties two failure domains at once, and against one that leaves some out.
func TestQueue(t *testing.T) {
	is := is.New(t)
	var list []*process
	for _, domain := range []string{"a", "a", "b", "c", "c", "d"} {
		list = append(list, &process{settings: loader.Settings{Domain: domain}})
	}
	q := newQueue(list)
	first, order := q.next(), ""
	for range len(list) - 1 {
		second := q.next()
		order += first.settings.Domain + second.settings.Domain + " "
		q.done(first)
		first = second
	}
	q.done(first)
	is.Equal(order, "ab ba ac cd dc ")
	is.Equal(q.next(), nil)
	is.Equal(slowest([]stop{{"e", at(0), at(700)}, {"e", at(0), at(900)}, {"e", at(0), at(1)}}), int64(900))
}
