package crowd_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"fulmarwick/internal/fakes/trial"
)

// chatBytes is the size of the chats of a crowd.
const chatBytes = 200 << 10

// checkChats fails the test unless the process bears a crowd that sends whole chats in a row and reads all
// answers.
func checkChats(t *testing.T, body string) {
	t.Helper()
	s := startServe(t)
	chat := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", trial.Key, len(body), body)
	s.crowd(s.callers, 300, func(c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		write(c, strings.Repeat(chat, 20))
	})
	s.checkServed()
	s.checkBounds()
}

// repeat returns a text of chatBytes that repeats an element between a start and an end.
func repeat(start, element, end string) string {
	return start + strings.Repeat(element, (chatBytes-len(start)-len(end))/len(element)) + end
}

// Guards against memory that chats take whose messages have many parts without a text.
func TestChatsOfEmptyParts(t *testing.T) {
	checkChats(t, repeat(`{"model":"m","messages":[{"role":"user","content":[`, `{},`, `{}]}]}`))
}

// Guards against memory that chats take which have many messages without a role.
func TestChatsOfEmptyMessages(t *testing.T) {
	checkChats(t, repeat(`{"model":"m","messages":[`, `{},`, `{}]}`))
}

// Guards against memory that chats take which have many unknown fields.
func TestChatsOfUnknownFields(t *testing.T) {
	var body strings.Builder
	body.WriteString("{")
	for n := 0; body.Len() < chatBytes; n++ {
		_, _ = fmt.Fprintf(&body, `"%x":0,`, n)
	}
	body.WriteString(`"model":"m"}`)
	checkChats(t, body.String())
}
