package cmds

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/quaylead/quaylead/pkg/answer"
	"github.com/quaylead/quaylead/pkg/platform"
	"github.com/quaylead/quaylead/pkg/revision"
	"github.com/quaylead/quaylead/pkg/router"
	"github.com/quaylead/quaylead/pkg/settings"
)

// boxTimeout bounds one call to a box.
const boxTimeout = 3 * time.Second

// boxClient calls boxes.
var boxClient = fasthttp.Client{Dial: func(address string) (net.Conn, error) { return answer.Dial(address, boxTimeout) }}

// fetchStatus reads the status of a box.
func fetchStatus(address string) (status router.Status, err error) {
	defer func() { err = trace.Wrap(err, "reading the status of the box at %s", address) }()
	code, body, err := boxClient.GetTimeout(nil, "http://"+address+"/status", boxTimeout)
	if err != nil {
		return status, err
	}
	if code != fasthttp.StatusOK {
		return status, trace.BadParameter("status %d", code)
	}
	return status, json.Unmarshal(body, &status)
}

// repository returns the repository of settings on the platform. The platform is the one at the
// address of --platform, or else the one that the box reports.
func (o *options) repository() (repository revision.Repository, err error) {
	store := settings.DefaultBox().Platform
	store.Address = o.platformAddress
	if o.platformAddress == "" {
		status, err := fetchStatus(o.box)
		if err != nil {
			return repository, err
		}
		store = status.Platform
	}
	if store.Address == "" {
		return repository, &usageError{Message: "the box has no platform; give --platform"}
	}
	return revision.Repository{Store: &platform.Store{Settings: store}}, nil
}

// requestHeadCheck makes a box read the accepted settings now. Failures are ignored, as a box
// also reads them by itself a little later.
func (o *options) requestHeadCheck() {
	_, _, _ = boxClient.GetTimeout(nil, "http://"+o.box+"/look", boxTimeout)
}

// boxRow is one row of the output of `quayctl status`.
type boxRow struct {
	Box          string
	Zone         string
	Address      string
	Revision     uint64
	InForceSince time.Time
	Stopping     bool
	InFlight     int64
	// Fault is why the box did not respond; empty if it did.
	Fault string `json:",omitempty"`
}

// fetchBoxes reads the status of a box and of every other box that it lists as a member.
func (o *options) fetchBoxes() (rows []boxRow, err error) {
	first, err := fetchStatus(o.box)
	if err != nil {
		return nil, err
	}
	rows = append(rows, rowOf(o.box, first))
	for _, member := range first.Members {
		status, err := fetchStatus(member.OperatorAddress)
		if err != nil {
			rows = append(rows, boxRow{
				Box:     member.Box,
				Zone:    member.Zone,
				Address: member.OperatorAddress,
				Fault:   err.Error(),
			})
			continue
		}
		rows = append(rows, rowOf(member.OperatorAddress, status))
	}
	return rows, nil
}

func rowOf(address string, status router.Status) boxRow {
	return boxRow{
		Box:          status.Box,
		Zone:         status.Zone,
		Address:      address,
		Revision:     status.Revision,
		InForceSince: status.InForceSince,
		Stopping:     status.Stopping,
		InFlight:     status.InFlight,
	}
}

func statusCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show every live box and the revision in force on it",
		Args:  exactArgs(0),
		RunE: func(command *cobra.Command, args []string) error {
			rows, err := opts.fetchBoxes()
			if err != nil {
				return err
			}
			return opts.print(command, rows, func(out *table) {
				out.row("BOX", "ZONE", "REVISION", "SINCE", "STATE", "IN FLIGHT")
				for _, row := range rows {
					state := "serving"
					if row.Stopping {
						state = "stopping"
					}
					if row.Fault != "" {
						state = "no answer: " + row.Fault
					}
					out.row(row.Box, row.Zone, fmt.Sprint(row.Revision),
						row.InForceSince.Format(time.RFC3339), state, fmt.Sprint(row.InFlight))
				}
			})
		},
	}
}

func drainCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "drain BOX|ENDPOINT",
		Short: "Stop a box as planned, or take new work from an endpoint",
		Long: "Stop a box as planned, or take new work from an endpoint.\n\n" +
			"A box stops as by SIGTERM. An endpoint is marked as leaving by a new revision\n" +
			"of the settings; mark it so in the tree as well, or the next apply takes it back.",
		Args: exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			rows, err := opts.fetchBoxes()
			if err != nil {
				return err
			}
			for _, row := range rows {
				if row.Box == args[0] {
					return drainBox(row.Address)
				}
			}
			return opts.drainEndpoint(command, args[0])
		},
	}
}

func drainBox(address string) error {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/drain")
	return trace.Wrap(boxClient.DoTimeout(request, &fasthttp.Response{}, boxTimeout), "requesting a planned stop")
}

// drainEndpoint marks every endpoint of this name as leaving, by a new revision of the settings.
func (o *options) drainEndpoint(command *cobra.Command, name string) error {
	repository, err := o.repository()
	if err != nil {
		return err
	}
	head, fleet, err := readAcceptedFleet(repository)
	if err != nil {
		return err
	}
	found := false
	for _, pool := range fleet.Pools {
		if endpoint, ok := pool.Endpoints[name]; ok {
			endpoint.Leaving = true
			pool.Endpoints[name] = endpoint
			found = true
		}
	}
	if !found {
		return &usageError{Message: fmt.Sprintf("there is no box or endpoint %q", name)}
	}
	return o.accept(command, repository, fleet, head.Revision, "drain "+name)
}
