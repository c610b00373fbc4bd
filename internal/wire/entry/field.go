package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// chatBody is the published chat-completions request, as far as it is served.
type chatBody struct {
	Model    string
	Messages []chatMessage
	Stream   bool
	Options  streamOptions
	Max      int
	MaxNew   int
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

// chatMessage is one message. Its content comes as a string or as a list of
// text parts.
type chatMessage struct {
	Role string
	Text string
}

// fields says what becomes of each top-level field of the published shape. A
// field whose value would change the answer and that engines do not serve is
// refused: a caller who asked for JSON or for tools and got plain text would
// take it for a fault of the model.
var fields = map[string]func(b *chatBody, raw json.RawMessage) error{
	"model":                 func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Model) },
	"messages":              func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Messages) },
	"stream":                func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Stream) },
	"stream_options":        func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Options) },
	"max_tokens":            func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Max) },
	"max_completion_tokens": func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.MaxNew) },
	"user":                  pass,
	"metadata":              pass,
	"safety_identifier":     pass,
	"prompt_cache_key":      pass,
	"seed":                  pass,
	"n":                     only("1"),
	"temperature":           only("0", "0.0", "1", "1.0"),
	"top_p":                 only("1", "1.0"),
	"presence_penalty":      only("0", "0.0"),
	"frequency_penalty":     only("0", "0.0"),
	"logprobs":              only("false"),
	"store":                 only("false"),
	"tools":                 only("[]"),
	"functions":             only("[]"),
	"stop":                  only("[]"),
	"logit_bias":            only("{}"),
	"tool_choice":           only(`"none"`, `"auto"`),
	"modalities":            only(`["text"]`),
	"response_format":       only(`{"type":"text"}`),
	"service_tier":          only(`"auto"`, `"default"`),
}

// pass takes a field that changes nothing in the answer.
func pass(*chatBody, json.RawMessage) error { return nil }

// only takes a field at the values that ask for nothing special.
func only(values ...string) func(*chatBody, json.RawMessage) error {
	return func(_ *chatBody, raw json.RawMessage) error {
		var tight bytes.Buffer
		if err := json.Compact(&tight, raw); err != nil {
			return err
		}
		for _, v := range values {
			if tight.String() == v {
				return nil
			}
		}
		return errOnly(values)
	}
}

// onlyError says which values of a field are served.
type onlyError []string

// Error lists the values.
func (e onlyError) Error() string { return "only " + strings.Join(e, " or ") + " is served" }

func errOnly(values []string) error { return onlyError(values) }

// parseChat reads the body of a chat request, field by field.
func parseChat(data []byte) (chatBody, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return chatBody{}, newFault(http.StatusBadRequest, "bad-json", "The body is not a JSON object: "+err.Error()+".", RanNo)
	}
	var b chatBody
	for name, value := range raw {
		take, ok := fields[name]
		if !ok {
			return chatBody{}, badField("unknown-field", name, "is not known")
		}
		if string(value) == "null" {
			continue
		}
		if err := take(&b, value); err != nil {
			return chatBody{}, refusedField(name, err)
		}
	}
	return b, nil
}

func refusedField(name string, err error) error {
	var o onlyError
	if errors.As(err, &o) {
		return badField("unsupported", name, "has a value that is not served: "+err.Error())
	}
	return badField("bad-field", name, "cannot be read: "+err.Error())
}

// maxName bounds a caller's own text inside a fault.
const maxName = 64

func badField(code, name, text string) error {
	if len(name) > maxName {
		name = name[:maxName]
	}
	return newFault(http.StatusBadRequest, code, fmt.Sprintf("The field %q %s.", name, text), RanNo)
}

// UnmarshalJSON reads a message of the published shape.
func (m *chatMessage) UnmarshalJSON(data []byte) error {
	var in struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
		Calls   json.RawMessage `json:"tool_calls"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	switch in.Role {
	case "system", "developer", "user", "assistant":
	default:
		return fmt.Errorf("the role %q is not served", in.Role)
	}
	if len(in.Calls) > 0 && string(in.Calls) != "null" {
		return onlyError{"messages without tool_calls"}
	}
	text, err := content(in.Content)
	m.Role, m.Text = in.Role, text
	return err
}

// content reads a message's content: a string, or a list of text parts.
func content(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || raw[0] != '[' {
		var text *string
		if err := json.Unmarshal(raw, &text); err != nil || text == nil {
			return "", fmt.Errorf("the content is neither a string nor a list of text parts")
		}
		return *text, nil
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" || p.Text == nil {
			return "", onlyError{"content of text parts"}
		}
		b.WriteString(*p.Text)
	}
	return b.String(), nil
}
