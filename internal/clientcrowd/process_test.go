package clientcrowd

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const (
	// memoryMB is limits.memory_mb of the processes, at which a machine kills them.
	memoryMB = 96
	// descriptors is the limit on open descriptors of the processes. It leaves room for
	// two of each client and 200 for files.
	descriptors = 1_000
	// answerTimeout is how long a process may take until it answers an ordinary
	// request. It is longer than all its limits on the time of a request together.
	answerTimeout = 60 * time.Second
	// sampleInterval is the interval at which a process is observed.
	sampleInterval = 20 * time.Millisecond
	// settleTime is how long the peak memory must not have grown before it is compared.
	settleTime = time.Second
	// settleTimeout limits the wait for that.
	settleTimeout = 20 * time.Second
	// bannedMemoryFactor is the multiple of the memory limit at which a process is
	// killed, to protect the machine.
	bannedMemoryFactor = 12
)

// daemonBinary is the path of balsamd, built by TestMain without the race detector,
// which multiplies its memory.
var daemonBinary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clientcrowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonBinary = filepath.Join(dir, "balsamd")
	out, err := exec.Command("go", "build", "-o", daemonBinary, "github.com/balsamstair/balsamstair/cmd/balsamd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building balsamd: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one balsamd process and what was observed of it.
type process struct {
	caller, operator string
	descriptorLimit  int
	pid              int
	exited           chan struct{}
	// peakKB is the peak resident memory in kB, lastGrown the time in Unix nanoseconds
	// at which it last grew, peakDescriptors the largest number of open descriptors
	// that was seen.
	peakKB, lastGrown, peakDescriptors atomic.Int64
}

// addresses counts the loopback addresses in use.
var addresses atomic.Int64

// startProcess starts a process and its stand-ins and waits until it serves.
func startProcess(t *testing.T, descriptorLimit int) *process {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, addresses.Add(1))
	p := &process{caller: ip + ":7001", operator: ip + ":7002", descriptorLimit: descriptorLimit, exited: make(chan struct{})}
	storeAddress := serve(t, newStore(t, serve(t, http.HandlerFunc(serveEndpoint))))
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	must.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `instance = "i"
availability_zone = "zone"
caller_address = %q
operator_address = %q
gossip_address = %q
platform_address = %q
seeds = [%[3]q]
[bounds]
revocation_ms = 5000
[limits]
memory_mb = %[5]d
`, p.caller, p.operator, ip+":7003", storeAddress, memoryMB), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	must.NoError(t, err)
	defer func() { _ = log.Close() }()
	// exec keeps the process ID of the shell, which lowers the limit.
	command := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" -routed -settings "$1"`, descriptorLimit), daemonBinary, settings)
	command.Stdout, command.Stderr = log, log
	must.NoError(t, command.Start())
	p.pid = command.Process.Pid
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	var observer sync.WaitGroup
	observer.Go(p.observe)
	t.Cleanup(func() {
		p.kill()
		<-p.exited
		observer.Wait()
		if t.Failed() {
			logEnd(t, log.Name())
		}
	})
	p.requireServes(t)
	t.Logf("before: peak memory %d kB, descriptors %d", p.peakKB.Load(), p.peakDescriptors.Load())
	return p
}

// logEnd logs the last lines of a process that are not about single requests.
func logEnd(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	const shownBytes = 2_000
	var shown []byte
	for line := range bytes.Lines(text) {
		if !bytes.Contains(line, []byte("event=request_ended")) {
			shown = append(shown, line...)
		}
	}
	t.Logf("end of the log:\n%s", shown[max(0, len(shown)-shownBytes):])
}

// kill ends the process by its ID, unless it has ended.
func (p *process) kill() {
	select {
	case <-p.exited:
	default:
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
	}
}

// observe records the memory and the descriptors until the process has ended.
func (p *process) observe() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		if kb := readPeakKB(p.pid); kb > p.peakKB.Load() {
			p.peakKB.Store(kb)
			p.lastGrown.Store(time.Now().UnixNano())
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
			p.peakDescriptors.Store(max(p.peakDescriptors.Load(), int64(len(open))))
		}
		if p.peakKB.Load() > bannedMemoryFactor*memoryMB<<10 {
			p.kill()
		}
	}
}

// readPeakKB returns the peak resident memory of a process in kB, or zero if it has
// ended.
func readPeakKB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb
		}
	}
	return 0
}

// settle waits until the peak memory no longer grows.
func (p *process) settle() {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		if time.Since(time.Unix(0, p.lastGrown.Load())) > settleTime {
			return
		}
	}
}

// check checks what each test of this package requires, while the crowd is connected.
func (p *process) check(t *testing.T) {
	t.Helper()
	p.settle()
	p.requireServes(t)
	t.Logf("after: peak memory %d kB of %d kB, most descriptors %d of %d",
		p.peakKB.Load(), memoryMB<<10, p.peakDescriptors.Load(), p.descriptorLimit)
	must.Less(t, memoryMB<<10, p.peakKB.Load(), must.Sprint("peak resident memory in kB"))
	must.Less(t, int64(p.descriptorLimit), p.peakDescriptors.Load(), must.Sprint("open descriptors"))
}

// requireServes requires that an ordinary request is answered and the process ready.
func (p *process) requireServes(t *testing.T) {
	t.Helper()
	p.requireOK(t, http.MethodPost, "http://"+p.caller+plainPath+"?bytes=100", "small body")
	p.requireOK(t, http.MethodGet, "http://"+p.operator+"/readyz", "")
}

// requireOK requires that the process lives and answers a request on a new connection
// with 200 in the end.
func (p *process) requireOK(t *testing.T, method, url, body string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		select {
		case <-p.exited:
			t.Fatalf("the process has ended; peak memory %d kB of %d kB", p.peakKB.Load(), memoryMB<<10)
		default:
		}
		var status int
		if status, last = ask(method, url, body); status == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s %s is not answered with 200: %s; peak memory %d kB of %d kB, most descriptors %d of %d", method, url, last,
		p.peakKB.Load(), memoryMB<<10, p.peakDescriptors.Load(), p.descriptorLimit)
}

// ask sends one request on a new connection and returns the status of its answer, or
// zero, and a description.
func ask(method, url, body string) (status int, description string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Balsamstair-Attempt-Id", "ordinary")
	request.Header.Set("Balsamstair-Key", key)
	const timeout = 10 * time.Second
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Status
}

const (
	// clientSendBytes and clientReceiveBytes are the sizes of the socket buffers of a
	// client, small so that the kernel holds little for it.
	clientSendBytes    = 64 << 10
	clientReceiveBytes = 4 << 10
	// clientSegmentBytes is the segment size that every IPv4 host must take. With that of
	// loopback, the kernel takes megabytes of answers that a client does not read.
	clientSegmentBytes = 536
)

// setSocket sets the options of a client's socket before it connects.
func setSocket(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		for _, o := range []struct{ level, option, value int }{
			{syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegmentBytes},
			{syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientReceiveBytes},
			{syscall.SOL_SOCKET, syscall.SO_SNDBUF, clientSendBytes},
		} {
			err = errors.CombineErrors(err, os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), o.level, o.option, o.value)))
		}
	})
	return errors.CombineErrors(err, controlErr)
}

// sendTimeout is how long a client sends at most. A client that the process neither
// reads nor closes stays connected.
const sendTimeout = 10 * time.Second

// connectCrowd opens connections that stay open until the test ends, or until the process
// closes them. Each sends with send, which returns at the latest after sendTimeout. It
// returns when all have.
func connectCrowd(t *testing.T, clients int, address string, send func(n int, conn net.Conn)) {
	t.Helper()
	var senders sync.WaitGroup
	for n := range clients {
		dialer := net.Dialer{Timeout: sendTimeout, Control: setSocket}
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			// The process refuses the client.
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		must.NoError(t, conn.SetWriteDeadline(time.Now().Add(sendTimeout)))
		senders.Go(func() { send(n, conn) })
	}
	senders.Wait()
}
