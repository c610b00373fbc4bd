package entry

import (
	"encoding/json"
	"net/http"
	"time"
)

// writePieceBytes is how much of an answer must go out within one write pause.
const writePieceBytes = 32 << 10

// writeBody writes a whole answer. A caller who takes none of it for the write
// pause is given up; otherwise it would hold a place among the streams, and
// the instance's stop, for ever.
func (s *Server) writeBody(w http.ResponseWriter, status int, kind string, body []byte) {
	control := http.NewResponseController(w)
	w.Header().Set("Content-Type", kind)
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

// writeJSON writes v, which always encodes.
func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	s.writeBody(w, status, "application/json", append(body, '\n'))
}
