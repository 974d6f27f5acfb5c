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
	"syscall"
	"time"
)

const (
	zone      = "khomas-a"
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond
)

// instance is one balsamd process, started with the command of deploy/system.toml.
type instance struct {
	name, host, settings string
	// storeLink is its way to the store.
	storeLink *link
	log       *os.File
	command   *exec.Cmd
	exited    chan struct{}
}

// Ports of an instance. Each has a loopback address of its own.
const (
	callerPort  = 8221
	readyPort   = 8224
	controlPort = 8229
	metricsPort = 9464
)

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.host, port) }

// deployment is the system under test with its stand-ins.
type deployment struct {
	*record
	program   string
	folder    string
	store     *store
	instances []*instance
}

// newDeployment prepares n instances. The program is the one that the deploy file builds.
func newDeployment(rec *record, n int) (*deployment, error) {
	d := &deployment{record: rec, program: "target/balsamd"}
	if _, err := os.Stat(d.program); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	var err error
	if d.folder, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	hosts, err := freeHosts(n)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, h := range hosts[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h, controlPort)))
	}
	for k, h := range hosts {
		i := &instance{name: fmt.Sprintf("edge-%s-%d", zone, k+1), host: h, settings: filepath.Join(d.folder, fmt.Sprintf("settings-%d.toml", k+1))}
		if i.storeLink, err = newLink(d.store.address); err != nil {
			return nil, err
		}
		// The fields are those of deploy/settings.toml.template, the values those of
		// the site kfo-stair.
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
file_descriptors = 4100
`, i.name, zone, i.address(callerPort), i.address(readyPort), i.address(metricsPort), i.address(controlPort), i.storeLink.address,
			strings.Join(seeds, ","), heartbeat.Milliseconds(), int(grace.Seconds()))
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if i.log, err = os.Create(filepath.Join(d.folder, i.name+".log")); err != nil {
			return nil, err
		}
		d.instances = append(d.instances, i)
	}
	return d, nil
}

// freeHosts returns loopback addresses at which all ports of an instance are free.
func freeHosts(n int) ([]string, error) {
	var out []string
	pid := os.Getpid()
	for k := 1; k < 250 && len(out) < n; k++ {
		h := fmt.Sprintf("127.%d.%d.%d", 10+pid%200, 1+pid/200%250, k)
		if portsFree(h) {
			out = append(out, h)
		}
	}
	if len(out) < n {
		return nil, errors.New("too few free loopback addresses")
	}
	return out, nil
}

func portsFree(host string) bool {
	for _, p := range []int{callerPort, readyPort, controlPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (d *deployment) start(i *instance) error {
	c := exec.Command(d.program, "-routed", "-settings", i.settings)
	c.Stdout, c.Stderr = i.log, i.log
	if err := startChild(c); err != nil {
		return err
	}
	i.command, i.exited = c, make(chan struct{})
	exited := i.exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	d.log("%s started, process %d", i.name, c.Process.Pid)
	return nil
}

func (d *deployment) startAll() error {
	for _, i := range d.instances {
		if err := d.start(i); err != nil {
			return err
		}
	}
	return nil
}

// ready asks as the platform does, after the mapping in deploy/wire.toml.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + i.address(readyPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(i *instance, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.ready() {
			d.log("%s is ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, within)
}

// lead is the time from the start of the machines to that of the traffic.
const lead = 10 * time.Second

func (d *deployment) awaitTraffic() error {
	end := time.Now().Add(lead)
	for _, i := range d.instances {
		if err := d.awaitReady(i, lead); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(end))
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time.
func (d *deployment) stop(i *instance) {
	d.log("%s gets SIGTERM", i.name)
	_ = i.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-i.exited:
	case <-time.After(grace):
		d.log("%s gets SIGKILL", i.name)
		_ = i.command.Process.Kill()
		<-i.exited
	}
	d.log("%s has ended", i.name)
}

// close ends all processes.
func (d *deployment) close() {
	for _, i := range d.instances {
		if i.command != nil {
			_ = i.command.Process.Kill()
			<-i.exited
		}
		_ = i.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
