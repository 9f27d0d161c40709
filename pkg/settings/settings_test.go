package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/settings"
)

const fixtures = "../../_fixtures/settings"

// TestBadTrees checks that each invalid tree gives its error, with file, line, key
// path and what would be valid.
func TestBadTrees(t *testing.T) {
	cases := []struct {
		file   string
		expect string
	}{
		{"unknown-key.toml", `unknown-key.toml:3: Customers.ward.Shares: no such setting`},
		{"wrong-unit.toml", `wrong-unit.toml:4: Pools.p.StallTimeout: `},
		{"wrong-duration.toml", `wrong-duration.toml:4: Pools.p.StallTimeout: "30 parsecs" is no duration`},
		{"negative-limit.toml", `negative-limit.toml:2: Customers.ward.QueueLength: is -1, must be at least 1`},
		{"no-ip.toml", `no-ip.toml:5: Pools.p.Endpoints.e.Address: "localhost:80" is no IP address with a port`},
		{"zero-share.toml", `zero-share.toml:2: Customers.ward.Share: is 0, must be above 0`},
		{"no-hash.toml", `no-hash.toml:2: Customers.ward.KeyHashes: an entry is no SHA-256 hash`},
		{"shared-key.toml", `shared-key.toml:4: Customers.b.KeyHashes: a key is also that of customer a`},
		{"wrong-kind.toml", `wrong-kind.toml:2: Pools.p.Kind: "modle" is none of model, plain`},
		{"not-toml.toml", `not-toml.toml:1: `},
		{"no-pool.toml", `no-pool.toml:2: Customers.ward.Pools: there is no pool "nowhere"`},
		{"many.toml", `many.toml:3: Customers.ward.QueueLength: is 0`},
	}
	Convey("Every bad tree gives its documented error", t, func() {
		for _, c := range cases {
			path := filepath.Join(fixtures, "bad", c.file)
			_, err := settings.LoadFleet(path)
			var invalid *settings.InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Error(), ShouldContainSubstring, c.expect)
		}
	})
	Convey("Everything wrong with a tree is listed at once", t, func() {
		_, err := settings.LoadFleet(filepath.Join(fixtures, "bad", "many.toml"))
		var invalid *settings.InvalidError
		So(errors.As(err, &invalid), ShouldBeTrue)
		So(len(invalid.Problems), ShouldEqual, 2)
	})
}

func TestTreesInherit(t *testing.T) {
	Convey("The users' trees resolve, and branches inherit and override", t, func() {
		for _, user := range []string{"qatra", "kervelo"} {
			fleet, err := settings.LoadFleet(filepath.Join(fixtures, user))
			So(err, ShouldBeNil)
			So(len(fleet.Customers), ShouldEqual, 16)
			So(len(fleet.Pools), ShouldEqual, 2)
		}
		fleet, err := settings.LoadFleet(filepath.Join(fixtures, "qatra"))
		So(err, ShouldBeNil)
		So(fleet.Customers["ward-1"].Share, ShouldEqual, 1)
		So(fleet.Customers["ward-1"].QueueLength, ShouldEqual, 128)
		So(fleet.Customers["camp-drive"].Share, ShouldEqual, 4)
		So(fleet.Pools["quay-llm"].RetryBudget, ShouldEqual, 0.1)
	})
	Convey("A deeper branch overrides a value and deletes an entry", t, func() {
		dir := t.TempDir()
		deeper := filepath.Join(dir, "deeper")
		So(os.Mkdir(deeper, 0o755), ShouldBeNil)
		parentText := "[Customers.a]\nShare = 2.0\nQueueLength = 7\n[Customers.b]\nShare = 3.0\n"
		childText := "[Customers.a]\nShare = 5.0\n[Customers.b]\nDelete = true\n"
		So(os.WriteFile(filepath.Join(dir, "top.toml"), []byte(parentText), 0o644), ShouldBeNil)
		So(os.WriteFile(filepath.Join(deeper, "below.toml"), []byte(childText), 0o644), ShouldBeNil)
		fleet, err := settings.LoadFleet(dir)
		So(err, ShouldBeNil)
		So(fleet.Customers["a"].Share, ShouldEqual, 5)
		So(fleet.Customers["a"].QueueLength, ShouldEqual, 7)
		_, found := fleet.Customers["b"]
		So(found, ShouldBeFalse)
	})
	Convey("A snapshot holds what the tree says, and a damaged one is refused", t, func() {
		fleet, err := settings.LoadFleet(filepath.Join(fixtures, "kervelo"))
		So(err, ShouldBeNil)
		snapshot, err := settings.EncodeSnapshot(fleet)
		So(err, ShouldBeNil)
		decoded, err := settings.DecodeSnapshot(snapshot)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, fleet)
		_, err = settings.DecodeSnapshot(snapshot[:len(snapshot)/2])
		So(err, ShouldNotBeNil)
	})
}

// FuzzTree checks that the decoder fails on any text only with an *InvalidError,
// and that what it accepts can be encoded as a snapshot and decoded again.
func FuzzTree(f *testing.F) {
	f.Add([]byte("[Customers.a]\nShare = 2.0\n"))
	f.Add([]byte("[Pools.p]\nKind = \"plain\"\nPaths = [\"/\"]\n[Pools.p.Endpoints.e]\nAddress = \"127.0.0.1:1\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		path := filepath.Join(t.TempDir(), "tree.toml")
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
		fleet, err := settings.LoadFleet(path)
		if err != nil {
			var invalid *settings.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatal(err)
			}
			return
		}
		snapshot, err := settings.EncodeSnapshot(fleet)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.DecodeSnapshot(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
