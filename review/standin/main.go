// Command standin plays the cases in review/ with stand-ins for the platform, the servers
// and the clients, around processes of the system.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f %-8s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		text += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.out, text)
}

// ground is what all cases use.
type ground struct {
	trouble bool
	dir     string
	record  *record
	store   *store
	address string
	servers []*server
	node    *node
}

var cases = map[string]func(*ground) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	code, err := play(cases[os.Args[1]], os.Args[2])
	if err != nil {
		fmt.Println(err)
		code = failed
	}
	os.Exit(code)
}

func play(run func(*ground) (int, error), folder string) (code int, err error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return failed, err
	}
	defer out.Close()
	g := &ground{trouble: os.Getenv("TROUBLE") != "0", record: &record{out: out, start: time.Now()}, store: newStore()}
	if g.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return failed, err
	}
	defer os.RemoveAll(g.dir)
	defer func() {
		if g.node != nil {
			g.node.kill()
		}
	}()
	code, err = run(g)
	g.record.line("result", "exit", code, "error", err)
	fmt.Println("exit", code)
	return code, err
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startStore starts the store and writes the first desired state.
func (g *ground) startStore(config map[string]any) (err error) {
	if g.address, err = freeAddress(); err != nil {
		return err
	}
	g.store.put("config", "main", config)
	return g.store.serve(g.address)
}

// startNode starts a process of the system and waits until it is ready.
func (g *ground) startNode(l limits) error {
	g.node = &node{name: "front-sofia-a-1", ip: fmt.Sprintf("127.91.%d.%d", 1+os.Getpid()>>7&127, 1+os.Getpid()&127), zone: "sofia-a", region: "sofia", record: g.record}
	if err := g.node.start(g.dir, g.address, l); err != nil {
		return err
	}
	for range 100 {
		if g.isReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(g.dir, g.node.name+".log"))
	return fmt.Errorf("the process is not ready: %s", log[max(0, len(log)-2000):])
}

// isReady asks the process whether it is ready, as the platform does.
func (g *ground) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.node.ready() + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// config is a desired state like that of a small deployment.
func config(limits map[string]any, routes [][]any, services [][]any) map[string]any {
	return map[string]any{
		"version": "r7",
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeoutMs", "latencyTargetMs", "priority", "service", "attempts", "sticky", "homeRegions", "trafficSplit"},
			"rows":    routes,
		},
		"services": map[string]any{
			"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStartS", "coldPerS"},
			"rows":    services,
		},
		"limits": limits,
	}
}

// usualLimits are the limits that the pages give as an example.
func usualLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// startUsual starts a store, six servers of one service and a process of the system.
func (g *ground) startUsual(work time.Duration) error {
	routes := [][]any{
		{"r-1", "jepu9.example", "/lepu270/", "safe", 1200, 250, 2, "huvo11a", 2, true, []string{}, nil},
		{"r-2", "jepu9.example", "/xapu221/", "unsafe", 1500, 300, 1, "huvo11a", 2, true, []string{}, nil},
	}
	services := [][]any{{"huvo11a", "/healthz", 330, "h1", false, 3.0, 15.0}}
	if err := g.startStore(config(usualLimits(), routes, services)); err != nil {
		return err
	}
	for i := range 12 {
		u := &server{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: "sofia-a", healthPath: "/healthz", work: work, slots: 12, record: g.record}
		if err := u.start(g.store); err != nil {
			return err
		}
		g.servers = append(g.servers, u)
	}
	return g.startNode(limits{memoryMb: 284, maxFds: 4100})
}

// ran reports whether a server has run a request.
func (g *ground) ran(id string) bool {
	for _, u := range g.servers {
		if u.ran(id) > 0 {
			return true
		}
	}
	return false
}
