package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// Names of the site of all cases.
const (
	host        = "ficu95.example"
	key         = "n2ctnfzs989anu6wsjnb"
	tenant      = "hule930"
	otherKey    = "k82mzqpa7s1vd0xw4rtn"
	plainName   = "wuno96b"
	modelName   = "huvo11a"
	unsafePath  = "/puxa403/"
	safePath    = "/cufi504/"
	streamPath  = "/lohu930/"
	modelLayers = 8
)

// bench is one site with its processes.
type bench struct {
	rec   *record
	store *tableStore
	dir   string
	// net is a part of the addresses of the machines, whose metrics have a fixed port: cases may run at once.
	net   int
	nodes []*node

	mu      sync.Mutex
	version int
	engines []*engine
	// edit changes each configuration before it is written; it may be nil.
	edit func(config map[string]any)
}

func newBench(rec *record) (*bench, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &bench{rec: rec, store: newTableStore(), dir: dir, version: 6, net: rand.IntN(1 << 14)}, nil
}

// listen listens on a free port of a loopback address.
func listen(ip string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
}

// freePort returns a port of an address that nothing listens on.
func freePort(ip string) (string, error) {
	l, err := listen(ip)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// putConfig writes a configuration as the operator does.
func (b *bench) putConfig() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version += 3
	route := func(name, path, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path-prefix": path, "kind": kind, "timeout-ms": 3000, "target-latency-ms": 300, "priority": 2,
			"service": service, "max-attempts": 2, "auth-exempt": false, "session-affinity": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	stream := map[string]any{"timeout-ms": 20000, "target-latency-ms": 500, "target-gap-ms": 200, "priority": 1, "session-affinity": true, "stream-resume": true}
	config := map[string]any{
		"version": b.version,
		"routes": []any{
			route("r-unsafe", unsafePath, "unsafe", plainName, nil),
			route("r-safe", safePath, "safe", plainName, nil),
			route("r-stream", streamPath, "streaming", modelName, stream),
		},
		"services": []any{
			map[string]any{"name": plainName, "health-path": "/health", "max-connections": 49, "protocol": "h1", "tls": false},
			map[string]any{"name": modelName, "health-path": "/health", "max-connections": 1048, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 192, "kv-capacity-tokens": 100000, "kv-token-bytes": 918000, "link-mbps": 400000.0, "stride": 1, "models": []any{map[string]any{"name": "daka510000", "pace": 1.0, "load-s": 1.0, "warm-s": 1.0}},
				"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 5,
				"delays": []any{}, "usual": map[string]any{"prompt": 774, "answer": 200}, "layers": modelLayers, "layer-mb": 1750.0, "activation-bytes": 45900, "pipe-mbps": 26000.0,
				"kinds": []any{map[string]any{"name": "a100", "mb": 72000.0, "pace": 2.4, "read-factor": 3.2}},
			}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{key}, "priority": 1}},
	}
	if b.edit != nil {
		b.edit(config)
	}
	b.rec.note("operator writes configuration %d", b.version)
	b.store.put("op", "config", config)
}

// node is one machine with a process of the project.
type node struct {
	name, ip, zone      string
	front, ready, store string
	settings            string
	log                 *os.File

	tables *tableStore
	access *http.Server

	mu sync.Mutex
	// listReads counts the calls for changes of the list of engines.
	listReads int
	process   *exec.Cmd
	exited    chan struct{}
}

// countRead counts the calls for changes of the list of engines.
func (n *node) countRead(r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.URL.Path == "/rows-feed" && r.URL.Query().Get("table") == "servers" {
		n.listReads++
	}
}

// takeListReads returns how often the machine has asked for changes of the list of engines since the last call.
func (n *node) takeListReads() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := n.listReads
	n.listReads = 0
	return count
}

// connectStore lets the machine reach the store, and cutStore ends that: its connections are reset, and new ones are
// refused.
func (n *node) connectStore() error {
	address := n.store
	if address == "" {
		address = "127.76.200.1:0"
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	n.store, n.access = l.Addr().String(), n.tables.serve(l, n.countRead)
	return nil
}

func (n *node) cutStore() { _ = n.access.Close() }

// addNode prepares a machine. Each has its own address of the store, where it can be turned away alone.
func (b *bench) addNode(zone string) (*node, error) {
	i := len(b.nodes) + 1
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 64+b.net>>8, b.net&0xff, i)}
	n.tables = b.store
	if err := n.connectStore(); err != nil {
		return nil, err
	}
	var err error
	if n.front, err = freePort(n.ip); err != nil {
		return nil, err
	}
	if n.ready, err = freePort(n.ip); err != nil {
		return nil, err
	}
	if err := b.writeSettings(n); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(b.dir, n.name+".log")); err != nil {
		return nil, err
	}
	b.nodes = append(b.nodes, n)
	return n, nil
}

// writeSettings fills in the template of the deploy file as the platform does.
func (b *bench) writeSettings(n *node) error {
	template, err := os.ReadFile("deploy/edge.ini")
	if err != nil {
		return err
	}
	mesh, err := freePort(n.ip)
	if err != nil {
		return err
	}
	_, meshPort, _ := net.SplitHostPort(mesh)
	text := strings.NewReplacer(
		"{{node-name}}", n.name, "{{zone}}", n.zone, "{{region}}", "viti-west", "{{listen.front}}", n.front, "{{listen.ready}}", n.ready,
		"{{ip}}", n.ip, "{{internal-port-range.0}}", meshPort, "{{platform.address}}", n.store,
		"{{limits.memory-mb}}", "414", "{{limits.max-fds}}", "6300", "{{limits.cpu-share}}", "0.608", "{{limits.link-mbps}}", "1500.0",
		"{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.budget-allowance}}", "198", "{{bounds.budget-window-s}}", "10", "{{bounds.grace-s}}", "8",
	).Replace(string(template))
	n.settings = filepath.Join(b.dir, n.name+".conf")
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process of a machine.
func (n *node) start() error {
	// The command of the deploy file, with the path of the settings of this machine.
	c := exec.CommandContext(context.Background(), "target/fulmarwick", "edge", "--settings", n.settings)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = c, exited
	n.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Process.Signal(s)
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// errNotReady means that a machine did not become ready.
var errNotReady = errors.New("machine is not ready in time")

// awaitReady waits until a machine says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+n.ready+"/readiness", http.NoBody)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", n.name, errNotReady)
}

// startAll starts all machines and waits until they are ready.
func (b *bench) startAll() error {
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range b.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (b *bench) close() {
	for _, n := range b.nodes {
		n.mu.Lock()
		running := n.process != nil
		n.mu.Unlock()
		if running {
			n.signal(syscall.SIGCONT)
			n.kill()
		}
		_ = n.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
