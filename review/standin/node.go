package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a process of the system, started with the command of the deploy file.
type node struct {
	name, ip, zone, region string
	ports                  ports
	record                 *record
	process                *os.Process
	done                   chan struct{}

	mu     sync.Mutex
	status string
	ended  time.Time
}

// ports are those on which a process listens, all free when it starts.
type ports struct{ front, directory, ready, internal int }

// freePorts returns free ports of a loopback address.
func freePorts(ip string) (p ports, err error) {
	for _, port := range []*int{&p.front, &p.directory, &p.ready, &p.internal} {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return p, err
		}
		// All stay open until the last one is chosen, so that they differ.
		defer ln.Close()
		*port = ln.Addr().(*net.TCPAddr).Port
	}
	// The internal port is used over UDP too.
	udp, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(p.internal)))
	if err != nil {
		return p, err
	}
	return p, udp.Close()
}

// limits are those of a small machine in the pages.
type limits struct{ memoryMb, maxFds int }

// command returns the run line of the deploy file.
func command() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run line in the deploy file")
}

// start writes the settings and starts the process with the machine's number of descriptors.
func (n *node) start(dir, storeAddress string, l limits) (err error) {
	if n.ports, err = freePorts(n.ip); err != nil {
		return err
	}
	settings := fmt.Sprintf(`nodeName = %q
role = "front"
machineClass = "front"
serves = ["front", "directory"]
ip = %q
zone = %q
region = %q
internalPorts = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"]
bounds = ["seedLagS=3", "addrReuseS=2", "contactMs=3000", "ackMs=4000", "syncS=4", "drainMs=2500", "graceS=6", "lossSlackMs=200", "applyMs=2500", "revertMs=250", "maxStretchMs=5000", "retryRatio=0.2", "retryWindowS=10", "retrySlack=58", "coldOver=1.5", "coldSlack=5", "evacMs=5000", "recoverS=15", "ttl_max_s=5", "maxShift=0.15"]
[zones]
sofia-a = "sofia"
plovdiv-a = "plovdiv"
[listen]
front = "%s:%d"
ready = "%s:%d"
directory = "%s:%d"
[limits]
cpuShare = 0.32
cores = 1
memoryMb = %d
maxFds = %d
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
`, n.name, n.ip, n.zone, n.region, n.ports.internal, n.ports.internal+15, n.ip, n.ports.front, n.ip, n.ports.ready, n.ip, n.ports.directory, l.memoryMb, l.maxFds, storeAddress)
	file := filepath.Join(dir, n.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return err
	}
	words, err := command()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, n.name+".log"))
	if err != nil {
		return err
	}
	// The shell sets the machine's limit of descriptors and becomes the process.
	cmd := exec.Command("/bin/sh", append([]string{"-c", "ulimit -n " + strconv.Itoa(l.maxFds) + ` && exec "$0" "$@"`}, words...)...)
	cmd.Env = append(os.Environ(), "HORNBEAMSTREAM_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process, n.done = cmd.Process, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.status, n.ended = cmd.ProcessState.String(), time.Now()
		n.mu.Unlock()
		n.record.line("ended", "node", n.name, "status", cmd.ProcessState.String())
		close(n.done)
	}()
	return nil
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if n.process != nil && n.running() {
		_ = n.process.Signal(syscall.SIGKILL)
		<-n.done
	}
}

// memory returns the resident memory of the process in MB.
func (n *node) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, n.ports.front) }
func (n *node) ready() string { return fmt.Sprintf("%s:%d", n.ip, n.ports.ready) }

// descriptors returns the number of open descriptors.
func (n *node) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
