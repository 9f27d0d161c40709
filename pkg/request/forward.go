package request

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// Forwarding describes which fields of a caller's request reach an endpoint. Names are compared
// case-insensitively.
//
// Fields behind a chunked body, its trailer section, are never forwarded: a recipient must not treat
// them as header fields, and an intermediary may discard them (RFC 9110, sections 6.5.1 and 6.5.2).
type Forwarding struct {
	// Withheld are fields that are not forwarded, besides those that concern a single connection.
	Withheld []string
	// EndToEnd are fields that are forwarded even if the caller's Connection field lists them.
	EndToEnd []string
}

// connectionFields concern a single connection, or are written anew for each (RFC 9110, section 7.6.1;
// RFC 9112, section 6).
var connectionFields = []string{
	fasthttp.HeaderConnection,
	fasthttp.HeaderKeepAlive,
	fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderProxyConnection,
	fasthttp.HeaderTE,
	fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderUpgrade,
	fasthttp.HeaderExpect,
	fasthttp.HeaderContentLength,
}

// KeepOrder prepares the header of a request whose body has not been read yet, so that its fields keep their
// order, on which the meaning of repeated ones depends (RFC 9110, section 5.3). Once the HTTP library has read a
// chunked body, it moves the last field into the place of Transfer-Encoding. The field that is added here is
// moved instead; it is never forwarded.
func KeepOrder(header *fasthttp.RequestHeader) {
	const chunked = -1
	if header.ContentLength() == chunked {
		header.Add(fasthttp.HeaderKeepAlive, "")
	}
}

// DeleteConnectionFields removes the fields that concern a single connection from the header of a response,
// as it was before its body was read: the HTTP library would make header fields of a trailer section.
func DeleteConnectionFields(header *fasthttp.ResponseHeader) {
	var found []string
	for name := range header.All() {
		if containsField(connectionFields, name) {
			found = append(found, string(name))
		}
	}
	for _, name := range found {
		header.Del(name)
	}
	header.ResetConnectionClose()
}

// CopyHeader adds the method, the target and the forwarded fields of from to an empty header. Only what is
// selected is copied, so that nothing else that the HTTP library holds for a request, such as its trailer
// section, can reach the endpoint. Nobody else may use from meanwhile: listing its fields takes its buffers.
func (f *Forwarding) CopyHeader(to, from *fasthttp.RequestHeader) {
	to.SetMethodBytes(from.Method())
	to.SetRequestURIBytes(from.RequestURI())
	to.SetProtocolBytes(from.Protocol())
	listed := f.connectionOptions(from)
	for name, value := range from.All() {
		if !containsField(connectionFields, name) && !containsField(f.Withheld, name) && !containsField(listed, name) {
			to.AddBytesKV(name, value)
		}
	}
}

// connectionOptions returns the names that the Connection fields of a request list, without those of
// end-to-end fields.
func (f *Forwarding) connectionOptions(header *fasthttp.RequestHeader) (options []string) {
	for name, value := range header.All() {
		if !isField(name, fasthttp.HeaderConnection) {
			continue
		}
		for option := range strings.SplitSeq(string(value), ",") {
			option = strings.TrimSpace(option)
			if option != "" && !containsField(f.EndToEnd, []byte(option)) {
				options = append(options, option)
			}
		}
	}
	return options
}

func containsField(names []string, name []byte) bool {
	return slices.ContainsFunc(names, func(known string) bool { return isField(name, known) })
}

func isField(name []byte, known string) bool {
	// Most names differ in length, which is cheaper to compare.
	return len(name) == len(known) && strings.EqualFold(string(name), known)
}
