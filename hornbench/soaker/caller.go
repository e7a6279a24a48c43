package soaker

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// callerTime is how long callers wait for an answer.
	callerTime = 1200 * time.Millisecond
	// lookupTime is how long callers keep the answer to a look-up.
	lookupTime = 2 * time.Second
	// host is the host of all routes.
	host = "soak.example"
)

// Sent is one request of a caller and what came back.
type Sent struct {
	ID, Method, URI, Body string
	// Once tells that the request must not run twice.
	Once     bool
	Instance string
	Start    time.Time
	End      time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Status is 0 if no answer came; then Err says why.
	Status        int
	Err           string
	Stamp, Answer string
	Echo          string
	// Key is the key of a workspace that was sent, nil for none.
	Key *workspaceKey
}

// Journal has all requests. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	sent map[string]*Sent
}

func (j *Journal) begin(s *Sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.sent == nil {
		j.sent = map[string]*Sent{}
	}
	j.sent[s.ID] = s
}

// All returns the requests that have ended, in no order.
func (j *Journal) All() (all []Sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.sent {
		if !s.End.IsZero() {
			all = append(all, *s)
		}
	}
	return all
}

func (j *Journal) end(s *Sent, edit func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	edit()
	s.End = time.Now()
}

// caller sends requests one after the other.
type caller struct {
	name      string
	region    string
	instances []*Instance
	journal   *Journal
	random    *rand.Rand
	clients   map[string]*fasthttp.HostClient
	addresses []string
	asked     time.Time
	count     int
	// popular lets the caller send requests that others send too.
	popular bool
	// pickKey returns the key of a request, nil if it needs none.
	pickKey func(random *rand.Rand) *workspaceKey
}

func newCaller(n int, region string, instances []*Instance, j *Journal, seed uint64) *caller {
	return &caller{
		name: fmt.Sprint("c", n), region: region, instances: instances, journal: j,
		random: rand.New(rand.NewPCG(seed, uint64(n))), clients: map[string]*fasthttp.HostClient{},
	}
}

// run sends requests until done is closed.
func (c *caller) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.IntN(30)) * time.Millisecond):
		}
		if time.Since(c.asked) > lookupTime {
			c.lookup()
		}
		if len(c.addresses) > 0 {
			c.send(c.addresses[c.random.IntN(len(c.addresses))])
		}
	}
}

// lookup asks instances in random order which ones to use. Without an answer the
// old one stays.
func (c *caller) lookup() {
	client := http.Client{Timeout: time.Second}
	for _, k := range c.random.Perm(len(c.instances))[:min(3, len(c.instances))] {
		i := c.instances[k]
		res, err := client.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=%s&region=%s&zone=%s", i.IP, directoryPort, host, c.region, i.Domain))
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && json.Unmarshal(data, &answer) == nil && len(answer.Addresses) > 0 {
			c.addresses, c.asked = answer.Addresses, time.Now()
			return
		}
	}
	c.asked = time.Now().Add(-lookupTime / 2)
}

func (c *caller) send(address string) {
	id := fmt.Sprintf("%s-%d", c.name, c.count+1)
	s := &Sent{Method: http.MethodGet, URI: "/safe/" + id + "?a=%2F"}
	if c.random.IntN(2) == 0 {
		s.Once, s.Method, s.URI, s.Body = true, http.MethodPost, "/once/"+id, "body of "+id
	}
	key := strconv.Itoa(c.random.IntN(40))
	if c.popular && !s.Once {
		if uri, ok := popularRequest(c.random); ok {
			s.URI, key = uri, "popular"
		}
	}
	c.exchange(s, address, key)
}

// exchange sends a request to an instance and keeps what comes back.
func (c *caller) exchange(s *Sent, address, key string) {
	c.count++
	s.ID, s.Instance, s.Start = fmt.Sprintf("%s-%d", c.name, c.count), address, time.Now()
	s.Deadline = s.Start.Add(callerTime)
	if c.pickKey != nil {
		s.Key = c.pickKey(c.random)
	}
	c.journal.begin(s)
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	q.SetRequestURI("http://" + address + s.URI)
	q.URI().DisablePathNormalizing = true
	q.Header.SetMethod(s.Method)
	q.SetBodyString(s.Body)
	q.Header.SetHost(host)
	q.UseHostHeader = true
	q.Header.Set("X-Request-Id", s.ID)
	q.Header.Set("X-Deadline-Ms", strconv.Itoa(int(callerTime.Milliseconds())))
	q.Header.Set("Cookie", "X-Affinity-Key="+key)
	if s.Key != nil {
		q.Header.Set("Authorization", "Bearer "+s.Key.value)
		q.Header.Set("X-Tenant", "forged")
	}
	err := c.client(address).DoDeadline(q, a, s.Deadline)
	c.journal.end(s, func() {
		if err != nil {
			s.Err = err.Error()
			return
		}
		s.Status, s.Answer = a.StatusCode(), string(a.Body())
		s.Stamp, s.Echo = string(a.Header.Peek("X-Response-Stamp")), string(a.Header.Peek("X-Request-Id"))
	})
	if err != nil {
		delete(c.clients, address)
	}
}

// client returns the client for an instance. It never repeats a request.
func (c *caller) client(address string) *fasthttp.HostClient {
	if c.clients[address] == nil {
		c.clients[address] = &fasthttp.HostClient{
			Addr:                      address,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      func(a string) (net.Conn, error) { return net.DialTimeout("tcp", a, time.Second) },
		}
	}
	return c.clients[address]
}
