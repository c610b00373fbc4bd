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
	Model               string
	Messages            []chatMessage
	Stream              bool
	Options             streamOptions
	MaxTokens           int
	MaxCompletionTokens int
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

// fieldReaders says what becomes of each top-level field of the published shape. A
// field whose value would change the answer and that engines do not serve is
// refused: a caller who asked for JSON or for tools and got plain text would
// take it for a fault of the model.
var fieldReaders = map[string]func(b *chatBody, raw json.RawMessage) error{
	"model":                 func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Model) },
	"messages":              func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Messages) },
	"stream":                func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Stream) },
	"stream_options":        func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Options) },
	"max_tokens":            func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.MaxTokens) },
	"max_completion_tokens": func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.MaxCompletionTokens) },
	"user":                  ignoreField,
	"metadata":              ignoreField,
	"safety_identifier":     ignoreField,
	"prompt_cache_key":      ignoreField,
	"seed":                  ignoreField,
	"n":                     allowValues("1"),
	"temperature":           allowValues("0", "0.0", "1", "1.0"),
	"top_p":                 allowValues("1", "1.0"),
	"presence_penalty":      allowValues("0", "0.0"),
	"frequency_penalty":     allowValues("0", "0.0"),
	"logprobs":              allowValues("false"),
	"store":                 allowValues("false"),
	"tools":                 allowValues("[]"),
	"functions":             allowValues("[]"),
	"stop":                  allowValues("[]"),
	"logit_bias":            allowValues("{}"),
	"tool_choice":           allowValues(`"none"`, `"auto"`),
	"modalities":            allowValues(`["text"]`),
	"response_format":       allowValues(`{"type":"text"}`),
	"service_tier":          allowValues(`"auto"`, `"default"`),
}

// ignoreField takes a field that changes nothing in the answer.
func ignoreField(*chatBody, json.RawMessage) error { return nil }

// allowValues takes a field at the values that ask for nothing special.
func allowValues(values ...string) func(*chatBody, json.RawMessage) error {
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
		return newAllowedValuesError(values)
	}
}

// allowedValuesError says which values of a field are served.
type allowedValuesError []string

// Error lists the values.
func (e allowedValuesError) Error() string { return "only " + strings.Join(e, " or ") + " is served" }

func newAllowedValuesError(values []string) error { return allowedValuesError(values) }

// parseChat reads the body of a chat request, field by field.
func parseChat(data []byte) (chatBody, error) {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return chatBody{}, newFault(http.StatusBadRequest, "bad-json", "The body is not a JSON object: "+err.Error()+".", RanNo)
	}
	var b chatBody
	for name, value := range raw {
		take, ok := fieldReaders[name]
		if !ok {
			return chatBody{}, badField("unknown-field", name, "is not known")
		}
		if string(value) == "null" {
			continue
		}
		if err := take(&b, value); err != nil {
			return chatBody{}, fieldFault(name, err)
		}
	}
	return b, nil
}

func fieldFault(name string, err error) error {
	var o allowedValuesError
	if errors.As(err, &o) {
		return badField("unsupported", name, "has a value that is not served: "+err.Error())
	}
	return badField("bad-field", name, "cannot be read: "+err.Error())
}

// maxFieldNameBytes bounds a caller's own text inside a fault.
const maxFieldNameBytes = 64

func badField(code, name, text string) error {
	if len(name) > maxFieldNameBytes {
		name = name[:maxFieldNameBytes]
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
		return allowedValuesError{"messages without tool_calls"}
	}
	text, err := parseContent(in.Content)
	m.Role, m.Text = in.Role, text
	return err
}

// parseContent reads a message's content: a string, or a list of text parts.
func parseContent(raw json.RawMessage) (string, error) {
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
			return "", allowedValuesError{"content of text parts"}
		}
		b.WriteString(*p.Text)
	}
	return b.String(), nil
}
