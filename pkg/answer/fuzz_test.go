package answer_test

import (
	"regexp"
	"strings"
	"testing"
)

// validHead is the grammar of a head (RFC 9112, sections 4 and 5), in which the phrase may be missing and more
// than one blank may precede the status.
var validHead = regexp.MustCompile("^HTTP/1\\.[0-9] +[1-5][0-9]{2}( [\\t\\x20-\\x7e\\x80-\\xff]*)?\r\n" +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*\r\n)*\r\n$")

// asLatin1 returns a text in which each byte is a character, as the grammar takes it.
func asLatin1(text string) string {
	var runes strings.Builder
	for _, b := range []byte(text) {
		runes.WriteRune(rune(b))
	}
	return runes.String()
}

// FuzzReadHead guards against a head that is read although it has not the form of one, or not up to its end.
func FuzzReadHead(f *testing.F) {
	for _, line := range brokenStatusLines {
		f.Add(line + "\r\n" + length + "\r\n" + body)
	}
	for _, line := range brokenLines {
		f.Add(okLine + "X-Other: 2\r\n" + line + length + "\r\n" + body)
	}
	f.Add(okLine + length + "\r\n" + body)
	f.Fuzz(func(t *testing.T, sent string) {
		_, rest, err := readHead(strings.NewReader(sent))
		if err != nil {
			return
		}
		if head := strings.TrimSuffix(sent, rest); !validHead.MatchString(asLatin1(head)) {
			t.Errorf("%q was read as a head", head)
		}
	})
}
