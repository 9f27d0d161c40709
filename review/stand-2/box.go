package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// box is one process of the project.
type box struct {
	name, caller, ready, settings string
	command                       *exec.Cmd
	log                           *os.File
}

// The ports of the stand-ins and boxes are below those that the system gives to outgoing connections.
const (
	firstPort = 21000
	ports     = 10000
)

// givenPorts are the ports that freeAddress has returned.
var givenPorts = map[int]bool{}

// freeAddress returns a loopback address with a free port.
func freeAddress() (address string, err error) {
	for range 100 {
		port := firstPort + rand.IntN(ports)
		if givenPorts[port] {
			continue
		}
		givenPorts[port] = true
		address = fmt.Sprintf("127.0.0.1:%d", port)
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// newBox writes the settings of a box, like those of a small deployment.
func newBox(folder, name, storeAddress string, grace int) (*box, error) {
	addresses := make([]string, 4)
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	_, peerPort, _ := net.SplitHostPort(addresses[3])
	b := &box{name: name, caller: addresses[0], ready: addresses[1], settings: filepath.Join(folder, name+".conf")}
	content := fmt.Sprintf(`node_name=%s
role=gateway
machine_class=front
serves=front
ip=127.0.0.1
zone=zone-a
region=north
zones.zone-a=north
zones.zone-b=north
zones.zone-c=north
listen.front=%s
listen.ready=%s
listen.control=%s
port_range=%s,%s
bootstrap=true
in_tolerance=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=%d
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.skew_max_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=56
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=10
bounds.quota_window_s=4
platform.address=%s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=3.0
platform.part_writes_s=300
platform.row_bytes=65536
platform.across=true
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_s=80.0
`, name, addresses[0], addresses[1], addresses[2], peerPort, peerPort, grace, storeAddress)
	if err := os.WriteFile(b.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	b.log = log
	return b, nil
}

// start starts the process with the command of the deploy file, at the root of the repository.
func (b *box) start(root string) error {
	b.command = exec.Command("target/quaylead", "gateway")
	b.command.Dir = root
	b.command.Env = append(os.Environ(), "QUAYLEAD_BOOT="+b.settings)
	b.command.Stdout, b.command.Stderr = b.log, b.log
	b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return b.command.Start()
}

// awaitReady waits until the box says that it is ready.
func (b *box) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + b.ready + "/api/readiness")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("box %s is not ready", b.name)
}

func (b *box) kill() {
	if b.command == nil || b.command.Process == nil {
		return
	}
	_ = b.command.Process.Kill()
	_ = b.command.Wait()
}
