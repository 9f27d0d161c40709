package endpoint_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/quaylead/quaylead/pkg/endpoint"
)

const (
	tokenEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	usageEvent = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
	endEvent   = "data: [DONE]\n\n"
)

// pieces returns a text in pieces of a given length, as a network may.
type pieces struct {
	text   string
	length int
}

func (p *pieces) Read(into []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(into, p.text[:min(p.length, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

func TestEventStream(t *testing.T) {
	whole := tokenEvent + tokenEvent + usageEvent + endEvent
	Convey("A stream is read the same however the network cuts it into pieces", t, func() {
		for length := 1; length <= len(whole); length++ {
			counted := 0
			events := &endpoint.EventStream{
				Source: &pieces{text: whole, length: length},
				Count:  func(tokens int) { counted += tokens },
			}
			got, err := io.ReadAll(events)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, tokenEvent+tokenEvent+endEvent)
			So(counted, ShouldEqual, 2)
			So(events.Usage, ShouldResemble, endpoint.Usage{PromptTokens: 3, CompletionTokens: 2})
		}
	})
	Convey("The usage event is forwarded to a caller who asked for it", t, func() {
		got, err := io.ReadAll(&endpoint.EventStream{Source: strings.NewReader(whole), KeepUsage: true})
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, whole)
	})
	Convey("So is one whose lines end with CR and LF, and with more blank lines than needed", t, func() {
		text := strings.ReplaceAll(tokenEvent+"\n"+usageEvent+"\n\n"+endEvent, "\n", "\r\n")
		events := &endpoint.EventStream{Source: strings.NewReader(text)}
		_, err := io.ReadAll(events)
		So(err, ShouldBeNil)
		So(events.UsageKnown, ShouldBeTrue)
	})
	Convey("A stream that ends anywhere before its [DONE] event is cut off", t, func() {
		for length := range len(whole) - 1 {
			_, err := io.ReadAll(&endpoint.EventStream{Source: strings.NewReader(whole[:length])})
			So(err, ShouldEqual, io.ErrUnexpectedEOF)
		}
	})
}

// FuzzEventStream checks that only data from the source is returned, and that only a stream
// with a [DONE] event is complete.
func FuzzEventStream(f *testing.F) {
	f.Add([]byte(tokenEvent+usageEvent+endEvent), 7)
	f.Add([]byte("data:\n\n\n\ndata: {\"usage\":{\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, length int) {
		if length < 1 {
			t.Skip()
		}
		source := &pieces{text: string(text), length: length}
		got, err := io.ReadAll(&endpoint.EventStream{Source: source, KeepUsage: true})
		if !bytes.HasPrefix(text, got) {
			t.Fatalf("returned %q of %q", got, text)
		}
		if err == nil && !bytes.Contains(got, []byte("[DONE]")) {
			t.Fatalf("accepted %q as complete", text)
		}
	})
}

// BenchmarkEventStream measures the allocations for each streamed event.
func BenchmarkEventStream(b *testing.B) {
	text := strings.Repeat(tokenEvent, 1000) + endEvent
	into := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		events := &endpoint.EventStream{Source: &pieces{text: text, length: len(tokenEvent)}}
		for {
			if _, err := events.Read(into); err != nil {
				break
			}
		}
	}
}
