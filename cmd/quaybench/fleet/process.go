package fleet

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/router"
)

// Process is one program that the harness started.
type Process struct {
	Name    string
	Address string
	Path    string
	Args    []string
	// LogFile takes what the program prints.
	LogFile string

	command *exec.Cmd
}

// Start starts the program; after it ended it may be started again.
func (p *Process) Start() (err error) {
	defer func() { err = trace.Wrap(err, "starting %s", p.Name) }()
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.Path, p.Args...)
	p.command.Stdout = log
	p.command.Stderr = log
	// A killed harness leaves no processes behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command.Start()
}

// Printed is the end of what the process has printed.
func (p *Process) LogTail() string {
	const maxBytes = 2000
	text, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxBytes):])
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	return trace.Wrap(p.command.Process.Signal(signal))
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.command == nil || p.command.ProcessState != nil {
		return
	}
	// A process that has ended by itself needs no kill.
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// Terminated ends the process at once, as Kill does, in the form of a step.
func (p *Process) KillAction() error {
	p.Kill()
	return nil
}

// Wait waits for the process to end and returns its exit status.
func (p *Process) Wait() int {
	// The status tells what the error would.
	_ = p.command.Wait()
	return p.command.ProcessState.ExitCode()
}

// Pause stops the process in its tracks until Continue.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue lets a paused process go on.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks the process for a planned stop.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// callTimeout bounds the harness's own calls.
const callTimeout = 5 * time.Second

// Control changes a stand-in while it runs.
func (p *Process) Control(control any) error {
	return PostJSON("http://"+p.Address+"/control", control)
}

// Status reads a router's own account.
func (r *Router) Status() (status router.Status, err error) {
	defer func() { err = trace.Wrap(err, "reading the status of %s", r.Name) }()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+r.OperatorAddress+"/status", callTimeout)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

// PostJSON sends a value and expects status 200.
func PostJSON(url string, value any) (err error) {
	defer func() { err = trace.Wrap(err, "posting to %s", url) }()
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(url)
	request.SetBody(body)
	response := &fasthttp.Response{}
	if err := fasthttp.DoTimeout(request, response, callTimeout); err != nil {
		return err
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return trace.BadParameter("status %d", status)
	}
	return nil
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// Poll looks at a condition until it holds, within startTimeout.
func Poll(ctx context.Context, condition func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// awaitAccept waits until an address takes connections.
func awaitListening(address string) error {
	return Poll(context.Background(), func() (bool, error) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false, nil
		}
		return true, c.Close()
	})
}

// raceMark is what the race detector prints first.
const raceWarning = "WARNING: DATA RACE"

// Races lists the processes in which the race detector found something.
func (f *Fleet) Races() (names []string, err error) {
	defer func() { err = trace.Wrap(err, "looking for data races") }()
	logs, err := filepath.Glob(filepath.Join(f.Dir, "*.log"))
	if err != nil {
		return nil, err
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			return nil, err
		}
		if strings.Contains(string(text), raceWarning) {
			names = append(names, log)
		}
	}
	return names, nil
}
