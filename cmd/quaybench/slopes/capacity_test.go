package slopes_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/cmd/quaybench/slopes"
)

// TestCapacityPageFollowsFromTheSlopes holds that the page's tables are what the
// recorded slopes give, to the letter.
func TestCapacityPageFollowsFromTheSlopes(t *testing.T) {
	Convey("Given the recorded slopes and the page", t, func() {
		text, err := os.ReadFile("../../../docs/slopes.json")
		So(err, ShouldBeNil)
		var recorded slopes.Slopes
		So(json.Unmarshal(text, &recorded), ShouldBeNil)
		page, err := os.ReadFile("../../../docs/CAPACITY.md")
		So(err, ShouldBeNil)
		So(between(string(page), "target"), ShouldEqual, slopes.Table(&recorded, slopes.TwoYears))
		So(between(string(page), "measured"), ShouldEqual, slopes.Measured(&recorded))
	})
}

// between is what stands between the marks of a section.
func between(page, mark string) string {
	_, rest, _ := strings.Cut(page, "<!-- "+mark+" -->\n")
	section, _, _ := strings.Cut(rest, "<!-- /"+mark+" -->")
	return section
}
