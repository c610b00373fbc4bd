package entry

import (
	"net/http"

	"fulmarwick/internal/base/spec"
)

// The JSON of the list of models.
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

// modelOwner is the owner given for every model in the list.
const modelOwner = "fulmarwick"

// models handles GET /v1/models: it lists each model served by a class of the
// active configuration.
func (s *Server) models(w http.ResponseWriter, req *http.Request) {
	if _, err := s.authenticate(req); err != nil {
		s.writeFault(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelBody{}}
	seen := map[spec.ModelName]bool{}
	for _, c := range s.Config.Snapshot().Classes() {
		if c.Kind() != spec.KindModel || seen[c.Model()] {
			continue
		}
		seen[c.Model()] = true
		// Created stays zero, since the router does not know when a model was
		// created.
		list.Data = append(list.Data, modelBody{ID: string(c.Model()), Object: "model", Owner: modelOwner})
	}
	s.writeJSON(w, http.StatusOK, list)
}
