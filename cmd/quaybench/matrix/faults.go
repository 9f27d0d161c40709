package matrix

import (
	"slices"

	"github.com/quaylead/quaylead/cmd/quaybench/fault"
	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaystand/platform"
)

// All are the faults of the whole matrix.
func All() []Fault {
	faults := []Fault{
		{Name: "endpoint refuses", Strike: eachEndpointLink(refuse), Heal: healEndpoints},
		{Name: "endpoint killed", Strike: eachEndpoint((*fleet.Process).Terminated), Heal: eachEndpoint((*fleet.Process).Start)},
		{Name: "endpoint paused", Strike: eachEndpoint((*fleet.Process).Pause), Heal: eachEndpoint((*fleet.Process).Continue)},
		{Name: "router killed", Strike: firstRouter((*fleet.Process).Terminated), Heal: restartFirst},
		{Name: "router paused", Strike: firstRouter((*fleet.Process).Pause), Heal: firstRouter((*fleet.Process).Continue)},
		{Name: "peers cut off", Strike: cutPeers, Heal: (*fleet.Fleet).Rejoin},
		{Name: "callers go away", CallersLeave: true},
	}
	faults = append(faults, toxics()...)
	return append(faults, platformFaults()...)
}

// Named are the faults with these names; no names mean all.
func Named(names []string) []Fault {
	if len(names) == 0 {
		return All()
	}
	return slices.DeleteFunc(All(), func(f Fault) bool { return !slices.Contains(names, f.Name) })
}

// toxics are what the network does between routers and endpoints.
func toxics() (faults []Fault) {
	for _, one := range []struct {
		name  string
		toxic fault.Toxic
	}{
		{"connection reset", fault.Toxic{Type: "reset_peer", Attributes: map[string]int{"timeout": 0}}},
		{"answers stalled", fault.Toxic{Type: "timeout", Attributes: map[string]int{"timeout": 0}}},
		{"requests stalled", fault.Toxic{Type: "timeout", Upstream: true, Attributes: map[string]int{"timeout": 0}}},
		{"slow bytes", fault.Toxic{Type: "bandwidth", Attributes: map[string]int{"rate": 1}}},
		{"answers truncated", fault.Toxic{Type: "limit_data", Attributes: map[string]int{"bytes": 300}}},
		{"requests truncated", fault.Toxic{Type: "limit_data", Upstream: true, Attributes: map[string]int{"bytes": 100}}},
	} {
		faults = append(faults, Fault{Name: one.name, Strike: eachEndpointLink(inject(one.toxic)), Heal: healEndpoints})
	}
	return faults
}

// platformFaults are what the stores and the box list do.
func platformFaults() (faults []Fault) {
	for _, one := range []struct {
		name   string
		faults platform.Faults
	}{
		{"store down", platform.Faults{Outage: true}},
		{"store slow", platform.Faults{Delay: 400e6}},
		{"store answers lost", platform.Faults{LoseAnswers: 1}},
		{"box list out", platform.Faults{ListOutage: true}},
	} {
		faults = append(faults, Fault{
			Name:   one.name,
			Strike: func(f *fleet.Fleet) error { return f.Platform.Control(one.faults) },
			Heal:   func(f *fleet.Fleet) error { return f.Platform.Control(platform.Faults{}) },
		})
	}
	return faults
}

func refuse(f *fleet.Fleet, link string) error { return f.Grid.Refuse(link) }

func inject(toxic fault.Toxic) func(*fleet.Fleet, string) error {
	return func(f *fleet.Fleet, link string) error { return f.Grid.Inject(link, toxic) }
}

// eachEndpointLink does something to the link of every endpoint.
func eachEndpointLink(do func(f *fleet.Fleet, link string) error) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error {
		for _, endpoint := range slices.Concat(f.Engines, f.Services) {
			if err := do(f, fleet.EndpointLink(endpoint.Name)); err != nil {
				return err
			}
		}
		return nil
	}
}

func healEndpoints(f *fleet.Fleet) error {
	return eachEndpointLink(func(f *fleet.Fleet, link string) error { return f.Grid.Heal(link) })(f)
}

func eachEndpoint(do func(*fleet.Process) error) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error {
		for _, endpoint := range slices.Concat(f.Engines, f.Services) {
			if err := do(endpoint); err != nil {
				return err
			}
		}
		return nil
	}
}

func firstRouter(do func(*fleet.Process) error) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error { return do(f.Routers[0].Process) }
}

// restartFirst starts the first router again, empty.
func restartFirst(f *fleet.Fleet) error {
	return f.Routers[0].Start()
}

// cutPeers cuts the first router off from the others.
func cutPeers(f *fleet.Fleet) error { return f.Partition([]int{0}) }
