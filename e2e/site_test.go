package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/balsamstair/balsamstair/internal/standin"
	"github.com/shoenig/test/must"
)

// livenessTimeout is how long a test waits for a condition that must eventually
// hold.
const livenessTimeout = 30 * time.Second

// siteConfig describes the components of a site.
type siteConfig struct {
	// zones is the number of instances of each availability zone.
	zones    []int
	engines  int
	services int
	slots    int
	// guardsOff names the guards to switch off, separated by commas. If set,
	// the guardsoff daemon runs.
	guardsOff   string
	spendMicros int64
	callMicros  int64
	decodeStep  time.Duration
	serviceMS   int64
	// proxyEndpoints puts a proxy before each endpoint, which counts bytes.
	proxyEndpoints bool
}

// zoneName returns the name of the availability zone with an index.
func zoneName(i int) string { return string(rune('a' + i)) }

// testEndpoint is a stand-in of one endpoint.
type testEndpoint struct {
	declaredEndpoint
	engine  *standin.Engine
	service *standin.Service
	server  *standin.Server
	link    *linkProxy
}

// site is a set of real daemons between stand-ins. Each instance has its own
// view of the platform, so that the faults, the file and the addresses of its
// peers can differ.
type site struct {
	t         testing.TB
	cfg       siteConfig
	ip        string
	dir       string
	recorder  *standin.Recorder
	endpoints []*testEndpoint
	instances []*instance
	ports     int

	mu       sync.Mutex
	revision uint64
	// published is the newest file published to any platform view.
	published publishedFile
}

// publishedFile identifies a file.
type publishedFile struct {
	revision uint64
	variant  int
	digest   string
}

// platformView is the platform as one instance sees it.
type platformView struct {
	platform *standin.Platform
	server   *standin.Server
	link     *linkProxy
}

func newSite(t testing.TB, cfg siteConfig) *site {
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	s := &site{t: t, cfg: cfg, ip: siteAddress(), dir: t.TempDir(), recorder: standin.NewRecorder()}
	t.Cleanup(s.close)
	s.startEndpoints()
	for z, n := range cfg.zones {
		for range n {
			s.addInstance(zoneName(z))
		}
	}
	s.linkInstances()
	s.publish(s.nextDeclaration())
	for _, in := range s.instances {
		in.start()
	}
	for _, in := range s.instances {
		in.waitReady()
	}
	return s
}

func (s *site) startEndpoints() {
	for z := range s.cfg.zones {
		for i := range s.cfg.engines {
			s.addEngine(zoneName(z), i)
		}
		for i := range s.cfg.services {
			s.addService(zoneName(z), i)
		}
	}
}

func (s *site) addEngine(zone string, i int) {
	settings := standin.DefaultEngineSettings()
	settings.Name = fmt.Sprintf("engine-%s%d", zone, i+1)
	if s.cfg.decodeStep > 0 {
		settings.DecodeStep = s.cfg.decodeStep
	}
	settings.Faults.RestartMS = 1000
	e := standin.NewEngine(settings, s.recorder)
	s.addEndpoint(&testEndpoint{engine: e, server: s.listen(e), declaredEndpoint: declaredEndpoint{
		name: settings.Name, class: "runner", zone: zone, pool: chatPool, slots: s.cfg.slots,
	}})
}

func (s *site) addService(zone string, i int) {
	settings := standin.DefaultServiceSettings()
	settings.Name = fmt.Sprintf("booking-%s%d", zone, i+1)
	if s.cfg.serviceMS > 0 {
		settings.Faults.DelayMS = s.cfg.serviceMS
	}
	v := standin.NewService(settings, s.recorder)
	s.addEndpoint(&testEndpoint{service: v, server: s.listen(v), declaredEndpoint: declaredEndpoint{
		name: settings.Name, class: "booking", zone: zone, pool: bookingPool, slots: s.cfg.slots,
	}})
}

func (s *site) addEndpoint(b *testEndpoint) {
	b.address = b.server.Address()
	if s.cfg.proxyEndpoints {
		b.link = s.newLink(b.address)
		b.address = b.link.address()
	}
	s.endpoints = append(s.endpoints, b)
}

// engines returns the engines of every zone.
func (s *site) engines() []*testEndpoint {
	return slices.DeleteFunc(slices.Clone(s.endpoints), func(b *testEndpoint) bool { return b.engine == nil })
}

// services returns the plain services of every zone.
func (s *site) services() []*testEndpoint {
	return slices.DeleteFunc(slices.Clone(s.endpoints), func(b *testEndpoint) bool { return b.service == nil })
}

// firstPort is below the ports that the system assigns for port 0, so that no
// stand-in takes the port of a process that is being restarted.
const firstPort = 7000

// freePort returns a free port of the site's own address.
func (s *site) freePort() string {
	for range 100 {
		s.ports++
		l, err := net.Listen("tcp", net.JoinHostPort(s.ip, fmt.Sprint(firstPort+s.ports)))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	s.t.Fatal("no port is free")
	return ""
}

func (s *site) addInstance(zone string) {
	in := &instance{
		site: s, zone: zone, index: len(s.instances),
		name:          fmt.Sprintf("entry-%s%d", zone, len(s.instances)+1),
		callerAddress: s.freePort(), peerAddress: s.freePort(), operatorAddress: s.freePort(),
		peerLinks: map[int]*linkProxy{},
	}
	in.view.platform = standin.NewPlatform()
	in.view.server = s.listen(in.view.platform)
	in.view.link = s.newLink(in.view.server.Address())
	s.instances = append(s.instances, in)
	in.settingsPath = filepath.Join(s.dir, in.name+".toml")
	must.NoError(s.t, os.WriteFile(in.settingsPath, fmt.Appendf(nil,
		"instance = %q\navailability_zone = %q\ncaller_address = %q\npeer_address = %q\noperator_address = %q\nplatform_address = %q\n",
		in.name, zone, in.callerAddress, in.peerAddress, in.operatorAddress, in.view.link.address()), 0o600))
}

func (s *site) listen(h handler) *standin.Server {
	server, err := standin.Listen(net.JoinHostPort(s.ip, "0"), h)
	must.NoError(s.t, err)
	return server
}

func (s *site) newLink(target string) *linkProxy {
	r, err := newLinkProxy(s.ip, target)
	must.NoError(s.t, err)
	return r
}

// linkInstances puts a proxy between each pair of instances of a zone and
// publishes to each instance the addresses of the others.
func (s *site) linkInstances() {
	for _, from := range s.instances {
		type listed struct {
			Name             string `json:"name"`
			AvailabilityZone string `json:"availability_zone"`
			PeerAddress      string `json:"peer_address"`
			Leaving          bool   `json:"leaving"`
		}
		var list []listed
		for _, to := range s.instances {
			address := to.peerAddress
			if to != from && to.zone == from.zone {
				from.peerLinks[to.index] = s.newLink(to.peerAddress)
				address = from.peerLinks[to.index].address()
			}
			list = append(list, listed{to.name, to.zone, address, false})
		}
		b, err := json.Marshal(list)
		must.NoError(s.t, err)
		from.view.platform.PublishInstances(b)
	}
}

// nextDeclaration returns the declaration of the next revision.
func (s *site) nextDeclaration() declaration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return s.declaration(s.revision, 0)
}

func (s *site) declaration(revision uint64, variant int) declaration {
	d := declaration{revision: revision, variant: variant, spendMicros: s.cfg.spendMicros, callMicros: s.cfg.callMicros}
	for _, b := range s.endpoints {
		d.endpoints = append(d.endpoints, b.declaredEndpoint)
	}
	return d
}

// publish publishes a file to the views of some instances, or of all.
func (s *site) publish(d declaration, to ...*instance) {
	if len(to) == 0 {
		to = s.instances
	}
	text := d.toml()
	s.recordPublished(d, text)
	for _, in := range to {
		in.view.platform.PublishValue("declared", text)
	}
}

// recordPublished keeps the file with the highest (revision, digest).
func (s *site) recordPublished(d declaration, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := publishedFile{d.revision, d.variant, digestOf(text)}
	if p.revision > s.published.revision || p.revision == s.published.revision && p.digest > s.published.digest {
		s.published = p
	}
}

func (s *site) newestFile() publishedFile {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published
}

// setLinks sets the state of both directions between two instances.
func (s *site) setLinks(a, b *instance, state linkState) {
	if r := a.peerLinks[b.index]; r != nil {
		r.set(state)
	}
	if r := b.peerLinks[a.index]; r != nil {
		r.set(state)
	}
}

// setAllLinks sets the state of all links of an instance.
func (s *site) setAllLinks(a *instance, state linkState) {
	for _, b := range s.instances {
		s.setLinks(a, b, state)
	}
}

// heal ends every lasting fault.
func (s *site) heal() {
	for _, in := range s.instances {
		s.setAllLinks(in, linkOpen)
		in.view.link.set(linkOpen)
		in.view.platform.SetFaults(standin.PlatformFaults{})
	}
	for _, b := range s.endpoints {
		if b.engine != nil {
			f := b.engine.Faults()
			b.engine.SetFaults(standin.EngineFaults{
				LoadLagMS: f.LoadLagMS, CacheEventLagMS: f.CacheEventLagMS, RestartMS: f.RestartMS,
			})
			continue
		}
		f := b.service.Faults()
		b.service.SetFaults(standin.ServiceFaults{DelayMS: f.DelayMS, LoadLagMS: f.LoadLagMS, RestartMS: f.RestartMS})
	}
}

func (s *site) close() {
	for _, in := range s.instances {
		in.killAll()
	}
	for _, in := range s.instances {
		for _, r := range in.peerLinks {
			r.close()
		}
		in.view.link.close()
		in.view.server.Close()
	}
	for _, b := range s.endpoints {
		if b.link != nil {
			b.link.close()
		}
		b.server.Close()
		if b.engine != nil {
			b.engine.Close()
		}
		if b.service != nil {
			b.service.Close()
		}
	}
}
