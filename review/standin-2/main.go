// Command standin-2 plays the cases 6 to 10 in review/: a store, servers and clients that
// follow the users' pages, around processes of the system that are started with the run line
// of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// world is what a case has: the store, the servers, the processes and the record.
type world struct {
	trouble bool
	dir     string
	store   *store
	nodes   []*node
	// keepers watch the memory of the processes.
	keepers sync.WaitGroup

	mu     sync.Mutex
	out    *os.File
	began  time.Time
	served map[string][]string // request id to the servers that ran it
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// ran notes that a server runs a request.
func (w *world) ran(id, server string) {
	w.mu.Lock()
	w.served[id] = append(w.served[id], server)
	w.mu.Unlock()
}

// runs returns the servers that ran a request.
func (w *world) runs(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.served[id]...)
}

var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) (bool, error), folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, out: out, began: time.Now(), served: map[string][]string{}}
	w.store = newStore()
	end := func() {
		for _, n := range w.nodes {
			n.end()
		}
	}
	defer end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		end()
		os.Exit(exitFailed)
	}()
	broken, err := run(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		w.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
