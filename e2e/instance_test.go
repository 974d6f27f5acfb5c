package e2e

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shoenig/test/must"
)

type handler = http.Handler

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// instance is one entry instance: its addresses and the processes that ran
// there, one after another.
type instance struct {
	site            *site
	index           int
	name            string
	zone            string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	settingsPath    string
	peerLinks       map[int]*linkProxy
	view            platformView

	mu    sync.Mutex
	procs []*process
}

// process is one run of a daemon.
type process struct {
	cmd     *exec.Cmd
	started time.Time
	exited  chan struct{}
	err     error

	mu sync.Mutex
	// termSentAt and killSentAt are when SIGTERM and SIGKILL were sent; zero if
	// they were not.
	termSentAt, killSentAt time.Time
	pauses                 []interval
	lines                  []logLine
}

// interval is a time interval; end is zero while it lasts.
type interval struct{ begin, end time.Time }

func (i interval) overlaps(begin, end time.Time) bool {
	return !i.begin.After(end) && (i.end.IsZero() || !i.end.Before(begin))
}

// logLine is one line of a daemon's log and the time at which it was read.
type logLine struct {
	at   time.Time
	text string
}

// field returns the value of a key without its quotes.
func (l logLine) field(key string) string {
	_, rest, found := strings.Cut(" "+l.text, " "+key+"=")
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

// start starts a new incarnation.
func (in *instance) start() *process {
	path := daemonPath
	if in.site.cfg.guardsOff != "" {
		path = guardsOffPath
	}
	cmd := exec.Command(path, "-settings", in.settingsPath, "-log-level", "info")
	cmd.Env = append(os.Environ(), "BALSAM_GUARDS_OFF="+in.site.cfg.guardsOff)
	// Pdeathsig leaves no process behind when the test is killed from outside.
	// The process group of its own keeps the kernel from sending SIGHUP to a
	// paused process when the shell that started the test exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	out, write, err := os.Pipe()
	must.NoError(in.site.t, err)
	cmd.Stdout, cmd.Stderr = write, write
	must.NoError(in.site.t, cmd.Start())
	_ = write.Close()
	p := &process{cmd: cmd, started: time.Now(), exited: make(chan struct{})}
	go p.readLog(out)
	in.mu.Lock()
	in.procs = append(in.procs, p)
	in.mu.Unlock()
	return p
}

func (p *process) readLog(from *os.File) {
	defer from.Close()
	lines := bufio.NewReader(from)
	for {
		text, err := lines.ReadString('\n')
		if text != "" {
			p.mu.Lock()
			p.lines = append(p.lines, logLine{time.Now(), strings.TrimSpace(text)})
			p.mu.Unlock()
		}
		if err != nil {
			break
		}
	}
	p.err = p.cmd.Wait()
	close(p.exited)
}

// logLines returns the lines so far.
func (p *process) logLines() []logLine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]logLine(nil), p.lines...)
}

// find returns the first line since a time that contains all the texts.
func (p *process) find(after time.Time, texts ...string) (logLine, bool) {
	for _, l := range p.logLines() {
		if l.at.Before(after) {
			continue
		}
		all := true
		for _, t := range texts {
			all = all && strings.Contains(l.text, t)
		}
		if all {
			return l, true
		}
	}
	return logLine{}, false
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// current returns the latest process.
func (in *instance) current() *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.procs[len(in.procs)-1]
}

func (in *instance) processes() []*process {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]*process(nil), in.procs...)
}

// kill sends SIGKILL and waits until the process has ended.
func (in *instance) kill() {
	p := in.current()
	p.mu.Lock()
	p.killSentAt = time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop requests a graceful shutdown and returns when the process has ended. It
// kills the process and returns false if that takes longer than any request
// may.
func (in *instance) stop() bool {
	p := in.current()
	p.mu.Lock()
	p.termSentAt = time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(2 * livenessTimeout):
		in.kill()
		return false
	}
}

func (in *instance) pause() {
	p := in.current()
	p.mu.Lock()
	p.pauses = append(p.pauses, interval{begin: time.Now()})
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
}

func (in *instance) resume() {
	p := in.current()
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	p.pauses[len(p.pauses)-1].end = time.Now()
	p.mu.Unlock()
}

// killAll kills every process of the instance that still runs.
func (in *instance) killAll() {
	for _, p := range in.processes() {
		if !p.hasExited() {
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
	}
}

// probe reports whether a file is in force, without running a request on an
// endpoint.
func (in *instance) probe(revision uint64, variant int) (inForce bool, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+in.callerAddress+probePath(revision, variant), nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+keyOf(organisations[0]))
	req.Header.Set("Balsam-Tier", "nobody")
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusForbidden, err
}

// waitReady waits until the instance has the first file in force and has logged
// that it is ready.
func (in *instance) waitReady() {
	p := in.current()
	for end := time.Now().Add(livenessTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, ok := p.find(time.Time{}, "event=ready ready=true"); ok {
			return
		}
		if p.hasExited() {
			break
		}
	}
	in.site.t.Errorf("%s is not ready:\n%s", in.name, in.dump())
}

// waitFile waits until a file is in force on the instance.
func (in *instance) waitFile(f publishedFile) bool {
	for end := time.Now().Add(livenessTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok, err := in.probe(f.revision, f.variant); err == nil && ok {
			return true
		}
	}
	return false
}

// dump returns the logs of all processes of the instance.
func (in *instance) dump() string {
	var b strings.Builder
	for i, p := range in.processes() {
		fmt.Fprintf(&b, "-- %s run %d started %s\n", in.name, i+1, p.started.Format(traceTimeFormat))
		for _, l := range p.logLines() {
			fmt.Fprintf(&b, "%s %s\n", l.at.Format(traceTimeFormat), l.text)
		}
	}
	return b.String()
}

// traceTimeFormat is the format of times in traces.
const traceTimeFormat = "15:04:05.000"

// revisions returns the revisions that a process adopted, in order.
func (p *process) revisions() []uint64 {
	var all []uint64
	for _, l := range p.logLines() {
		if strings.Contains(l.text, "file_adopted") && !strings.Contains(l.text, "file_not_adopted") {
			n, _ := strconv.ParseUint(l.field("revision"), 10, 64)
			all = append(all, n)
		}
	}
	return all
}
