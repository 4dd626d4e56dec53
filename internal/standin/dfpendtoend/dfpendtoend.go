// Package dfpendtoend builds the programs of this module and runs them as separate processes over loopback:
// the platform stand-in, nodes and backend servers.
//
// The operating system chooses every port; each process prints its addresses as a line of JSON. Processes are
// killed by process id.
//
// # Usage
//
//	fleet, err := dfpendtoend.Build(dir)
//	defer fleet.Close()
//	platform, err := fleet.Start("dragonflyport-lab", nil, "standin", "platform")
//	address, err := platform.Field("listening")
package dfpendtoend

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// ErrNoField is returned if a process does not print a field in time or ends before it does.
var ErrNoField = errors.New("process printed no such field")

const (
	fieldTimeout = 20 * time.Second
	exitTimeout  = 15 * time.Second
)

// Fleet is a set of processes from one build. It is safe for concurrent use.
type Fleet struct {
	dir string

	mu        sync.Mutex
	processes []*Process
}

// Build builds the programs of this module into the directory dir.
func Build(dir string) (*Fleet, error) {
	cmd := exec.Command("go", "build", "-o", dir, "dragonflyport/cmd/dragonflyport", "dragonflyport/cmd/dragonflyport-lab")
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("go build: %w\n%s", err, out)
	}
	return &Fleet{dir: dir}, nil
}

// Process is one running program.
type Process struct {
	cmd   *exec.Cmd
	group errgroup.Group

	mu     sync.Mutex
	fields map[string]string
	// changed is closed and replaced when a line has been read.
	changed chan struct{}
	log     []string
	// ended is closed when the process has ended; err is its error from then on.
	ended chan struct{}
	err   error
}

// Start starts a program with the environment of this process and the variables in env.
func (f *Fleet) Start(program string, env []string, args ...string) (*Process, error) {
	p := &Process{
		cmd:     exec.Command(filepath.Join(f.dir, program), args...),
		fields:  map[string]string{},
		changed: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), env...)
	r, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p.group.Go(func() error { p.read(r); return nil })
	p.group.Go(func() error {
		p.err = p.cmd.Wait()
		close(p.ended)
		return w.Close()
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// read records the lines that the process prints. From each line that is a JSON object it records the string
// fields, and those of its nested object "fields", in which log lines hold theirs.
func (p *Process) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var line map[string]any
		_ = json.Unmarshal(lines.Bytes(), &line)
		p.mu.Lock()
		p.log = append(p.log, lines.Text())
		p.recordFields(line)
		if nested, ok := line["fields"].(map[string]any); ok {
			p.recordFields(nested)
		}
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

func (p *Process) recordFields(line map[string]any) {
	for name, value := range line {
		if text, ok := value.(string); ok {
			p.fields[name] = text
		}
	}
}

// Field waits until the process has printed a string field and returns its latest value. If the process ends
// first or fieldTimeout passes, the error wraps ErrNoField.
func (p *Process) Field(name string) (string, error) {
	timeout := time.After(fieldTimeout)
	for {
		p.mu.Lock()
		value, found := p.fields[name]
		changed := p.changed
		p.mu.Unlock()
		if found {
			return value, nil
		}
		select {
		case <-changed:
		case <-p.ended:
			return "", fmt.Errorf("%w %q before it ended: %v\n%v", ErrNoField, name, p.err, p.Log())
		case <-timeout:
			return "", fmt.Errorf("%w %q within %s\n%v", ErrNoField, name, fieldTimeout, p.Log())
		}
	}
}

// Log returns the lines that the process has printed so far.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits until the process has ended and returns its error, or an error if it is still running after
// exitTimeout.
func (p *Process) Wait() error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(exitTimeout):
		return fmt.Errorf("process %d is still running after %s", p.cmd.Process.Pid, exitTimeout)
	}
}

// Close kills the processes that are still running and waits until they have ended.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		_ = p.group.Wait()
	}
}
