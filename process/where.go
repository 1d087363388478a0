package process

import (
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"lovageshift/gateway"
)

// maxQueryBytes is the largest size of a query, in bytes.
const maxQueryBytes = 64 << 10

// serveWhere answers an operator's gateway.PlacementQuery with gateway.PlacementAnswer, both as JSON.
func (p *gatewayProcess) serveWhere(w http.ResponseWriter, req *http.Request) {
	answer, err := p.answerQuery(w, req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		p.log.Info("whereNotSent", "error", err.Error())
	}
}

// answerQuery decodes a query and answers it; its error names the invalid or missing field.
func (p *gatewayProcess) answerQuery(w http.ResponseWriter, req *http.Request) (gateway.PlacementAnswer, error) {
	var query gateway.PlacementQuery
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxQueryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&query); err != nil {
		return gateway.PlacementAnswer{}, trace.BadParameter("query: %v", err)
	}
	return p.gateway.Where(query)
}
