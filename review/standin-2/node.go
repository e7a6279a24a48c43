package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is a process of the system on a loopback address of its own.
type node struct {
	name, ip           string
	front, ready, dirs string
	words              []string
	env                string
	memoryMb           int
	// ends counts how often the process ended by itself.
	ends atomic.Int64
	// answered and cut count the requests on kept connections that got a whole answer, and
	// those that a server ran and whose connection ended without one.
	answered, cut atomic.Int64
	world         *world

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// runLine returns the command of the deploy file.
func runLine() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(key) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run line")
}

// freePorts returns ports that are free on an address for TCP and UDP.
func freePorts(ip string, n int) (ports []int, err error) {
	for len(ports) < n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		port := ln.Addr().(*net.TCPAddr).Port
		udp, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		defer udp.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// settings has the figures of the deployment kasa-klub.
const settings = `nodeName = %q
role = "front"
machineClass = "front"
serves = ["front", "directory"]
ip = %q
zone = "sofia-a"
region = "sofia"
internalPorts = [%d, %d]
seeds = []
bootstrap = false
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"]
bounds = ["seedLagS=3", "addrReuseS=2", "contactMs=3000", "ackMs=4000", "syncS=4", "drainMs=2500", "graceS=6", "lossSlackMs=200", "applyMs=2500", "revertMs=250", "maxStretchMs=5000", "retryRatio=0.2", "retryWindowS=10", "retrySlack=58", "coldOver=1.5", "coldSlack=5", "evacMs=5000", "recoverS=15", "ttl_max_s=5", "maxShift=0.15"]
[zones]
sofia-a = "sofia"
plovdiv-a = "plovdiv"
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpuShare = 0.32
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 1
[provider]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startNode starts a process with the given memory and waits until it is ready.
func (w *world) startNode(memoryMb int) (*node, error) {
	k := len(w.nodes) + 1
	n := &node{world: w, memoryMb: memoryMb, name: fmt.Sprintf("front-sofia-a-%d", k), ip: fmt.Sprintf("127.92.%d.%d", 1+os.Getpid()&127, k)}
	ports, err := freePorts(n.ip, 4)
	if err != nil {
		return nil, err
	}
	n.front, n.ready, n.dirs = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1]), fmt.Sprintf("%s:%d", n.ip, ports[2])
	file := filepath.Join(w.dir, n.name+".toml")
	text := fmt.Sprintf(settings, n.name, n.ip, ports[3], ports[3]+15, n.front, n.ready, n.dirs, memoryMb, w.store.address)
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	if n.words, err = runLine(); err != nil {
		return nil, err
	}
	n.env = "HORNBEAMSTREAM_SETTINGS=" + file
	if err := n.start(); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.awaitReady(15 * time.Second)
}

// start starts the process, once more after it has ended.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd, done := exec.Command(n.words[0], n.words[1:]...), make(chan struct{})
	cmd.Env = append(os.Environ(), n.env)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.world.note("process %s starts", n.name)
	go func() {
		_ = cmd.Wait()
		n.world.note("process %s ended: %s", n.name, cmd.ProcessState)
		close(done)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.done = cmd, done
	return nil
}

// awaitReady waits until the process says that it is ready.
func (n *node) awaitReady(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			n.world.note("process %s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// process returns the current process and a channel that is closed when it has ended.
func (n *node) process() (*os.Process, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process, n.done
}

func (n *node) running() bool {
	_, done := n.process()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// end kills the process if it still runs.
func (n *node) end() {
	if n.running() {
		process, done := n.process()
		_ = process.Signal(syscall.SIGKILL)
		<-done
	}
}

// terminate sends SIGTERM.
func (n *node) terminate() error {
	process, _ := n.process()
	n.world.note("SIGTERM to %s", n.name)
	return process.Signal(syscall.SIGTERM)
}

// residentKb returns the resident memory of the process, 0 if it has ended.
func (n *node) residentKb() (kb int) {
	process, _ := n.process()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "VmRSS:") {
			_, _ = fmt.Sscanf(line, "VmRSS: %d", &kb)
		}
	}
	return kb
}

// keepWithinMemory does what the platform does with a process that exceeds the memory of its
// machine, until stop is closed: it kills it and starts it again after half a second.
func (n *node) keepWithinMemory(stop chan struct{}) {
	for noted := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-stop:
			return
		default:
		}
		kb := n.residentKb()
		if time.Since(noted) > 2*time.Second {
			noted = time.Now()
			n.world.note("process %s uses %d MB", n.name, kb>>10)
		}
		if kb > n.memoryMb<<10 {
			n.world.note("process %s uses %d MB, its machine has %d MB: it is killed", n.name, kb>>10, n.memoryMb)
			n.end()
		}
		if !n.running() {
			n.ends.Add(1)
			n.world.note("process %s has ended by itself %d times", n.name, n.ends.Load())
			time.Sleep(500 * time.Millisecond)
			if err := n.start(); err != nil {
				n.world.note("process %s does not start: %v", n.name, err)
				return
			}
		}
	}
}

// allEnded reports whether each process has ended by itself so many times.
func (w *world) allEnded(times int64) bool {
	for _, n := range w.nodes {
		if n.ends.Load() < times {
			return false
		}
	}
	return true
}
