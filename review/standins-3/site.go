package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment. The zone is the only one.
const (
	zone = "khomas-a"
	host = "ficu95.example"
	// heartbeat is HeartbeatMs.
	heartbeat = 1200 * time.Millisecond
)

// tenants are those of the configuration, with their keys.
type tenant struct {
	Name           string
	ApiKeys        []string
	Priority       int
	Unit           string
	UncachedTokens int
	RatePerS       float64
	Burst          float64
}

type route struct {
	Name            string
	Host            string
	Prefix          string
	RouteKind       string
	TimeoutMs       int
	TargetLatencyMs int
	Priority        int
	Service         string
	MaxAttempts     int
	Public          bool
	Sticky          bool
	Resumable       bool
	GapTargetMs     int
}

// config returns the value of op/config.
func config(version int, routes []route, services []string, tenants []tenant) map[string]any {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list, "Tenants": tenants,
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// site is one deployment: the store, the machines and the record.
type site struct {
	dir      string
	ip       func(n int) string
	store    *store
	storeAt  string
	machines []*machine
	record   *record
	// template is that of the deploy file; seeds, graceS and revokeMs are Seeds, GraceS and
	// RevokeMs in the settings.
	template         string
	seeds            []string
	graceS, revokeMs int
}

// machine is one edge machine with its process.
type machine struct {
	name, ip              string
	frontend, ready, peer string
	settings              string
	run                   []string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

func newSite(recordPath string) (*site, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{dir: dir, store: newStore(), record: &record{file: file, start: time.Now()}, graceS: 8, revokeMs: 5000}
	s.ip = func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, 1+n) }
	l, err := net.Listen("tcp", s.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	s.storeAt = l.Addr().String()
	go s.store.serve(l)
	return s, nil
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addMachines sets up machines with the template of the deploy file.
func (s *site) addMachines(n int) error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(deploy)
	template := regexp.MustCompile(`(?m)^template = "([^"]*)"`).FindSubmatch(deploy)
	if run == nil || template == nil {
		return fmt.Errorf("%w: deploy/system.toml has no run or template", errSetup)
	}
	text, err := os.ReadFile(string(template[1]))
	if err != nil {
		return err
	}
	s.template = string(text)
	for k := range n {
		m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, k+1), ip: s.ip(k)}
		for _, p := range []*string{&m.frontend, &m.ready, &m.peer} {
			if *p, err = freePort(m.ip); err != nil {
				return err
			}
		}
		m.settings = filepath.Join(s.dir, m.name+".toml")
		for _, word := range strings.Fields(string(run[1])) {
			if word == "/etc/balsamstair/settings.json" {
				word = m.settings
			}
			m.run = append(m.run, word)
		}
		s.machines = append(s.machines, m)
		if len(s.seeds) < 3 {
			s.seeds = append(s.seeds, m.peer)
		}
	}
	for _, m := range s.machines {
		if err := s.writeSettings(m); err != nil {
			return err
		}
	}
	return nil
}

// settingsOf returns the content of a machine's settings file.
func (s *site) settingsOf(m *machine) (string, error) {
	return render(s.template, map[string]any{
		"NodeName": m.name, "Zone": zone, "Ip": m.ip, "Seeds": s.seeds, "HeartbeatMs": heartbeat.Milliseconds(),
		"Listen":   map[string]any{"Frontend": m.frontend, "Ready": m.ready, "ControlPlane": m.peer},
		"Platform": map[string]any{"Address": s.storeAt},
		"Bounds":   map[string]any{"RevokeMs": s.revokeMs, "RetryBudgetRatio": 0.2, "BudgetExtraRetries": 54, "BudgetWindowS": 10, "GraceS": s.graceS},
		"Limits":   map[string]any{"MemoryMb": 284, "FileDescriptors": 4100},
	})
}

// writeSettings writes the settings file of a machine, as the platform does.
func (s *site) writeSettings(m *machine) error {
	text, err := s.settingsOf(m)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)
)

// render fills in the placeholders of a template as DEPLOY.md describes, as far as the
// project's template uses them.
func render(text string, fields map[string]any) (string, error) {
	text = section.ReplaceAllStringFunc(text, func(all string) string {
		m := section.FindStringSubmatch(all)
		v, ok := lookUp(fields, m[1])
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(v))
	})
	var missing error
	text = placeholder.ReplaceAllStringFunc(text, func(all string) string {
		m := placeholder.FindStringSubmatch(all)
		v, ok := lookUp(fields, m[1])
		if !ok {
			missing = fmt.Errorf("%w: no value of %s", errSetup, m[1])
			return ""
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	return text, missing
}

func lookUp(fields map[string]any, path string) (any, bool) {
	var v any = fields
	for name := range strings.SplitSeq(path, ".") {
		m, ok := v.(map[string]any)
		if !ok {
			return nil, false
		}
		if v, ok = m[name]; !ok {
			return nil, false
		}
	}
	return v, true
}

// start starts the process of a machine. Its log goes to a file in the temporary folder.
func (s *site) start(m *machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(m.run[0], m.run[1:]...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	s.record.line("%s is started, process %d", m.name, command.Process.Pid)
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(sig)
	}
}

// startAll starts all machines and waits until each has been ready for a second.
func (s *site) startAll() error {
	for _, m := range s.machines {
		if err := s.start(m); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := s.awaitReady(m, 20*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

func (s *site) awaitReady(m *machine, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + m.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			s.record.line("%s is ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errSetup, m.name)
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, m := range s.machines {
		if m.exited == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
	_ = s.record.file.Close()
}
