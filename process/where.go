package process

import (
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"lovageshift/gateway"
)

// maxInquiryBytes is the largest size of an inquiry, in bytes.
const maxInquiryBytes = 64 << 10

// serveWhere answers an operator's gateway.Inquiry with gateway.Whereabouts, both as JSON.
func (p *gatewayProcess) serveWhere(w http.ResponseWriter, req *http.Request) {
	whereabouts, err := p.answerInquiry(w, req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(whereabouts); err != nil {
		p.log.Info("whereNotSent", "error", err.Error())
	}
}

// answerInquiry decodes an inquiry and answers it; its error names the invalid or missing field.
func (p *gatewayProcess) answerInquiry(w http.ResponseWriter, req *http.Request) (gateway.Whereabouts, error) {
	var inquiry gateway.Inquiry
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxInquiryBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&inquiry); err != nil {
		return gateway.Whereabouts{}, trace.BadParameter("inquiry: %v", err)
	}
	return p.gateway.Where(inquiry)
}
