package quarantine

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func fingerprintOf(method, target, customer, body string) Fingerprint {
	return FingerprintOf([]byte(method), []byte(target), []byte(customer), []byte(body))
}

func TestFingerprint(t *testing.T) {
	Convey("Requests that differ in a field, or in where fields begin, have different fingerprints", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			draw := rapid.SliceOfN(rapid.StringN(0, 4, -1), 4, 4)
			a, b := draw.Draw(t, "a"), draw.Draw(t, "b")
			same := a[0] == b[0] && a[1] == b[1] && a[2] == b[2] && a[3] == b[3]
			if (fingerprintOf(a[0], a[1], a[2], a[3]) == fingerprintOf(b[0], b[1], b[2], b[3])) != same {
				t.Fatalf("%q and %q", a, b)
			}
		})
		So(fingerprintOf("", "", "", "").IsZero(), ShouldBeFalse)
	})
	Convey("A fingerprint can be parsed from its text, and other texts are errors", t, func() {
		f := fingerprintOf("POST", "/a", "ward", "body")
		read, err := ParseFingerprint(f.String())
		So(err, ShouldBeNil)
		So(read, ShouldEqual, f)
		for _, bad := range []string{"", "00", f.String() + "00", "zz" + f.String()[2:]} {
			_, err := ParseFingerprint(bad)
			So(err, ShouldNotBeNil)
		}
	})
}

// BenchmarkFingerprint measures the cost of a fingerprint by the size of the body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1500, 17000, 100000} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				FingerprintOf([]byte("POST"), []byte("/brief/1"), []byte("ward"), body)
			}
		})
	}
}
