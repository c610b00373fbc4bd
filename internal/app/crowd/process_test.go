package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fulmarwick/internal/app/cmds"
)

const (
	// argsVariable makes the test binary run as the program itself, in a process of its own.
	argsVariable = "FULMARWICK_CROWD_ARGS"
	// memoryLimit is the memory of the machine that the process runs on, in bytes.
	memoryLimit = 64 << 20
	// descriptorLimit is the number of descriptors that the process may open, and fileDescriptors how
	// many of these the machine keeps for files: the others are for sockets.
	descriptorLimit = 1024
	fileDescriptors = 200
	// killAfter is how long after the stop signal the platform kills the process.
	killAfter = 10 * time.Second
	// sampleInterval is the interval between two looks at the process.
	sampleInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	if args := os.Getenv(argsVariable); args != "" {
		limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(cmds.Execute(strings.Split(args, "\n"), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a process of the program on loopback addresses.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	stopped chan struct{}
	// ports are those of the addresses that it serves.
	ports []int

	mu sync.Mutex
	// peakBytes is the most memory seen, with the bytes that it has received and not read.
	peakBytes int64
	// peakDescriptors is the most descriptors seen.
	peakDescriptors int
}

// launch starts the program with args. It serves ports.
func launch(t *testing.T, ports []int, args ...string) *process {
	t.Helper()
	p := &process{t: t, ports: ports, log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}), stopped: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cmd = exec.CommandContext(ctx, os.Args[0])
	p.cmd.Env = append(os.Environ(), argsVariable+"="+strings.Join(args, "\n"))
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	go p.sample()
	t.Cleanup(func() {
		close(p.stopped)
		cancel()
		<-p.exited
		if t.Failed() {
			p.logTail()
		}
	})
	return p
}

// logTail logs the last lines of the process.
func (p *process) logTail() {
	data, _ := os.ReadFile(p.log)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for _, line := range lines[max(0, len(lines)-5):] {
		p.t.Log(line[:min(len(line), 300)])
	}
}

// sample looks at the process until it ends.
func (p *process) sample() {
	for {
		select {
		case <-p.exited:
			return
		case <-p.stopped:
			return
		case <-time.After(sampleInterval):
			p.look()
		}
	}
}

// look records what the process uses now.
func (p *process) look() {
	descriptors, _ := os.ReadDir(p.path("fd"))
	bytes := max(p.statusBytes("VmHWM:"), p.statusBytes("VmRSS:")+unreadBytes(p.ports))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakBytes = max(p.peakBytes, bytes)
	p.peakDescriptors = max(p.peakDescriptors, len(descriptors))
}

func (p *process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// statusBytes returns a field of the status of the process; zero if it has ended.
func (p *process) statusBytes(field string) int64 {
	data, _ := os.ReadFile(p.path("status"))
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, field); ok {
			kib, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unreadBytes returns how many bytes the sockets on local ports have received that were not read.
func unreadBytes(ports []int) int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	total := int64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] != "01" {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		_, hexUnread, _ := strings.Cut(fields[4], ":")
		port, _ := strconv.ParseInt(hexPort, 16, 32)
		for _, own := range ports {
			if int(port) == own {
				unread, _ := strconv.ParseInt(hexUnread, 16, 64)
				total += unread
			}
		}
	}
	return total
}

// awaitRead waits until the process has read all that it received, or reads no more.
func (p *process) awaitRead() {
	const calm = 10
	for last, same := int64(-1), 0; same < calm; time.Sleep(sampleInterval) {
		unread := unreadBytes(p.ports)
		if unread == last {
			same++
		} else {
			last, same = unread, 0
		}
	}
}

// checkBounds fails the test if the process has ended or used more than its machine has.
func (p *process) checkBounds() {
	p.t.Helper()
	p.look()
	select {
	case <-p.exited:
		p.t.Errorf("got a process that ended with %s, want it to live", p.cmd.ProcessState)
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("%.1f MiB, %d descriptors at the most", float64(p.peakBytes)/(1<<20), p.peakDescriptors)
	if p.peakBytes > memoryLimit {
		p.t.Errorf("got %d MiB of memory in use, want %d at most", p.peakBytes>>20, memoryLimit>>20)
	}
	if p.peakDescriptors > descriptorLimit-fileDescriptors {
		p.t.Errorf("got %d descriptors in use, want %d at most", p.peakDescriptors, descriptorLimit-fileDescriptors)
	}
}

// checkStop stops the process as the platform does, and fails the test if it had to be killed.
func (p *process) checkStop() {
	p.t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			p.t.Errorf("got exit code %d, want 0", code)
		}
	case <-time.After(killAfter):
		p.t.Errorf("got a process that still ran %s after the stop signal, want it to end by itself", killAfter)
	}
}

// freePort returns a port that no socket listens on.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}
