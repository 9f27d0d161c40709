package experiment

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/quaylead/quaylead/cmd/quaybench/fleet"
	"github.com/quaylead/quaylead/cmd/quaystand/engine"
	"github.com/quaylead/quaylead/cmd/quaystand/platform"
	"github.com/quaylead/quaylead/pkg/settings"
)

// Action is what a step of the schedule does.
type Action string

// The actions.
const (
	// Partition drops all data between the routers of the step and all others.
	Partition Action = "partition"
	// Rejoin removes the faults from all links between routers.
	Rejoin Action = "rejoin"
	// Kill kills routers (SIGKILL), Start starts them again without any state.
	Kill  Action = "kill"
	Start Action = "start"
	// Terminate requests a planned stop of routers (SIGTERM).
	Terminate Action = "terminate"
	// Pause suspends routers (SIGSTOP), Continue resumes them (SIGCONT).
	Pause    Action = "pause"
	Continue Action = "continue"
	// Leave makes engines leave: they accept no new requests.
	Leave Action = "leave"
	// Slow makes engines slower by the factor Factor.
	Slow Action = "slow"
	// StoreOutage makes the platform refuse all calls. StoreLoses makes it drop
	// the fraction Factor of its responses to writes, after the write took
	// effect. StoreBack ends all faults of the platform.
	StoreOutage Action = "store-outage"
	StoreBack   Action = "store-back"
	StoreLoses  Action = "store-loses"
)

// Step is one entry of the schedule.
type Step struct {
	At     settings.Duration
	Action Action
	// Routers and Engines are indexes, counted from 0.
	Routers []int
	Engines []int
	Factor  float64
}

// runSchedule applies each step at its time.
func runSchedule(ctx context.Context, f *fleet.Fleet, steps []Step) error {
	start := time.Now()
	for _, step := range steps {
		timer := time.NewTimer(time.Until(start.Add(step.At.Duration)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		if err := step.apply(f); err != nil {
			return trace.Wrap(err, "step %s at %s", step.Action, step.At)
		}
	}
	return nil
}

func (s *Step) apply(f *fleet.Fleet) error {
	switch s.Action {
	case Partition:
		return f.Partition(s.Routers)
	case Rejoin:
		return f.Rejoin()
	case Leave:
		leaving := true
		return s.controlEngines(f, engine.Control{Leaving: &leaving})
	case Slow:
		return s.controlEngines(f, engine.Control{Slowness: s.Factor})
	case StoreOutage:
		return f.Platform.Control(platform.Faults{Outage: true})
	case StoreBack:
		return f.Platform.Control(platform.Faults{})
	case StoreLoses:
		return f.Platform.Control(platform.Faults{LoseAnswers: s.Factor})
	}
	for _, number := range s.Routers {
		if err := s.applyToRouter(f.Routers[number]); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) applyToRouter(router *fleet.Router) error {
	switch s.Action {
	case Kill:
		router.Kill()
		return nil
	case Start:
		return router.Start()
	case Terminate:
		return router.Terminate()
	case Pause:
		return router.Pause()
	case Continue:
		return router.Continue()
	}
	return trace.BadParameter("there is no action %q", s.Action)
}

func (s *Step) controlEngines(f *fleet.Fleet, control engine.Control) error {
	for _, number := range s.Engines {
		if err := f.Engines[number].Control(control); err != nil {
			return err
		}
	}
	return nil
}
