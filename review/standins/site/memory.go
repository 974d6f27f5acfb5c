package site

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Memory returns the resident memory of the process in kilobytes, or zero if it has
// ended.
func (i *Instance) Memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0])
			return n
		}
	}
	return 0
}
