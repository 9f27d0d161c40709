package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// logged matches the Events of log lines at the levels that are always written.
var logged = regexp.MustCompile(`\.(?:Info|Warn|Error)\(\s*"([^"]+)"`)

// published matches the names of metrics.
var published = regexp.MustCompile(`expvar\.Publish\("([^"]+)"`)

func TestOperationsPage(t *testing.T) {
	Convey("The operators' page explains every line and every metric", t, func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		So(err, ShouldBeNil)
		for _, folder := range []string{".", "../registry"} {
			files, err := filepath.Glob(filepath.Join(folder, "*.go"))
			So(err, ShouldBeNil)
			for _, file := range files {
				if strings.HasSuffix(file, "_test.go") {
					continue
				}
				source, err := os.ReadFile(file)
				So(err, ShouldBeNil)
				found := append(logged.FindAllStringSubmatch(string(source), -1), published.FindAllStringSubmatch(string(source), -1)...)
				for _, match := range found {
					So(string(page), ShouldContainSubstring, "`"+match[1])
				}
			}
		}
	})
}
