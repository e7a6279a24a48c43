package director

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of CPU times in /proc, fixed by the kernel's interface.
const tick = 10 * time.Millisecond

// Positions of user and system time in /proc/<pid>/stat, counted after the
// command's closing parenthesis.
const (
	userField   = 11
	systemField = 12
)

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	s := string(b)
	fields := strings.Fields(s[strings.LastIndexByte(s, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	var sum int64
	for _, f := range []string{fields[userField], fields[systemField]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * tick, nil
}
