// Package fleet starts a small fleet of real processes on one machine: routers,
// engines, plain services and the platform, behind proxies that inject faults.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/cmd/quaybench/fault"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Plan describes a fleet.
type Plan struct {
	Routers  int
	Engines  int
	Services int
	// Slots is the batch limit of each engine.
	Slots int
	// DecodeInterval is the time between two tokens of one request.
	DecodeInterval settings.Duration
	// PrefillRate is the number of prompt tokens that an engine processes per
	// second.
	PrefillRate float64
	// ServiceLatency is the duration of a call at a plain service.
	ServiceLatency settings.Duration
	// ListLag is the age of the box list that the platform returns.
	ListLag settings.Duration
	// Customers are by name.
	Customers map[string]settings.Customer
	// Classes are by name.
	Classes map[string]settings.Class
	// Pool overrides settings of the model pool; zero values mean the defaults.
	Pool PoolPlan
	// Box overrides settings of every router; each entry reads Key.Path=Value.
	Box []string
	// Proxied puts a fault-injecting proxy before every endpoint, between each
	// router and the platform, and between each pair of routers.
	Proxied bool
}

// PoolPlan holds the settings of the model pool that experiments vary.
type PoolPlan struct {
	Order      settings.OrderPolicy
	SlotPolicy settings.SlotPolicy
	Slack      int
	QuickSlots int
	MergeBound float64
}

// Names of the pools, the model and the path that a fleet serves.
const (
	ModelPool = "quay-llm"
	PlainPool = "booking-api"
	Model     = "quay-llm-8b"
	// BookingPath is the path of calls that must run at most once.
	BookingPath = "/bookings"
)

// zones are the availability zones over which boxes and endpoints are spread.
var zones = []string{"lhr-a", "lhr-b", "isb-c"}

// Fleet is a running fleet.
type Fleet struct {
	Plan Plan
	// Bin is the folder of the programs. Settings, logs and ground truth are
	// written to Dir.
	Bin string
	Dir string
	// Proxies holds the proxies; nil unless the plan is Proxied.
	Proxies *fault.ProxySet

	Routers  []*Router
	Engines  []*Process
	Services []*Process
	Platform *Process
}

// Router is the process of a router and its addresses.
type Router struct {
	*Process
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	settingsFile    string
}

// CallerURL returns the base URL for callers.
func (r *Router) CallerURL() string {
	return "http://" + r.CallerAddress
}

// Key returns the bearer key of a customer in test fleets.
func Key(customer string) string {
	return "key-of-" + customer
}

// KeyHash returns the hash of a customer's key, as written in the settings.
func KeyHash(customer string) string {
	sum := sha256.Sum256([]byte(Key(customer)))
	return hex.EncodeToString(sum[:])
}

// startTimeout bounds the time that Poll waits, for example for a process to
// start.
const startTimeout = 20 * time.Second

// Start starts all processes and waits until every router is ready and lists
// the others as members. On error it stops what it started.
func (f *Fleet) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			f.Stop()
		}
		err = trace.Wrap(err, "starting the fleet")
	}()
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return err
	}
	if f.Plan.Proxied {
		f.Proxies = fault.NewProxySet()
	}
	if err := f.startStandIns(); err != nil {
		return err
	}
	if err := f.startRouters(); err != nil {
		return err
	}
	for _, router := range f.Routers {
		if err := awaitReady(ctx, router); err != nil {
			return err
		}
	}
	return f.awaitPeers(ctx)
}

func (f *Fleet) startStandIns() error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	f.Platform, err = f.startStandIn("platform", "platform", address, "--list-lag", f.Plan.ListLag.String())
	if err != nil {
		return err
	}
	for i := range f.Plan.Engines {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		engine, err := f.startStandIn(fmt.Sprintf("engine-%d", i+1), "engine", address,
			"--slots", fmt.Sprint(f.Plan.Slots),
			"--decode-interval", f.Plan.DecodeInterval.String(),
			"--prefill-rate", fmt.Sprint(f.Plan.PrefillRate))
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine)
	}
	for i := range f.Plan.Services {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		service, err := f.startStandIn(fmt.Sprintf("service-%d", i+1), "plain", address,
			"--latency", f.Plan.ServiceLatency.String())
		if err != nil {
			return err
		}
		f.Services = append(f.Services, service)
	}
	return nil
}

// startStandIn starts a stand-in and waits until it accepts connections.
func (f *Fleet) startStandIn(name, kind, address string, flags ...string) (*Process, error) {
	process := &Process{
		Name:    name,
		Address: address,
		Path:    filepath.Join(f.Bin, "quaystand"),
		Args: append([]string{kind, "--name", name, "--address", address,
			"--log", f.TruthFile(name)}, flags...),
		LogFile: filepath.Join(f.Dir, name+".log"),
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	return process, awaitListening(address)
}

// TruthFile returns the path of the file to which a stand-in writes its ground
// truth.
func (f *Fleet) TruthFile(name string) string {
	return filepath.Join(f.Dir, name+".truth")
}

func (f *Fleet) startRouters() error {
	tree, err := f.writeTree()
	if err != nil {
		return err
	}
	for i := range f.Plan.Routers {
		router := &Router{}
		for _, address := range []*string{&router.CallerAddress, &router.OperatorAddress, &router.PeerAddress} {
			if *address, err = FreeAddress(); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("box-%d", i+1)
		router.settingsFile = filepath.Join(f.Dir, name+".toml")
		args := []string{"serve", "--settings", router.settingsFile}
		for _, override := range f.Plan.Box {
			args = append(args, "--set", override)
		}
		router.Process = &Process{
			Name:    name,
			Address: router.CallerAddress,
			Path:    filepath.Join(f.Bin, "quaylead"),
			Args:    args,
			LogFile: filepath.Join(f.Dir, name+".log"),
		}
		f.Routers = append(f.Routers, router)
	}
	for i := range f.Routers {
		if err := f.writeBox(i, tree); err != nil {
			return err
		}
	}
	if err := f.publishBoxList(); err != nil {
		return err
	}
	for _, router := range f.Routers {
		if err := router.Start(); err != nil {
			return err
		}
	}
	return nil
}

// writeBox writes the settings file of router i. It lists every other router as
// a peer, with the address of the proxy if there is one.
func (f *Fleet) writeBox(i int, tree string) (err error) {
	defer func() { err = trace.Wrap(err, "writing box settings") }()
	router := f.Routers[i]
	box := settings.DefaultBox()
	box.Name = router.Name
	box.Zone = zones[i%len(zones)]
	box.Region = "pk-north"
	box.CallerAddress = router.CallerAddress
	box.OperatorAddress = router.OperatorAddress
	box.PeerAddress = router.PeerAddress
	box.Tree = tree
	box.Peers = map[string]settings.Peer{}
	for j, peer := range f.Routers {
		if j == i {
			continue
		}
		address, err := f.proxiedAddress(PeerLink(router.Name, peer.Name), peer.PeerAddress)
		if err != nil {
			return err
		}
		box.Peers[peer.Name] = settings.Peer{Address: address, Zone: zones[j%len(zones)]}
	}
	box.Platform.Address, err = f.proxiedAddress(PlatformLink(router.Name), f.Platform.Address)
	if err != nil {
		return err
	}
	text, err := toml.Marshal(box)
	if err != nil {
		return err
	}
	return os.WriteFile(router.settingsFile, text, 0o644)
}

// PeerLink returns the link name of one router's session to another.
func PeerLink(from, to string) string {
	return "peer/" + from + "/" + to
}

// PlatformLink returns the link name between a router and the platform.
func PlatformLink(router string) string {
	return "platform/" + router
}

// EndpointLink returns the link name of an endpoint.
func EndpointLink(endpoint string) string {
	return "endpoint/" + endpoint
}

// proxiedAddress returns the address of the link's proxy, or address itself if
// the fleet has no proxies.
func (f *Fleet) proxiedAddress(link, address string) (string, error) {
	if f.Proxies == nil {
		return address, nil
	}
	return f.Proxies.Add(link, address)
}

// publishBoxList writes the box list to the platform.
func (f *Fleet) publishBoxList() error {
	var boxes []platform.ListedBox
	for i, router := range f.Routers {
		boxes = append(boxes, platform.ListedBox{
			Name:    router.Name,
			Address: router.PeerAddress,
			Zone:    zones[i%len(zones)],
			Role:    platform.RouterRole,
			State:   "live",
		})
	}
	return PostJSON("http://"+f.Platform.Address+"/boxes", boxes)
}

// awaitPeers waits until every router lists all others as members.
func (f *Fleet) awaitPeers(ctx context.Context) error {
	for _, router := range f.Routers {
		err := Poll(ctx, func() (bool, error) {
			status, err := router.Status()
			return err == nil && len(status.Members) == len(f.Routers)-1, nil
		})
		if err != nil {
			return trace.Wrap(err, "waiting for %s to know its peers", router.Name)
		}
	}
	return nil
}

// Stop kills every process that is still running and stops the proxies.
func (f *Fleet) Stop() {
	for _, router := range f.Routers {
		if router.Process != nil {
			router.Kill()
		}
	}
	for _, process := range append(append([]*Process{}, f.Engines...), f.Services...) {
		process.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
	if f.Proxies != nil {
		f.Proxies.Close()
	}
}

// awaitReady waits until a router reports that it is ready for callers.
func awaitReady(ctx context.Context, router *Router) error {
	err := Poll(ctx, func() (bool, error) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+router.OperatorAddress+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK, nil
	})
	return trace.Wrap(err, "waiting for %s to be ready; end of its log:\n%s", router.Name, router.LogTail())
}
