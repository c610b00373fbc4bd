package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// chatBody holds the supported fields of a chat completions request.
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

// chatMessage is one message of a chat. In JSON its content is a string or a list
// of text parts.
type chatMessage struct {
	Role string
	Text string
}

// fieldReaders maps each top-level field of a chat completions request to the
// function that reads it. Values that would change the answer but that engines do
// not support are rejected: a caller that asks for JSON or tools and gets plain
// text would blame the model.
var fieldReaders = map[string]func(b *chatBody, raw json.RawMessage) error{
	"model":                 func(b *chatBody, raw json.RawMessage) error { return json.Unmarshal(raw, &b.Model) },
	"messages":              readMessages,
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

// ignoreField accepts any value of a field that does not affect the answer.
func ignoreField(*chatBody, json.RawMessage) error { return nil }

// allowValues returns a reader that accepts only the given values of a field,
// which request the default behaviour.
func allowValues(values ...string) func(*chatBody, json.RawMessage) error {
	return func(_ *chatBody, raw json.RawMessage) error {
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return err
		}
		for _, v := range values {
			if compact.String() == v {
				return nil
			}
		}
		return newAllowedValuesError(values)
	}
}

// allowedValuesError reports an unsupported value of a field and lists the
// supported ones.
type allowedValuesError []string

// Error lists the supported values.
func (e allowedValuesError) Error() string { return "only " + strings.Join(e, " or ") + " is served" }

func newAllowedValuesError(values []string) error { return allowedValuesError(values) }

// parseChat parses the body of a chat request, field by field.
func parseChat(data []byte) (chatBody, error) {
	var b chatBody
	var object *struct{}
	if err := json.Unmarshal(data, &object); err != nil {
		return b, newFault(http.StatusBadRequest, "bad-json", "The body is not a JSON object: "+err.Error()+".", RanNo)
	}
	if object == nil {
		return b, nil
	}
	err := forEachMember(data, b.readField)
	return b, err
}

// readField reads a field of a chat request.
func (b *chatBody) readField(name string, value []byte) error {
	read, ok := fieldReaders[name]
	if !ok {
		return badField("unknown-field", name, "is not known")
	}
	if string(value) == "null" {
		return nil
	}
	if err := read(b, value); err != nil {
		return fieldFault(name, err)
	}
	return nil
}

// fieldFault returns the fault for a field whose reader failed.
func fieldFault(name string, err error) error {
	var o allowedValuesError
	if errors.As(err, &o) {
		return badField("unsupported", name, "has a value that is not served: "+err.Error())
	}
	return badField("bad-field", name, "cannot be read: "+err.Error())
}

// maxFieldNameBytes limits how much of a field name sent by the caller is
// repeated in a fault.
const maxFieldNameBytes = 64

// badField returns the fault for a field; name is truncated.
func badField(code, name, text string) error {
	if len(name) > maxFieldNameBytes {
		name = name[:maxFieldNameBytes]
	}
	return newFault(http.StatusBadRequest, code, fmt.Sprintf("The field %q %s.", name, text), RanNo)
}

// readMessages reads the messages of a chat.
func readMessages(b *chatBody, raw json.RawMessage) error {
	if raw[0] != '[' {
		return errors.New("it is not a list of messages")
	}
	b.Messages = nil
	return forEachElement(raw, func(element []byte) error {
		var m chatMessage
		if err := m.UnmarshalJSON(element); err != nil {
			return err
		}
		b.Messages = append(b.Messages, m)
		return nil
	})
}

// UnmarshalJSON parses a message. It rejects unsupported roles and tool calls.
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

// parseContent returns the text of a message's content, which is a string or a
// list of text parts.
func parseContent(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || raw[0] != '[' {
		var text *string
		if err := json.Unmarshal(raw, &text); err != nil || text == nil {
			return "", fmt.Errorf("the content is neither a string nor a list of text parts")
		}
		return *text, nil
	}
	var b strings.Builder
	err := forEachElement(raw, func(element []byte) error {
		var part struct {
			Type string  `json:"type"`
			Text *string `json:"text"`
		}
		if err := json.Unmarshal(element, &part); err != nil {
			return err
		}
		if part.Type != "text" || part.Text == nil {
			return allowedValuesError{"content of text parts"}
		}
		b.WriteString(*part.Text)
		return nil
	})
	return b.String(), err
}
