package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"

	"fulmarwick/internal/app/cmds"
)

// argsVariable makes the test binary run as the program itself, so that
// instances run as separate processes that can be killed and frozen.
const argsVariable = "FULMARWICK_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(argsVariable); args != "" {
		os.Exit(cmds.Execute(strings.Split(args, "\n"), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is an instance that runs as a separate process.
type process struct {
	name   string
	cmd    *exec.Cmd
	cancel context.CancelFunc
	exited chan struct{}
	mu     sync.Mutex
	seen   map[string]string
	wait   map[string]chan string
	last   []string
}

// logLine holds the fields of a structured log line that the tests read.
type logLine struct {
	Msg     string `json:"msg"`
	Address string `json:"address"`
}

// launch starts the program with args.
func launch(t testing.TB, name string, args ...string) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), argsVariable+"="+strings.Join(args, "\n"))
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		name: name, cmd: cmd, cancel: cancel, exited: make(chan struct{}),
		seen: map[string]string{}, wait: map[string]chan string{},
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(out)
	t.Cleanup(func() {
		cancel()
		<-p.exited
		if t.Failed() {
			t.Logf("last log of %s:\n%s", name, strings.Join(p.last, "\n"))
		}
	})
	return p
}

func (p *process) read(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.line(lines.Text())
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) line(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = append(p.last, text)
	if len(p.last) > 40 {
		p.last = p.last[1:]
	}
	var l logLine
	if json.Unmarshal([]byte(text), &l) != nil {
		return
	}
	if _, ok := p.seen[l.Msg]; ok {
		return
	}
	p.seen[l.Msg] = l.Address
	if ch := p.wait[l.Msg]; ch != nil {
		ch <- l.Address
	}
}

// address waits for the log line msg and returns the address in it.
func (p *process) address(t testing.TB, msg string) string {
	t.Helper()
	p.mu.Lock()
	if a, ok := p.seen[msg]; ok {
		p.mu.Unlock()
		return a
	}
	ch := make(chan string, 1)
	p.wait[msg] = ch
	p.mu.Unlock()
	select {
	case a := <-ch:
		return a
	case <-p.exited:
		t.Fatalf("%s exited before it logged %q", p.name, msg)
		return ""
	}
}

// kill ends the process like a crash.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a graceful stop and returns the exit code.
func (p *process) stop() int {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// freeze pauses the process. thaw resumes it.
func (p *process) freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

func (p *process) thaw() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

func decode(t testing.TB, r io.Reader, into any) {
	t.Helper()
	if err := json.NewDecoder(r).Decode(into); err != nil {
		t.Fatal(err)
	}
}
