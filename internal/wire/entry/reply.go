package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// writePieceBytes is how much of a response the caller must accept within one
// Limits.WriteTime.
const writePieceBytes = 32 << 10

// writeBody writes a complete response. It gives up if the caller does not accept
// a piece within Limits.WriteTime. Otherwise such a caller would occupy a request
// slot and block the shutdown of the instance forever.
func (s *Server) writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", contentType)
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	for len(body) > 0 {
		piece := body[:min(len(body), writePieceBytes)]
		body = body[len(piece):]
		if s.Limits.WriteTime > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(s.Limits.WriteTime))
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// writeJSON writes v as JSON. All values passed to it can be encoded; otherwise it
// writes status 500 without a JSON body.
func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	s.writeBody(w, status, "application/json", append(body, '\n'))
}
