package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// box is a process of the project's program, started as the deploy file says.
type box struct {
	name, zone, ip, dir string
	cmd                 *exec.Cmd
	done                chan struct{}
}

// zones are those of the site qatra-fleet.
var zones = []string{"lhr-a", "lhr-b", "isb-c"}

// network is the second and third byte of the loopback addresses of this run.
var network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))

// lastHost is the last byte of the address that was given last.
var lastHost int

// newBox returns a box with an address of its own and the ports of the settings in DEPLOY.md.
func newBox(name, zone, dir string) *box {
	lastHost++
	return &box{name: name, zone: zone, ip: fmt.Sprintf("%s.%d", network, lastHost), dir: dir}
}

func (b *box) front() string { return b.ip + ":8783" }

func (b *box) ready() string { return b.ip + ":8780" }

// started are the boxes whose processes were started.
var started = map[*box]bool{}

// startedMu guards started and the processes of boxes.
var startedMu sync.Mutex

// killAll ends all processes that were started.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for b := range started {
		b.cmd.Process.Kill()
		<-b.done
	}
}

// start starts the process with the settings of the site qatra-fleet.
func (b *box) start(storeAddress string, bootstrap bool) {
	lines := []string{
		"node_name=" + b.name, "role=gateway", "machine_class=front", "serves=front", "ip=" + b.ip,
		"zone=" + b.zone, "region=pk-north", "zones.lhr-a=pk-north", "zones.lhr-b=pk-north", "zones.isb-c=pk-north",
		"listen.front=" + b.front(), "listen.ready=" + b.ready(), "listen.control=" + b.ip + ":8785",
		"port_range=7400,7415", "seeds=" + b.ip + ":8785", fmt.Sprintf("bootstrap=%v", bootstrap), "in_tolerance=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.skew_max_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.budget_extra=58", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=10",
		"bounds.quota_window_s=4", "platform.address=" + storeAddress, "platform.form=table", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.tx_ms=3.0", "platform.part_writes_s=300", "platform.row_bytes=65536", "platform.across=true",
		"platform.history_s=20", "platform.blob_bytes=8388608", "platform.blob_ms=25.0", "platform.blob_mb_s=80.0",
	}
	settings := filepath.Join(b.dir, b.name+".conf")
	must(os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	log, err := os.OpenFile(filepath.Join(b.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	defer log.Close()
	b.cmd = exec.Command("target/quaylead", "gateway")
	b.cmd.Env = append(os.Environ(), "QUAYLEAD_BOOT="+settings)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	startedMu.Lock()
	err = b.cmd.Start()
	done := make(chan struct{})
	if err == nil {
		b.done, started[b] = done, true
	}
	startedMu.Unlock()
	must(err)
	go func(cmd *exec.Cmd) {
		cmd.Wait()
		close(done)
	}(b.cmd)
}

// kill ends the process with SIGKILL.
func (b *box) kill() {
	b.cmd.Process.Kill()
	<-b.done
}

var readyClient = &http.Client{Timeout: time.Second}

// isReady asks the box as the platform does.
func (b *box) isReady() bool {
	answer, err := readyClient.Get("http://" + b.ready() + "/api/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// maxStartTime bounds the wait until all boxes are ready.
const maxStartTime = 25 * time.Second

// awaitReady waits until all boxes are ready.
func awaitReady(boxes []*box) {
	for end := time.Now().Add(maxStartTime); ; time.Sleep(100 * time.Millisecond) {
		waiting := 0
		for _, b := range boxes {
			if !b.isReady() {
				waiting++
			}
		}
		if waiting == 0 {
			return
		}
		if time.Now().After(end) {
			giveUp("the boxes did not become ready")
		}
	}
}
