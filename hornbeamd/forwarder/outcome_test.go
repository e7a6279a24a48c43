package forwarder_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"
)

// runCounter counts how often each request ran at upstreams that inject random
// faults.
type runCounter struct {
	mu   sync.Mutex
	rand *rand.Rand
	runs map[string]int
}

func (l *runCounter) randN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.IntN(n)
}

func (l *runCounter) add(id string, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] += n
	return l.runs[id]
}

func (l *runCounter) respond(c net.Conn, a received) bool {
	fault := l.randN(20)
	if fault == 0 {
		return refuse(c, a.id)
	}
	l.add(a.id, 1)
	switch fault {
	case 1:
		return false
	case 2:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nHorn-Id: "+a.id+"\r\nContent-Length: 100\r\n\r\nabc")
		return false
	case 3:
		time.Sleep(30 * time.Millisecond)
	case 4:
		resetConn(c)
		return false
	case 5:
		reply(c, a.id, a.id)
		return reply(c, "x", "wrong")
	}
	return reply(c, a.id, a.id)
}

// Guards against outcomes that contradict what ran at the upstreams, when first
// sends and repeats race through three instances, with short deadlines and
// faults.
func TestOutcomesMatchRuns(t *testing.T) {
	l := &runCounter{rand: rand.New(rand.NewPCG(1, 2)), runs: map[string]int{}}
	var nodes []*instance
	for i := range 3 {
		nodes = append(nodes, newInstance(t, strconv.Itoa(i), addRetries(newService("posting", true, newUpstream(t, l.respond)), 1000)))
	}
	for i, n := range nodes {
		for j, w := range nodes {
			if i != j {
				n.Table().Services["posting"].Peers = append(n.Table().Services["posting"].Peers, w.peer("posting"))
				n.others = append(n.others, w)
			}
		}
	}
	sent := firstSentNow()
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := range 60 {
				l.send(t, nodes, fmt.Sprintf("%d-%d", w, i), sent)
			}
		})
	}
	wg.Wait()
	for id, n := range l.runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// send sends a request up to four times, sometimes two copies concurrently.
func (l *runCounter) send(t *testing.T, nodes []*instance, id, sent string) {
	for attempt := 1; attempt <= 4; attempt++ {
		answers := make(chan response, 2)
		copies := 1 + l.randN(4)/3
		for i := range copies {
			within := time.Duration(1+l.randN(100)*l.randN(10)) * time.Millisecond
			n := nodes[l.randN(3)]
			go func() {
				answers <- sendRequest(n.front, "POST", "/s/posting/", "x", "Horn-Id", id,
					"Horn-Attempt", strconv.Itoa(attempt+i), "Horn-Sent", sent, "Horn-Deadline", millisFromNow(within))
			}()
		}
		ran := false
		for range copies {
			got := <-answers
			runs := l.add(id, 0)
			ran = ran || got.outcome == "ran"
			if got.outcome == "ran" && (runs != 1 || got.body != id) || got.outcome == "notrun" && copies == 1 && runs != 0 {
				t.Errorf("%s: %s %s with %d runs, body %q", id, got.outcome, got.reason, runs, got.body)
			}
		}
		if ran {
			return
		}
	}
}
