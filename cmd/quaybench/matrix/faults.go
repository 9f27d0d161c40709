package matrix

import (
	"slices"

	"github.com/quaylead/quaylead/cmd/quaybench/fault"
	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaystand/platform"
)

// AllFaults returns the faults of the whole matrix.
func AllFaults() []Fault {
	faults := []Fault{
		{Name: "endpoint refuses", Inject: onEndpointLinks(refuse), Heal: healEndpointLinks},
		{Name: "endpoint killed", Inject: onEndpoints((*fleet.Process).KillAction), Heal: onEndpoints((*fleet.Process).Start)},
		{Name: "endpoint paused", Inject: onEndpoints((*fleet.Process).Pause), Heal: onEndpoints((*fleet.Process).Continue)},
		{Name: "router killed", Inject: onFirstRouter((*fleet.Process).KillAction), Heal: restartFirstRouter},
		{Name: "router paused", Inject: onFirstRouter((*fleet.Process).Pause), Heal: onFirstRouter((*fleet.Process).Continue)},
		{Name: "peers cut off", Inject: partitionFirstRouter, Heal: (*fleet.Fleet).Rejoin},
		{Name: "callers go away", CancelCallers: true},
	}
	faults = append(faults, networkFaults()...)
	return append(faults, platformFaults()...)
}

// FaultsNamed returns the faults with these names, or all if there are no names.
func FaultsNamed(names []string) []Fault {
	if len(names) == 0 {
		return AllFaults()
	}
	return slices.DeleteFunc(AllFaults(), func(f Fault) bool { return !slices.Contains(names, f.Name) })
}

// networkFaults returns the faults of the network between routers and endpoints.
func networkFaults() (faults []Fault) {
	for _, entry := range []struct {
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
		faults = append(faults, Fault{Name: entry.name, Inject: onEndpointLinks(inject(entry.toxic)), Heal: healEndpointLinks})
	}
	return faults
}

// platformFaults returns the faults of the store and of the box list.
func platformFaults() (faults []Fault) {
	for _, entry := range []struct {
		name   string
		faults platform.Faults
	}{
		{"store down", platform.Faults{Outage: true}},
		{"store slow", platform.Faults{Delay: 400e6}},
		{"store answers lost", platform.Faults{LoseAnswers: 1}},
		{"box list out", platform.Faults{ListOutage: true}},
	} {
		faults = append(faults, Fault{
			Name:   entry.name,
			Inject: func(f *fleet.Fleet) error { return f.Platform.Control(entry.faults) },
			Heal:   func(f *fleet.Fleet) error { return f.Platform.Control(platform.Faults{}) },
		})
	}
	return faults
}

func refuse(f *fleet.Fleet, link string) error { return f.Proxies.Refuse(link) }

func inject(toxic fault.Toxic) func(*fleet.Fleet, string) error {
	return func(f *fleet.Fleet, link string) error { return f.Proxies.Inject(link, toxic) }
}

// onEndpointLinks returns a function that applies action to the link of every
// endpoint.
func onEndpointLinks(action func(f *fleet.Fleet, link string) error) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error {
		for _, endpoint := range slices.Concat(f.Engines, f.Services) {
			if err := action(f, fleet.EndpointLink(endpoint.Name)); err != nil {
				return err
			}
		}
		return nil
	}
}

func healEndpointLinks(f *fleet.Fleet) error {
	return onEndpointLinks(func(f *fleet.Fleet, link string) error { return f.Proxies.Heal(link) })(f)
}

func onEndpoints(action func(*fleet.Process) error) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error {
		for _, endpoint := range slices.Concat(f.Engines, f.Services) {
			if err := action(endpoint); err != nil {
				return err
			}
		}
		return nil
	}
}

func onFirstRouter(action func(*fleet.Process) error) func(*fleet.Fleet) error {
	return func(f *fleet.Fleet) error { return action(f.Routers[0].Process) }
}

// restartFirstRouter starts the first router again, without any state.
func restartFirstRouter(f *fleet.Fleet) error {
	return f.Routers[0].Start()
}

// partitionFirstRouter cuts the links between the first router and the others.
func partitionFirstRouter(f *fleet.Fleet) error { return f.Partition([]int{0}) }
