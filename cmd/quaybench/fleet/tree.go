package fleet

import (
	"os"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"github.com/quaylead/quaylead/pkg/settings"
)

// tree is the settings tree of a test fleet, as written to TOML.
type tree struct {
	Classes   map[string]settings.Class
	Customers map[string]customerTree
	Pools     map[string]poolTree
}

type customerTree struct {
	Share       float64  `toml:",omitempty"`
	KeyHashes   []string `toml:",omitempty"`
	QueueLength int      `toml:",omitempty"`
	Unsettled   float64  `toml:",omitempty"`
}

type poolTree struct {
	Kind          settings.PoolKind
	Models        []string             `toml:",omitempty"`
	Paths         []string             `toml:",omitempty"`
	Order         settings.OrderPolicy `toml:",omitempty"`
	SlotPolicy    settings.SlotPolicy  `toml:",omitempty"`
	Slack         int                  `toml:",omitempty"`
	QuickSlots    int                  `toml:",omitempty"`
	MergeBound    float64              `toml:",omitempty"`
	NotRepeatable []string             `toml:",omitempty"`
	Endpoints     map[string]endpointTree
}

type endpointTree struct {
	Address string
	Zone    string
	Slots   int `toml:",omitempty"`
}

func (f *Fleet) writeTree() (path string, err error) {
	defer func() { err = trace.Wrap(err, "writing the settings tree") }()
	engines, err := f.endpointTrees(f.Engines, f.Plan.Slots)
	if err != nil {
		return "", err
	}
	services, err := f.endpointTrees(f.Services, serviceSlots)
	if err != nil {
		return "", err
	}
	poolPlan := f.Plan.Pool
	content := tree{
		Classes:   f.Plan.Classes,
		Customers: map[string]customerTree{},
		Pools: map[string]poolTree{
			ModelPool: {
				Kind:       settings.ModelPool,
				Models:     []string{Model},
				Order:      poolPlan.Order,
				SlotPolicy: poolPlan.SlotPolicy,
				Slack:      poolPlan.Slack,
				QuickSlots: poolPlan.QuickSlots,
				MergeBound: poolPlan.MergeBound,
				Endpoints:  engines,
			},
			PlainPool: {
				Kind:          settings.PlainPool,
				Paths:         []string{"/"},
				NotRepeatable: []string{"POST " + BookingPath},
				Endpoints:     services,
			},
		},
	}
	for name, customer := range f.Plan.Customers {
		content.Customers[name] = customerTree{
			Share:       customer.Share,
			KeyHashes:   []string{KeyHash(name)},
			QueueLength: customer.QueueLength,
			Unsettled:   customer.Unsettled,
		}
	}
	text, err := toml.Marshal(content)
	if err != nil {
		return "", err
	}
	path = f.TreeFile()
	return path, os.WriteFile(path, text, 0o644)
}

// treeFileName is the name of the settings tree's file in Fleet.Dir.
const treeFileName = "fleet.toml"

// serviceSlots is the number of concurrent calls of a plain service.
const serviceSlots = 64

func (f *Fleet) endpointTrees(processes []*Process, slots int) (map[string]endpointTree, error) {
	endpoints := map[string]endpointTree{}
	for i, process := range processes {
		address, err := f.proxiedAddress(EndpointLink(process.Name), process.Address)
		if err != nil {
			return nil, err
		}
		endpoints[process.Name] = endpointTree{
			Address: address,
			Zone:    zones[i%len(zones)],
			Slots:   slots,
		}
	}
	return endpoints, nil
}
