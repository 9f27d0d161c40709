package gateway

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/endpoint"
	"github.com/quaylead/quaylead/pkg/lifecycle"
	"github.com/quaylead/quaylead/pkg/quarantine"
	"github.com/quaylead/quaylead/pkg/route"
)

// engineBornAt returns an endpoint whose instance has a start time.
func engineBornAt(born int64) route.Endpoint {
	return route.Endpoint{ID: "engine", Address: "10.0.0.1:1", Facts: lifecycle.Facts{Born: born}}
}

func directoryOf(endpoints ...route.Endpoint) *route.Directory {
	var wanted []route.Change
	for i := range endpoints {
		wanted = append(wanted, route.Change{After: &endpoints[i]})
	}
	directory, _ := (*route.Directory)(nil).With(wanted)
	return directory
}

func TestHasEnded(t *testing.T) {
	leaving := engineBornAt(1)
	leaving.Leaving = true
	brokenOff := &endpoint.NoResponseError{Address: "10.0.0.1:1", Err: io.ErrUnexpectedEOF}
	for name, is := range map[string]struct {
		chosen    route.Endpoint
		directory *route.Directory
		err       error
		want      bool
	}{
		"a connection closed in the middle":                   {engineBornAt(1), directoryOf(engineBornAt(1)), brokenOff, true},
		"a connection that was reset":                         {engineBornAt(1), directoryOf(engineBornAt(1)), syscall.ECONNRESET, true},
		"a closed connection of a leaving endpoint":           {engineBornAt(1), directoryOf(leaving), brokenOff, false},
		"a closed connection of an endpoint that was leaving": {leaving, directoryOf(), brokenOff, false},
		"silence of a listed endpoint":                        {engineBornAt(1), directoryOf(engineBornAt(1)), errStalled, false},
		"silence of an endpoint whose entry is gone":          {engineBornAt(1), directoryOf(), errStalled, true},
		"silence of an endpoint that restarted":               {engineBornAt(1), directoryOf(engineBornAt(2)), syscall.ETIMEDOUT, true},
		"an entry that shows a restart":                       {engineBornAt(1), directoryOf(engineBornAt(2)), errRestarted, true},
		"an unusable response":                                {engineBornAt(1), directoryOf(engineBornAt(1)), &unusableError{reason: "no signature"}, false},
		"an error that is not of the connection":              {engineBornAt(1), directoryOf(engineBornAt(1)), errors.New("other"), false},
	} {
		Convey("It is determined whether an endpoint ended by "+name, t, func() {
			So(hasEnded(is.chosen, is.directory, is.err), ShouldEqual, is.want)
		})
	}
}

func TestSupposedEnds(t *testing.T) {
	start := time.Now()
	instance := quarantine.InstanceOf("llm", "engine", 1)
	resolved := func(directory *route.Directory, polls uint64, times ...time.Duration) (alive int) {
		u := &unconfirmedEnds{}
		u.add(instance, engineBornAt(1), 10, start)
		for _, after := range times {
			alive += len(u.resolve(directory, polls+uint64(after/time.Second), start.Add(after)))
		}
		return alive
	}
	all := []time.Duration{time.Second, retractDelay - 1, retractDelay + time.Second, retractDelay + 2*time.Second}
	Convey("An endpoint that is still listed, by a poll that came late enough, has not ended", t, func() {
		So(resolved(directoryOf(engineBornAt(1)), 10, all...), ShouldEqual, 1)
		So(resolved(directoryOf(engineBornAt(1)), 10, all[:2]...), ShouldEqual, 0)
	})
	Convey("Without a later poll, no end is retracted", t, func() {
		u := &unconfirmedEnds{}
		u.add(instance, engineBornAt(1), 10, start)
		So(u.resolve(directoryOf(engineBornAt(1)), 12, start.Add(retractDelay-1)), ShouldBeEmpty)
		So(u.resolve(directoryOf(engineBornAt(1)), 12, start.Add(retractDelay+time.Second)), ShouldBeEmpty)
		So(u.resolve(directoryOf(engineBornAt(1)), 13, start.Add(retractDelay+time.Second)), ShouldHaveLength, 1)
	})
	Convey("An endpoint whose entry is gone, or that restarted, has ended", t, func() {
		So(resolved(directoryOf(), 10, all...), ShouldEqual, 0)
		So(resolved(directoryOf(engineBornAt(2)), 10, all...), ShouldEqual, 0)
	})
}
