package endpoint_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/quaylead/quaylead/pkg/endpoint"
)

func TestEventLength(t *testing.T) {
	Convey("An event ends with a blank line, however lines end", t, func() {
		for data, length := range map[string]int{
			"":                          -1,
			"\n":                        -1,
			"\r\n\r\n":                  -1,
			"data: a":                   -1,
			"data: a\n":                 -1,
			"data: a\n\n":               9,
			"data: a\n\nid":             9,
			"\n\ndata: a\n\n":           11,
			"data: a\ndata: b\n\n":      17,
			"data: a\r\n":               -1,
			"data: a\r\n\r":             -1,
			"data: a\r\n\r\n":           11,
			"data: a\r\n\r\ndata: b":    11,
			"data: a\r":                 -1,
			"data: a\r\r":               9,
			"data: a\r\rdata: b\r\r":    9,
			"data: a\n\r\n":             10,
			"data: a\ndata: b\r\n\r\n:": 19,
		} {
			So(endpoint.EventLength([]byte(data)), ShouldEqual, length)
		}
	})
	Convey("Events are found whole, however they arrive", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "lineEnd")
			event := rapid.StringMatching(`[a-z]: [a-z]{0,4}(X[a-z]: [a-z]{0,4}){0,2}XX`)
			events := rapid.SliceOfN(event, 1, 5).Draw(t, "events")
			whole := strings.ReplaceAll(strings.Join(events, ""), "X", lineEnd)
			var buffer []byte
			found := 0
			for i := range len(whole) {
				buffer = append(buffer, whole[i])
				for length := endpoint.EventLength(buffer); length >= 0; length = endpoint.EventLength(buffer) {
					if got := string(buffer[:length]); got != strings.ReplaceAll(events[found], "X", lineEnd) {
						t.Fatalf("event %d is %q of %q", found, got, whole)
					}
					buffer = buffer[length:]
					found++
				}
			}
			if found != len(events) || endpoint.IsInsideEvent(buffer) {
				t.Fatalf("%d of %d events of %q, %q left", found, len(events), whole, buffer)
			}
		})
	})
}

// TestKindOf guards against comments that count as events of an endpoint.
func TestKindOf(t *testing.T) {
	Convey("Only a block with data or an ID is an event", t, func() {
		for block, kind := range map[string]endpoint.BlockKind{
			"data: aX":           endpoint.BlockEvent,
			"dataX":              endpoint.BlockEvent,
			"id:7X":              endpoint.BlockEvent,
			": aXevent: bXid:7X": endpoint.BlockEvent,
			"version: 3Xid: 7X":  endpoint.BlockEvent,
			":X":                 endpoint.BlockFiller,
			"X: data: aX: bX":    endpoint.BlockFiller,
			"event: aXretry:5X":  endpoint.BlockFiller,
			"aX":                 endpoint.BlockGarbage,
			"version: 3X":        endpoint.BlockGarbage,
			": aXdatabase: bX":   endpoint.BlockGarbage,
			"\x00data: aX":       endpoint.BlockGarbage,
		} {
			for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
				So(endpoint.KindOf([]byte(strings.ReplaceAll(block+"X", "X", lineEnd))), ShouldEqual, kind)
			}
		}
	})
}

func TestEventID(t *testing.T) {
	Convey("The ID of an event is found, however lines end", t, func() {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			id, found := endpoint.EventID([]byte(strings.ReplaceAll("data: xXid: 7XX", "X", lineEnd)))
			So(found, ShouldBeTrue)
			So(id, ShouldEqual, "7")
		}
		_, found := endpoint.EventID([]byte("data: id: 7\n\n"))
		So(found, ShouldBeFalse)
	})
}

func TestFollowsID(t *testing.T) {
	Convey("IDs that are numbers rise, and others differ", t, func() {
		for _, one := range []struct {
			id, previous string
			follows      bool
		}{
			{"1", "", true}, {"2", "1", true}, {"10", "9", true}, {"7", "5", true},
			{"5", "5", false}, {"3", "5", false}, {"9", "10", false}, {"05", "5", false},
			{"b", "a", true}, {"a", "a", false}, {"", "", true}, {"", "5", true}, {"1", "a", true},
			{"18446744073709551615", "18446744073709551614", true}, {"99999999999999999999", "1", true},
		} {
			So(endpoint.FollowsID(one.id, one.previous), ShouldEqual, one.follows)
		}
	})
}

func TestLastIDOfEventCounts(t *testing.T) {
	Convey("The last ID that an event states counts, as readers of events take it", t, func() {
		for event, expected := range map[string]string{"id: 1\n\n": "1", "id: 3\ndata: a\nid: 1\n\n": "1", "data: a\r\nid:2\r\n\r\n": "2", "id: 4\nid:\n\n": ""} {
			id, found := endpoint.EventID([]byte(event))
			So(found, ShouldBeTrue)
			So(id, ShouldEqual, expected)
		}
	})
}
