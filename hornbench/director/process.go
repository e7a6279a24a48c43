package director

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"hornbeamstream.example/core/loader"
)

// endTimeout is how long the processes have to exit at the end of a run before
// they are killed.
const endTimeout = 2 * time.Second

// demoProcs bounds the threads of one instance, so that ten of them share the
// cores of one machine.
const demoProcs = 3

// environment returns that of a child process with bounded threads.
func environment(procs int) []string {
	return append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", procs))
}

// starter starts processes from one thread that never ends: the kernel sends a
// child its death signal when the thread that started it ends.
type starter struct{ jobs chan func() }

func newStarter() *starter {
	s := &starter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.jobs {
			f()
		}
	}()
	return s
}

func (s *starter) start(c *exec.Cmd) error {
	// Their own process group keeps an interrupt at the terminal from ending
	// them before the ledgers are compared.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s.jobs <- func() { done <- c.Start() }
	return <-done
}

// process is one instance that can be started repeatedly.
type process struct {
	settings loader.Settings
	file     string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error
	leaving bool
}

// fleet is the instances of a deployment.
type fleet struct {
	binary  string
	logs    string
	procs   int
	starter *starter
	list    []*process
}

func newFleet(d *Deployment, o Options) *fleet {
	f := &fleet{binary: o.Binary, logs: o.Logs, procs: o.Procs, starter: newStarter()}
	for i, s := range d.Settings {
		f.list = append(f.list, &process{settings: s, file: d.Files[i]})
	}
	return f
}

func (f *fleet) startAll() error {
	for _, p := range f.list {
		if err := f.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) start(p *process) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start of %s: %w", p.settings.Name, err)
		}
	}()
	log, err := os.OpenFile(f.log(p), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(f.binary, "--settings", p.file)
	c.Stdout, c.Stderr = log, log
	c.Env = environment(f.procs)
	if err := f.starter.start(c); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended, p.err, p.leaving = c, make(chan struct{}), nil, false
	go p.reap(c, p.ended)
	return nil
}

func (f *fleet) log(p *process) string { return filepath.Join(f.logs, p.settings.Name+".log") }

func (p *process) reap(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(ended)
}

// state returns whether the process runs and whether it takes part.
func (p *process) state() (running, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		return false, false
	}
	select {
	case <-p.ended:
		return false, false
	default:
		return true, p.leaving
	}
}

func (p *process) reachable() bool {
	running, leaving := p.state()
	return running && !leaving
}

// signal sends a signal to the process, which is then not expected to take new
// configurations any more.
func (p *process) signal(s syscall.Signal) {
	if running, _ := p.state(); !running {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	_ = p.cmd.Process.Signal(s)
}

var errStays = errors.New("the process does not exit")

// wait waits until the process has exited and returns its error.
func (p *process) wait(timeout time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(timeout):
		return errStays
	}
}

// stopAll ends all processes by their ids.
func (f *fleet) stopAll() {
	for _, p := range f.list {
		p.signal(syscall.SIGTERM)
	}
	end := time.Now().Add(endTimeout)
	for _, p := range f.list {
		if errors.Is(p.wait(time.Until(end)), errStays) {
			p.signal(syscall.SIGKILL)
			_ = p.wait(endTimeout)
		}
	}
}
