package director

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"hornbeamstream.example/core/loader"
)

// childKey makes the test binary act as an instance: "polite" exits at SIGTERM,
// "stubborn" does not, "broken" exits at once with 3.
const childKey = "HORNBENCH_TEST_CHILD"

func TestMain(m *testing.M) {
	switch os.Getenv(childKey) {
	case "":
		os.Exit(m.Run())
	case "broken":
		os.Exit(3)
	case "stubborn":
		signal.Ignore(syscall.SIGTERM)
	}
	fmt.Println("ready")
	time.Sleep(time.Minute)
}

// Guards against processes that outlive the demo and exits that go unnoticed.
func TestFleet(t *testing.T) {
	for kind, want := range map[string]string{
		"polite": "signal: terminated", "stubborn": "signal: killed", "broken": "exit status 3",
	} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(childKey, kind)
			d := &Deployment{Settings: []loader.Settings{{Name: "x"}}, Files: []string{"-"}}
			f := newFleet(d, Options{Binary: os.Args[0], Logs: t.TempDir(), Procs: 1})
			is.NoErr(f.startAll())
			p := f.list[0]
			if kind == "broken" {
				is.Equal(fmt.Sprint(p.wait(10*time.Second)), want)
				is.True(!p.reachable())
			} else {
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if b, _ := os.ReadFile(f.log(p)); len(b) > 0 {
						break
					}
				}
				is.True(p.reachable())
				is.True(errors.Is(p.wait(0), errStays))
			}
			f.stopAll()
			is.Equal(fmt.Sprint(p.wait(time.Second)), want)
			is.True(errors.Is(syscall.Kill(p.cmd.Process.Pid, 0), syscall.ESRCH))
		})
	}
}
