package entry

import (
	"net/http"

	"fulmarwick/internal/base/spec"
)

// The published shape of the list of models.
type (
	modelList struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}
	modelBody struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Owner   string `json:"owned_by"`
	}
)

// modelOwner is what the list names as the owner of every model.
const modelOwner = "fulmarwick"

// models lists each model that a class in force serves.
func (s *Server) models(w http.ResponseWriter, req *http.Request) {
	if _, err := s.authenticate(req); err != nil {
		s.writeFault(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelBody{}}
	seen := map[spec.ModelName]bool{}
	for _, c := range s.Book.Snapshot().Classes() {
		if c.Kind() != spec.KindModel || seen[c.Model()] {
			continue
		}
		seen[c.Model()] = true
		// The router does not know when a model was made; zero says so.
		list.Data = append(list.Data, modelBody{ID: string(c.Model()), Object: "model", Owner: modelOwner})
	}
	s.writeJSON(w, http.StatusOK, list)
}
