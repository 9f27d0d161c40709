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

// Process is a program that the harness starts. Address is the address on which it
// serves callers or routers.
type Process struct {
	Name    string
	Address string
	Path    string
	Args    []string
	// LogFile receives the output of the program; each start appends to it.
	LogFile string

	command *exec.Cmd
}

// Start starts the program. It may be called again once the program has ended.
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
	// The kernel kills the program if the harness dies, so no process is left
	// behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command.Start()
}

// LogTail returns the end of the program's output, or the error of reading it.
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

// Kill kills the process (SIGKILL) and waits for its end. It does nothing if the
// process was never started or has ended.
func (p *Process) Kill() {
	if p.command == nil || p.command.ProcessState != nil {
		return
	}
	// An error means that the process has ended already.
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// KillAction calls Kill and returns nil. It has the signature of the other methods
// that serve as fault actions, such as Pause.
func (p *Process) KillAction() error {
	p.Kill()
	return nil
}

// Wait waits for the process to end and returns its exit status.
func (p *Process) Wait() int {
	// The exit status already holds what the error reports.
	_ = p.command.Wait()
	return p.command.ProcessState.ExitCode()
}

// Pause suspends the process (SIGSTOP) until Continue.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Continue resumes a paused process (SIGCONT).
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Terminate requests a planned stop of the process (SIGTERM).
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// callTimeout bounds the HTTP requests that the harness itself sends.
const callTimeout = 5 * time.Second

// Control sends a control message, such as a set of faults, to a running stand-in.
func (p *Process) Control(control any) error {
	return PostJSON("http://"+p.Address+"/control", control)
}

// Status returns the status that the router reports to operators.
func (r *Router) Status() (status router.Status, err error) {
	defer func() { err = trace.Wrap(err, "reading the status of %s", r.Name) }()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+r.OperatorAddress+"/status", callTimeout)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(body, &status)
}

// PostJSON sends value as JSON and returns an error unless the status is 200.
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

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Poll checks a condition at intervals until it holds. It returns an error if the
// condition returns one, and after startTimeout.
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

// awaitListening waits until an address accepts connections.
func awaitListening(address string) error {
	return Poll(context.Background(), func() (bool, error) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false, nil
		}
		return true, c.Close()
	})
}

// raceWarning is the first line of a report by the race detector.
const raceWarning = "WARNING: DATA RACE"

// Races returns the log files of processes in which the race detector reported a
// data race.
func (f *Fleet) Races() (names []string, err error) {
	defer func() { err = trace.Wrap(err, "searching the logs for data races") }()
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
