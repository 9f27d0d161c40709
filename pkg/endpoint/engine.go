package endpoint

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Usage is the number of tokens that a model request took, as the engine counts them.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// ModelCall holds the fields of a caller's model request that the router reads. Other fields
// are forwarded unchanged.
type ModelCall struct {
	Model     string
	Stream    bool
	MaxTokens int
	// WantsUsage is set if the caller asked for the usage event of a stream.
	WantsUsage bool
	// PromptBytes is the length of the prompt's JSON.
	PromptBytes int
	// Affinity is a hash of the start of the prompt, never 0.
	Affinity uint64

	members map[string]json.RawMessage
}

// affinityBytes is the length of the start of the prompt. Requests with the same start prefer
// the same endpoint.
const affinityBytes = 512

// BytesPerToken is the approximate length of a token. Costs are estimated with it until the
// engine states its usage.
const BytesPerToken = 4

// streamOptions is the request field that asks for the usage event.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseModelCall parses the body of a request to the OpenAI-compatible API.
func ParseModelCall(body []byte) (call *ModelCall, err error) {
	defer func() { err = trace.Wrap(err, "reading model request") }()
	call = &ModelCall{}
	if err := json.Unmarshal(body, &call.members); err != nil {
		return nil, err
	}
	if call.members == nil {
		return nil, trace.BadParameter("the body is no JSON object")
	}
	if err := call.decodeMember("model", &call.Model); err != nil {
		return nil, err
	}
	if err := call.decodeMember("stream", &call.Stream); err != nil {
		return nil, err
	}
	var options streamOptions
	if err := call.decodeMember("stream_options", &options); err != nil {
		return nil, err
	}
	call.WantsUsage = options.IncludeUsage
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := call.decodeMember(name, &call.MaxTokens); err != nil {
			return nil, err
		}
	}
	if call.MaxTokens < 0 {
		return nil, trace.BadParameter("max_tokens is negative")
	}
	call.readPrompt()
	return call, nil
}

func (c *ModelCall) decodeMember(name string, into any) error {
	raw, ok := c.members[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return trace.BadParameter("%s: %v", name, err)
	}
	return nil
}

func (c *ModelCall) readPrompt() {
	prompt := c.members["messages"]
	if prompt == nil {
		prompt = c.members["prompt"]
	}
	c.PromptBytes = len(prompt)
	c.Affinity = xxhash.Sum64(prompt[:min(len(prompt), affinityBytes)]) | 1
}

// Body encodes the request for an engine. It adds the priority, and asks for the usage event,
// from which the cost is settled.
func (c *ModelCall) Body(priorityField string, priority int) (body []byte, err error) {
	defer func() { err = trace.Wrap(err, "writing model request") }()
	if priorityField != "" {
		c.members[priorityField] = strconv.AppendInt(nil, int64(priority), 10)
	}
	if c.Stream {
		options := map[string]json.RawMessage{}
		if raw := c.members["stream_options"]; len(raw) > 0 {
			if err := json.Unmarshal(raw, &options); err != nil {
				return nil, err
			}
		}
		if options == nil {
			options = map[string]json.RawMessage{}
		}
		options["include_usage"] = json.RawMessage("true")
		if c.members["stream_options"], err = json.Marshal(options); err != nil {
			return nil, err
		}
	}
	return json.Marshal(c.members)
}

// ParseUsage returns the usage from the body of a response that is not a stream.
func ParseUsage(body []byte) (usage Usage, known bool) {
	var response struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(body, &response) != nil || response.Usage == nil {
		return Usage{}, false
	}
	return *response.Usage, true
}

// usageKey marks the few events that carry usage, so that the others need not be decoded.
var usageKey = []byte(`"usage":`)

func hasUsage(event []byte) bool {
	at := bytes.Index(event, usageKey)
	if at < 0 {
		return false
	}
	rest := bytes.TrimLeft(event[at+len(usageKey):], " ")
	return len(rest) > 0 && rest[0] == '{'
}
