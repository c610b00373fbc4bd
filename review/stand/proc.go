package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// loopback is the address of everything in a case.
const loopback = "127.0.0.1"

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress(ctx context.Context) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// serve serves a handler on a free address until ctx ends.
func serve(ctx context.Context, h http.Handler) (address string, err error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// instance is a process of the router.
type instance struct {
	name, zone    string
	front, ready  string
	mesh, metrics string
	table         string
	root, dir     string

	command *exec.Cmd
	ended   chan struct{}
}

// newInstance chooses the addresses of an instance.
func newInstance(ctx context.Context, root, dir, name, zone, table string) (*instance, error) {
	i := &instance{name: name, zone: zone, table: table, root: root, dir: dir}
	for _, at := range []*string{&i.front, &i.ready, &i.mesh, &i.metrics} {
		address, err := freeAddress(ctx)
		if err != nil {
			return nil, err
		}
		*at = address
	}
	return i, nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// writeSettings fills in the template of the deploy file as the platform does.
func (i *instance) writeSettings() (path string, err error) {
	template, err := os.ReadFile(filepath.Join(i.root, "deploy", "edge.ini"))
	if err != nil {
		return "", err
	}
	// The platform gives one IP address and fixed ports a machine. Here all machines share one
	// address, so the ports differ.
	text := strings.NewReplacer("{{ip}}:{{internal-port-range.0}}", i.mesh, "{{ip}}:9464", i.metrics).Replace(string(template))
	values := map[string]string{
		"node-name": i.name, "zone": i.zone, "region": "my-west", "listen.front": i.front, "listen.ready": i.ready,
		"platform.address": i.table, "limits.memory-mb": "414", "limits.cpu-share": "0.608", "limits.link-mbps": "1500.0",
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-allowance": "196", "bounds.budget-window-s": "10", "bounds.grace-s": "8",
	}
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
	path = filepath.Join(i.dir, i.name+".ini")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file. Only the path of the settings differs.
func (i *instance) start(ctx context.Context) error {
	settings, err := i.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.CommandContext(ctx, filepath.Join("target", "fulmarwick"), "edge", "--settings", settings)
	c.Dir, c.Stdout, c.Stderr = i.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.dir, "FULMARWICK_CONFIG=" + settings}
	if err := c.Start(); err != nil {
		return err
	}
	i.command, i.ended = c, make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(i.ended)
	}()
	return nil
}

// stop kills the process and waits for its end.
func (i *instance) stop() {
	if i.command != nil {
		_ = i.command.Process.Kill()
		<-i.ended
	}
}

var errNotReady = errors.New("instance is not ready")

// awaitReady waits until the instance counts as ready.
func (i *instance) awaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		if i.isReady(ctx) {
			return nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("%s: %w", i.name, errNotReady)
}

func (i *instance) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/readiness", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
