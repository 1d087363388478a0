package entry

import (
	"encoding/json"
	"net/http"
	"slices"
)

// modelList is the list of models in the shape that clients of the completions API expect.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// serveModels lists the models that the caller may use, and each adapter of these models as MODEL:ADAPTER, sorted by ID.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	config, c, refusal := e.admitCaller(r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for id, model := range config.Models {
		if !c.account.MayUseModel(id) {
			continue
		}
		list.Data = append(list.Data, modelItem{string(id), "model"})
		for _, adapter := range model.Adapters {
			list.Data = append(list.Data, modelItem{string(id) + ":" + adapter, "model"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
