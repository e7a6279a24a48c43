package soaker

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance on its own loopback address.
const (
	frontPort     = 8381
	directoryPort = 8383
	readyPort     = 8388
	beaconPort    = 7200
)

// Instance is one hornplatform process that is started again and again.
type Instance struct {
	Name, IP, Domain, Region string

	binary string
	dir    string
	proxy  *Proxy

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
	log     *os.File
	// stopping tells that a planned stop goes on.
	stopping bool
	// slowest is the longest planned stop so far.
	slowest time.Duration
	// disturbed has the times of pauses, kills, stops and starts, paused those of pauses.
	disturbed, paused []span
}

// newInstance writes the settings of an instance whose calls to the store pass
// through a proxy of their own. Grace is the length of a planned stop in seconds.
func newInstance(binary, dir, name, ip, domain, region, store string, domains map[string]string, grace int) (i *Instance, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance %s: %w", name, err)
		}
	}()
	i = &Instance{Name: name, IP: ip, Domain: domain, Region: region, binary: binary, dir: dir}
	if i.proxy, err = startProxy("127.0.0.1:0", store); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	zones := ""
	for d, r := range domains {
		zones += fmt.Sprintf("%s = %q\n", d, r)
	}
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
region = %q
internalPorts = [%d, %d]
bootstrap = false
bounds = ["graceS=%d", "retryRatio=0.2", "retrySlack=50", "retryWindowS=10", "coldSlack=5", "ttl_max_s=5", "quotaWindowS=5", "quotaOver=0.1", "quotaSlack=20"]
[zones]
%s[listen]
front = "%s:%d"
directory = "%s:%d"
ready = "%s:%d"
[provider]
address = %q
`, name, ip, domain, region, beaconPort, beaconPort+15, grace, zones, ip, frontPort, ip, directoryPort, ip, readyPort, i.proxy.Address())
	return i, os.WriteFile(i.settings(), []byte(text), 0o644)
}

func (i *Instance) settings() string { return filepath.Join(i.dir, i.Name+".toml") }

// Front is the address for callers.
func (i *Instance) Front() string { return fmt.Sprintf("%s:%d", i.IP, frontPort) }

// Start starts the process.
func (i *Instance) Start() error {
	cmd := exec.Command(i.binary)
	cmd.Env = append(os.Environ(), "HORNBEAMSTREAM_SETTINGS="+i.settings())
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.mu.Lock()
	i.process, i.done, i.stopping = cmd.Process, done, false
	i.mu.Unlock()
	i.disturb(time.Now())
	go func() {
		// The exit status of a killed process says nothing.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (i *Instance) signal(s os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The process may have ended.
	_ = i.process.Signal(s)
}

// disturb notes a time in which the process did not run as usual.
func (i *Instance) disturb(from time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = append(i.disturbed, span{from, time.Now()})
}

// undisturbed tells whether the process ran as usual in a span of time.
func (i *Instance) undisturbed(from, to time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !overlap(i.disturbed, from, to)
}

// Pause stops the process for some time.
func (i *Instance) Pause(d time.Duration) {
	from := time.Now()
	i.signal(syscall.SIGSTOP)
	time.Sleep(d)
	i.signal(syscall.SIGCONT)
	i.disturb(from)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.paused = append(i.paused, i.disturbed[len(i.disturbed)-1])
}

// longPauses returns the pauses that the instance must have noticed.
func (i *Instance) longPauses() (all []span) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.paused {
		if p.to.Sub(p.from) >= longPause {
			all = append(all, p)
		}
	}
	return all
}

// Kill ends the process at once and waits for its end.
func (i *Instance) Kill() {
	defer i.disturb(time.Now())
	i.signal(os.Kill)
	i.wait()
}

// Terminate ends the process by a planned stop.
func (i *Instance) Terminate() {
	defer i.disturb(time.Now())
	began := time.Now()
	i.mu.Lock()
	i.stopping = true
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	i.wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.slowest = max(i.slowest, time.Since(began))
}

func (i *Instance) wait() {
	i.mu.Lock()
	done := i.done
	i.mu.Unlock()
	<-done
}

// Ready asks the instance whether it takes requests.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", i.IP, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
