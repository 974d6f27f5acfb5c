// Package site runs a small deployment on loopback addresses: the platform's store,
// runners and instances of balsamd as separate processes, and writes down what was
// sent, answered and run.
package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bounds of the deployment kfo-stair.
const (
	GraceS      = 8
	DrainMs     = 2000
	HeartbeatMs = 1200
)

// Site is a deployment in progress.
type Site struct {
	Store     *Store
	Instances []*Instance
	// Trouble is false if the case is played without its disruption.
	Trouble bool

	dir     string
	started time.Time
	mu      sync.Mutex
	record  *os.File
}

// Instance is one process of balsamd.
type Instance struct {
	Name, Caller, Ready string

	settings, log string
	command       *exec.Cmd
	exited        chan struct{}
}

// Run plays a case: it prepares a deployment of some instances, calls play and ends
// everything. It does not return.
func Run(instances int, play func(s *Site) error) {
	code := NotRun
	s, err := start(instances)
	if err == nil {
		code, err = s.play(play)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
	}
	s.close()
	os.Exit(code)
}

// Violation is the error of a case in which the rule was broken.
type Violation struct{ Text string }

// Error implements error.
func (v Violation) Error() string { return v.Text }

func (s *Site) play(play func(s *Site) error) (int, error) {
	switch err := play(s).(type) {
	case nil:
		s.Note("result: the rule held")
		return Held, nil
	case Violation:
		s.Note("result: the rule was broken: %s", err.Text)
		fmt.Println("broken:", err.Text)
		return Broken, nil
	default:
		s.Note("result: the case could not run: %v", err)
		return NotRun, err
	}
}

func start(instances int) (*Site, error) {
	s := &Site{Store: NewStore(), Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if s.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return s, err
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return s, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, err
	}
	go func() { _ = http.Serve(l, s.Store) }()
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	addresses := make([]addresses, instances)
	var seeds []string
	for n := range addresses {
		if addresses[n], err = freeAddresses(fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250, n+1)); err != nil {
			return s, err
		}
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", addresses[n].gossip))
		}
	}
	for n, a := range addresses {
		i := &Instance{
			Name: fmt.Sprintf("edge-%s-%d", zones[n%3], n/3+1), Caller: a.caller, Ready: a.ready,
			settings: filepath.Join(s.dir, fmt.Sprintf("settings-%d.toml", n)), log: filepath.Join(s.dir, fmt.Sprintf("log-%d", n)),
		}
		text := fmt.Sprintf(`instance = %q
availability_zone = %q
caller_address = %q
operator_address = %q
metrics_address = %q
gossip_address = %q
platform_address = %q
seeds = [%s]
endpoint_heartbeat_ms = %d

[bounds]
revocation_ms = 5000
retry_ratio = 0.2
retry_extra = 54
retry_window_s = 10
grace_s = %d

[limits]
memory_mb = 284
`, i.Name, zones[n%3], a.caller, a.ready, a.metrics, a.gossip, l.Addr(), strings.Join(seeds, ", "), HeartbeatMs, GraceS)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return s, err
		}
		s.Instances = append(s.Instances, i)
		if err := i.Start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// addresses are those of an instance.
type addresses struct{ caller, ready, metrics, gossip string }

// freeAddresses returns addresses with free ports of a host. Each instance has a host of
// its own, so that hardly anything else takes the ports before it does.
func freeAddresses(host string) (addresses, error) {
	var out [4]string
	for n := range out {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return addresses{}, err
		}
		defer l.Close()
		out[n] = l.Addr().String()
	}
	return addresses{out[0], out[1], out[2], out[3]}, nil
}

// Start starts the process.
func (i *Instance) Start() error {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.command = exec.Command(os.Getenv("BALSAMD"), "-routed", "-settings", i.settings)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(i.command, i.exited)
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(sig syscall.Signal) { _ = i.command.Process.Signal(sig) }

// Exited is closed when the process has ended.
func (i *Instance) Exited() <-chan struct{} { return i.exited }

// WaitReady waits until each instance is ready, as the platform finds out, and for
// two seconds more, since traffic starts some time after the machines.
func (s *Site) WaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, i := range s.Instances {
		deadline := time.Now().Add(15 * time.Second)
		for {
			answer, err := client.Get("http://" + i.Ready + "/readyz")
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %v", i.Name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// Note writes a line with the time to the record.
func (s *Site) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record != nil {
		fmt.Fprintf(s.record, "%9.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Log returns what an instance has written.
func (s *Site) Log(i *Instance) string {
	data, _ := os.ReadFile(i.log)
	return string(data)
}

func (s *Site) close() {
	for _, i := range s.Instances {
		if i.command == nil || i.command.Process == nil {
			continue
		}
		_ = i.command.Process.Kill()
		if i.exited != nil {
			<-i.exited
		}
	}
	if s.record != nil {
		s.record.Close()
	}
	if s.dir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// Dial connects a client to an instance.
func Dial(i *Instance) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return new(net.Dialer).DialContext(ctx, "tcp", i.Caller)
}
